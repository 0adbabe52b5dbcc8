//! All upstreams of this VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Config;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamSpec;

use super::circuit::Circuit;
use super::load::LoadEstimate;
use super::pace::Pace;

/// Times the pool's median pace at which an upstream counts as a straggler.
const STRAGGLER_RATIO: f64 = 3.0;

/// Upstreams of a pool that may be out as stragglers: one in this many.
const POOL_PER_STRAGGLER: usize = 3;

/// State of one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) spec: Arc<UpstreamSpec>,
    pub(crate) load: LoadEstimate,
    pub(crate) circuit: Circuit,
    pub(crate) pace: Pace,
    pub(crate) leaving: bool,
    removed: bool,
}

impl Upstream {
    fn new(spec: Arc<UpstreamSpec>) -> Self {
        Self {
            spec,
            load: LoadEstimate::default(),
            circuit: Circuit::new(),
            pace: Pace::default(),
            leaving: false,
            removed: false,
        }
    }

    /// Whether it takes new work at `now`, as far as its state goes.
    pub(crate) fn takes_work(&self, now: Instant) -> bool {
        !self.is_withdrawn() && self.circuit.admits(now)
    }

    /// Whether its slots are taken, by whatever tier.
    pub(crate) fn is_busy(&self, now: Instant) -> bool {
        self.load.at_or_above(now, Tier::MAX) >= self.spec.slots
    }

    /// Whether it was taken out of service, and not just by a fault.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.removed || self.leaving || self.spec.drained
    }
}

/// Upstreams by name, and the names by pool.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    pools: BTreeMap<PoolId, Vec<UpstreamId>>,
}

impl UpstreamTable {
    /// Brings the table in line with `config`; state of upstreams that stay is kept.
    pub(crate) fn reconcile(&mut self, config: &Config) {
        self.pools.clear();
        for upstream in self.upstreams.values_mut() {
            upstream.removed = true;
        }
        for spec in &config.upstreams {
            self.update(spec);
        }
        self.upstreams.retain(|_, it| !it.removed || it.load.own_in_flight() > 0);
    }

    fn update(&mut self, spec: &UpstreamSpec) {
        for pool in &spec.pools {
            self.pools.entry(pool.clone()).or_default().push(spec.id.clone());
        }
        let spec = Arc::new(spec.clone());
        let entry = self.upstreams.entry(spec.id.clone());
        let upstream = entry.or_insert_with(|| Upstream::new(spec.clone()));
        if upstream.spec.address != spec.address {
            *upstream = Upstream::new(spec.clone());
        }
        upstream.spec = spec;
        upstream.removed = false;
    }

    pub(crate) fn entry(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Upstreams that serve `pool`.
    pub(crate) fn pool<'a>(&'a self, pool: &str) -> impl Iterator<Item = &'a Upstream> {
        let ids = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.upstreams.get(id))
    }

    /// Names of all pools.
    pub(crate) fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().cloned().collect()
    }

    /// Pools that `id` serves.
    pub(crate) fn pools_of(&self, id: &str) -> Vec<PoolId> {
        self.upstreams.get(id).map_or_else(Vec::new, |it| it.spec.pools.clone())
    }

    /// Records the pace of `id` and takes it out when it is a straggler among its peers.
    pub(crate) fn record_pace(&mut self, now: Instant, id: &str, interval: Duration) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.pace.record(interval);
        let Some(pool) = upstream.spec.pools.first().cloned() else { return };
        let is_straggler = self.is_straggler(id, &pool) && !self.too_many_out(now, id, &pool);
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if is_straggler {
            upstream.circuit.open_for_slowness(now);
        } else {
            upstream.circuit.succeeded();
        }
    }

    fn is_straggler(&self, id: &str, pool: &str) -> bool {
        let own_ms = self.upstreams.get(id).and_then(|it| it.pace.mean_ms());
        match (own_ms, Self::median_pace_ms(self.pool(pool))) {
            (Some(own_ms), Some(median_ms)) => own_ms >= median_ms * STRAGGLER_RATIO,
            _ => false,
        }
    }

    /// Median of the paces of `upstreams` in milliseconds; none when no pace is known.
    pub(crate) fn median_pace_ms<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> Option<f64> {
        let mut paces_ms: Vec<f64> = upstreams.filter_map(|it| it.pace.mean_ms()).collect();
        paces_ms.sort_by(f64::total_cmp);
        let middle = paces_ms.len().checked_sub(1)? / 2;
        paces_ms.get(middle).copied()
    }

    /// Whether taking out `id` too would leave too few upstreams in `pool`.
    fn too_many_out(&self, now: Instant, id: &str, pool: &str) -> bool {
        let all = self.pool(pool).count();
        let others = self.pool(pool).filter(|it| &*it.spec.id != id);
        let out = others.filter(|it| !it.takes_work(now)).count();
        (out + 1) * POOL_PER_STRAGGLER > all
    }
}
