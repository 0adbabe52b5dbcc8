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
use cranberryvalve_core::shared_hash;
use rand::RngExt;

use super::Router;
use crate::upstream::Upstream;
use crate::upstream::UpstreamTable;

/// Times the pool's mean load up to which prefix affinity is followed.
const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// Slots of which one is left free for each tier above, by what the deployment weighs most.
const HEADROOM_ATTAINMENT: u32 = 4;
const HEADROOM_GOODPUT: u32 = 8;

/// Cost of leaving the VM's own failure domain, as a share of an upstream's load.
const REMOTE_PENALTY: f64 = 0.05;

/// Where a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Placement {
    /// To this upstream.
    Upstream(UpstreamId),
    /// Nowhere at present: every upstream is full, or out for a while.
    NoRoom,
    /// Nowhere: no upstream is configured for the pool.
    NoneServes,
}

/// An upstream that has room for the request.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Load relative to the slots, weighted by pace; smaller is better.
    cost: f64,
}

impl Router {
    /// Chooses an upstream of `pool` with room at `slot_tier`.
    pub(super) fn place(
        &mut self,
        now: Instant,
        pool: &PoolId,
        id: RequestId,
        slot_tier: Tier,
        overflow: u32,
    ) -> Placement {
        let draws = [self.rng.random(), self.rng.random()];
        let Some(tracked) = self.requests.get(&id) else { return Placement::NoRoom };
        let subset = self.subset(now, pool);
        if subset.is_empty() && self.upstreams.pool(pool).all(Upstream::is_withdrawn) {
            return Placement::NoneServes;
        }
        let fresh = |it: &&Upstream| !tracked.avoid.contains(&it.spec.id);
        let any_fresh = subset.iter().any(fresh);
        let eligible = subset.iter().copied().filter(|it| !any_fresh || fresh(it));
        let median_ms = UpstreamTable::median_pace_ms(subset.iter().copied());
        let candidates: Vec<Candidate<'_>> = eligible
            .filter_map(|it| self.candidate(now, it, slot_tier, overflow, median_ms))
            .collect();
        let by_affinity = tracked.request.prefix_hash.and_then(|it| by_affinity(it, &candidates));
        let chosen = match by_affinity {
            Some(upstream) => Some(upstream),
            None => better_of_two(draws, &candidates),
        };
        chosen.map_or(Placement::NoRoom, Placement::Upstream)
    }

    fn candidate<'a>(
        &self,
        now: Instant,
        upstream: &'a Upstream,
        slot_tier: Tier,
        overflow: u32,
        median_ms: Option<f64>,
    ) -> Option<Candidate<'a>> {
        let load = upstream.load.at_or_above(now, slot_tier);
        if load >= upstream.spec.slots + overflow {
            return None;
        }
        let total = upstream.load.at_or_above(now, Tier::MAX);
        let headroom = self.headroom(slot_tier, upstream.spec.slots);
        if headroom > 0 && total >= upstream.spec.slots - headroom {
            return None;
        }
        let ratio = f64::from(total + 1) / f64::from(upstream.spec.slots);
        let pace = match (upstream.pace.mean_ms(), median_ms) {
            (Some(own_ms), Some(median_ms)) if median_ms > 0.0 => own_ms / median_ms,
            _ => 1.0,
        };
        let is_local = self.settings.failure_domain.as_ref() == Some(&upstream.spec.failure_domain);
        let distance = if is_local { 0.0 } else { REMOTE_PENALTY };
        Some(Candidate { upstream, cost: ratio * pace + distance })
    }

    /// Slots of an upstream that requests of `tier` leave free for the tiers above.
    ///
    /// An engine gives a free slot to the highest priority, but takes none away from a request
    /// that runs. Without free slots a burst of a high tier waits for long answers to end.
    fn headroom(&self, tier: Tier, slots: u32) -> u32 {
        let mut above: Vec<Tier> =
            self.config.classes.iter().map(|it| it.tier).filter(|it| *it < tier).collect();
        above.sort_unstable();
        above.dedup();
        let tiers_above = u32::try_from(above.len()).unwrap_or(u32::MAX);
        let per_tier = match self.config.profile {
            Profile::Attainment => slots / HEADROOM_ATTAINMENT,
            Profile::Goodput => slots / HEADROOM_GOODPUT,
        };
        (per_tier * tiers_above).min(slots / 2)
    }

    /// Upstreams that this VM considers, in all pools, whether or not they take work.
    ///
    /// Those that are leaving are among them, since their own word may bring them back.
    pub fn considered_upstreams(&self) -> Vec<UpstreamSpec> {
        let ids = self.subsets.values().flatten();
        let considered = ids.filter_map(|id| self.upstreams.get(id));
        let leaving = self.upstreams.iter().filter(|it| it.leaving);
        let by_id = considered.chain(leaving).map(|it| (it.spec.id.clone(), it.spec.clone()));
        let unique: BTreeMap<UpstreamId, Arc<UpstreamSpec>> = by_id.collect();
        unique.into_values().map(Arc::unwrap_or_clone).collect()
    }

    /// Chooses anew which upstreams this VM considers, after some came or were withdrawn.
    pub(super) fn choose_subsets(&mut self) {
        let pools = self.upstreams.pools().into_iter();
        self.subsets = pools.map(|pool| (pool.clone(), self.choose_subset(&pool))).collect();
    }

    /// Each VM ranks the upstreams by a hash of both names (rendezvous hashing: Thaler and
    /// Ravishankar, 1998) and considers the first ones, so that the VMs' subsets overlap evenly
    /// and change little when an upstream comes or goes. Those that were withdrawn do not count.
    fn choose_subset(&self, pool: &PoolId) -> Vec<UpstreamId> {
        let in_service = self.upstreams.pool(pool).filter(|it| !it.is_withdrawn());
        let mut ids: Vec<UpstreamId> = in_service.map(|it| it.spec.id.clone()).collect();
        if ids.len() > self.settings.subset_size {
            ids.sort_by_cached_key(|id| shared_hash((&*self.settings.vm, &**id)));
            ids.truncate(self.settings.subset_size);
        }
        ids
    }

    /// Upstreams of `pool` that this VM considers and that take work.
    fn subset(&self, now: Instant, pool: &PoolId) -> Vec<&Upstream> {
        let ids = self.subsets.get(pool).map_or(&[][..], Vec::as_slice);
        let considered = ids.iter().filter_map(|id| self.upstreams.get(id));
        considered.filter(|it| it.takes_work(now)).collect()
    }
}

/// The first upstream in the prefix's order whose load is bounded.
///
/// All VMs rank the upstreams for a prefix in the same order, so that they share its cache without
/// telling each other (consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam,
/// 2018).
fn by_affinity(prefix_hash: u64, candidates: &[Candidate<'_>]) -> Option<UpstreamId> {
    if candidates.is_empty() {
        return None;
    }
    let total: f64 = candidates.iter().map(|it| it.cost).sum();
    let count = u32::try_from(candidates.len()).map_or(f64::MAX, f64::from);
    let bound = AFFINITY_LOAD_BOUND * total / count;
    let bounded = candidates.iter().filter(|it| it.cost <= bound);
    let first = bounded.min_by_key(|it| shared_hash((prefix_hash, &*it.upstream.spec.id)))?;
    Some(first.upstream.spec.id.clone())
}

/// The cheaper of two random candidates (Mitzenmacher, 2001); `draws` are uniform.
fn better_of_two(draws: [u32; 2], candidates: &[Candidate<'_>]) -> Option<UpstreamId> {
    let pick = |draw: u32| candidates.get(draw as usize % candidates.len().max(1));
    let [first, second] = draws.map(pick);
    let (first, second) = (first?, second?);
    let better = if second.cost < first.cost { second } else { first };
    Some(better.upstream.spec.id.clone())
}
