//! Choice of the upstream for a request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use cranberryvalve_core::PoolId;
use cranberryvalve_core::Profile;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamSpec;
use cranberryvalve_core::stable_hash;
use rand::RngExt;

use super::Router;
use crate::upstream::Upstream;
use crate::upstream::UpstreamTable;

/// Maximum cost of an upstream chosen by prefix affinity, as a ratio to the mean of the candidates.
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// With [`Profile::Attainment`], one in this many slots is left free for each higher tier.
const HEADROOM_DIVISOR_ATTAINMENT: u32 = 4;
/// With [`Profile::Goodput`], one in this many slots is left free for each higher tier.
const HEADROOM_DIVISOR_GOODPUT: u32 = 8;

/// Cost added to an upstream in another failure domain than this VM, as a share of its slots.
const REMOTE_DOMAIN_PENALTY: f64 = 0.05;

/// Result of choosing an upstream for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Placement {
    /// The request is sent to this upstream.
    Upstream(UpstreamId),
    /// No upstream is available at present: each is full or has an open circuit.
    NoRoom,
    /// No upstream of the pool is in service.
    NoneInService,
}

/// An upstream that has room for the request.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Utilization weighted by the relative token interval; smaller is better.
    cost: f64,
}

impl Router {
    /// Chooses an upstream of `pool` that has room for a request at `dispatch_tier`.
    ///
    /// Prefers upstreams that have not yet been tried for the request.
    pub(super) fn choose_upstream(
        &mut self,
        now: Instant,
        pool: &PoolId,
        id: RequestId,
        dispatch_tier: Tier,
        extra_slots: u32,
    ) -> Placement {
        let draws = [self.rng.random(), self.rng.random()];
        let Some(tracked) = self.requests.get(&id) else { return Placement::NoRoom };
        let subset = self.available_subset(now, pool);
        if subset.is_empty() && self.upstreams.pool(pool).all(Upstream::is_withdrawn) {
            return Placement::NoneInService;
        }
        let untried = |it: &&Upstream| !tracked.tried_upstreams.contains(&it.spec.id);
        let any_untried = subset.iter().any(untried);
        let eligible = subset.iter().copied().filter(|it| !any_untried || untried(it));
        let median_ms = UpstreamTable::median_token_interval_ms(subset.iter().copied());
        let candidates: Vec<Candidate<'_>> = eligible
            .filter_map(|it| self.candidate(now, it, dispatch_tier, extra_slots, median_ms))
            .collect();
        let affinity_choice =
            tracked.request.prefix_hash.and_then(|it| choose_by_affinity(it, &candidates));
        let chosen = match affinity_choice {
            Some(upstream) => Some(upstream),
            None => better_of_two(draws, &candidates),
        };
        chosen.map_or(Placement::NoRoom, Placement::Upstream)
    }

    fn candidate<'a>(
        &self,
        now: Instant,
        upstream: &'a Upstream,
        dispatch_tier: Tier,
        extra_slots: u32,
        median_ms: Option<f64>,
    ) -> Option<Candidate<'a>> {
        let load = upstream.load.at_or_above(now, dispatch_tier);
        if load >= upstream.spec.slots + extra_slots {
            return None;
        }
        let total = upstream.load.at_or_above(now, Tier::MAX);
        let headroom = self.headroom(dispatch_tier, upstream.spec.slots);
        if headroom > 0 && total >= upstream.spec.slots - headroom {
            return None;
        }
        let utilization = f64::from(total + 1) / f64::from(upstream.spec.slots);
        let slowdown = match (upstream.token_interval.mean_ms(), median_ms) {
            (Some(own_ms), Some(median_ms)) if median_ms > 0.0 => own_ms / median_ms,
            _ => 1.0,
        };
        let is_local = self.settings.failure_domain.as_ref() == Some(&upstream.spec.failure_domain);
        let domain_penalty = if is_local { 0.0 } else { REMOTE_DOMAIN_PENALTY };
        Some(Candidate { upstream, cost: utilization * slowdown + domain_penalty })
    }

    /// Returns the number of slots that requests of `tier` leave free for higher tiers.
    ///
    /// An engine gives a free slot to the highest priority, but does not preempt running requests.
    /// Without free slots, a burst of a high tier waits for long responses to end.
    fn headroom(&self, tier: Tier, slots: u32) -> u32 {
        let mut higher_tiers: Vec<Tier> =
            self.config.classes.iter().map(|it| it.tier).filter(|it| *it < tier).collect();
        higher_tiers.sort_unstable();
        higher_tiers.dedup();
        let tiers_above = u32::try_from(higher_tiers.len()).unwrap_or(u32::MAX);
        let per_tier = match self.config.profile {
            Profile::Attainment => slots / HEADROOM_DIVISOR_ATTAINMENT,
            Profile::Goodput => slots / HEADROOM_DIVISOR_GOODPUT,
        };
        (per_tier * tiers_above).min(slots / 2)
    }

    /// Returns the upstreams in the subsets of this VM, for all pools, whether available or not.
    ///
    /// Includes upstreams that are shutting down, since they may report that they are back.
    pub fn subset_upstreams(&self) -> Vec<UpstreamSpec> {
        let ids = self.subsets.values().flatten();
        let in_subset = ids.filter_map(|id| self.upstreams.get(id));
        let leaving = self.upstreams.iter().filter(|it| it.leaving);
        let by_id = in_subset.chain(leaving).map(|it| (it.spec.id.clone(), it.spec.clone()));
        let unique: BTreeMap<UpstreamId, Arc<UpstreamSpec>> = by_id.collect();
        unique.into_values().map(Arc::unwrap_or_clone).collect()
    }

    /// Recomputes the subsets after upstreams were added, withdrawn or restored.
    pub(super) fn update_subsets(&mut self) {
        let pools = self.upstreams.pools().into_iter();
        self.subsets = pools.map(|pool| (pool.clone(), self.choose_subset(&pool))).collect();
    }

    /// Chooses the upstreams of `pool` to which this VM sends requests.
    ///
    /// Each VM ranks the upstreams by a hash of both names (rendezvous hashing: Thaler and
    /// Ravishankar, 1998) and takes the first ones. The subsets of the VMs thus overlap evenly and
    /// change little when an upstream is added or removed. Withdrawn upstreams are left out.
    fn choose_subset(&self, pool: &PoolId) -> Vec<UpstreamId> {
        let in_service = self.upstreams.pool(pool).filter(|it| !it.is_withdrawn());
        let mut ids: Vec<UpstreamId> = in_service.map(|it| it.spec.id.clone()).collect();
        if ids.len() > self.settings.subset_size {
            ids.sort_by_cached_key(|id| stable_hash((&*self.settings.vm, &**id)));
            ids.truncate(self.settings.subset_size);
        }
        ids
    }

    /// Returns the upstreams in the subset for `pool` that are available.
    fn available_subset(&self, now: Instant, pool: &PoolId) -> Vec<&Upstream> {
        let ids = self.subsets.get(pool).map_or(&[][..], Vec::as_slice);
        let in_subset = ids.iter().filter_map(|id| self.upstreams.get(id));
        in_subset.filter(|it| it.is_available(now)).collect()
    }
}

/// Returns the first upstream in the prefix's ranking whose cost is within the bound.
///
/// All VMs rank the upstreams for a prefix in the same order, so they share its cache without
/// coordination (consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018).
fn choose_by_affinity(prefix_hash: u64, candidates: &[Candidate<'_>]) -> Option<UpstreamId> {
    if candidates.is_empty() {
        return None;
    }
    let total: f64 = candidates.iter().map(|it| it.cost).sum();
    let count = u32::try_from(candidates.len()).map_or(f64::MAX, f64::from);
    let bound = AFFINITY_LOAD_BOUND * total / count;
    let within_bound = candidates.iter().filter(|it| it.cost <= bound);
    let first = within_bound.min_by_key(|it| stable_hash((prefix_hash, &*it.upstream.spec.id)))?;
    Some(first.upstream.spec.id.clone())
}

/// Returns the cheaper of two random candidates (power of two choices: Mitzenmacher, 2001).
///
/// `draws` are uniformly distributed random numbers.
fn better_of_two(draws: [u32; 2], candidates: &[Candidate<'_>]) -> Option<UpstreamId> {
    let pick = |draw: u32| candidates.get(draw as usize % candidates.len().max(1));
    let [first, second] = draws.map(pick);
    let (first, second) = (first?, second?);
    let better = if second.cost < first.cost { second } else { first };
    Some(better.upstream.spec.id.clone())
}
