//! Table of the upstreams known to this VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Config;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamSpec;

use super::circuit::CircuitBreaker;
use super::load::LoadEstimate;
use super::token_interval::TokenIntervalAverage;

/// Ratio to the pool's median token interval at which an upstream counts as a straggler.
const STRAGGLER_RATIO: f64 = 3.0;

/// Minimum pool size for each unavailable upstream when a straggler is taken out.
///
/// At most one in this many upstreams of the pool may then be unavailable, the straggler included.
const POOL_SIZE_PER_STRAGGLER: usize = 3;

/// State of one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) spec: Arc<UpstreamSpec>,
    pub(crate) load: LoadEstimate,
    pub(crate) circuit: CircuitBreaker,
    pub(crate) token_interval: TokenIntervalAverage,
    pub(crate) leaving: bool,
    removed: bool,
}

impl Upstream {
    fn new(spec: Arc<UpstreamSpec>) -> Self {
        Self {
            spec,
            load: LoadEstimate::default(),
            circuit: CircuitBreaker::new(),
            token_interval: TokenIntervalAverage::default(),
            leaving: false,
            removed: false,
        }
    }

    /// Returns whether it is in service and its circuit allows a request at `now`.
    ///
    /// Does not check whether it has a free slot.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        !self.is_withdrawn() && self.circuit.allows_request(now)
    }

    /// Returns whether all its slots are estimated to be in use, counting every tier.
    pub(crate) fn is_busy(&self, now: Instant) -> bool {
        self.load.at_or_above(now, Tier::MAX) >= self.spec.slots
    }

    /// Returns whether it was removed, drained or is shutting down.
    ///
    /// An upstream that is only failing is not withdrawn.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.removed || self.leaving || self.spec.drained
    }
}

/// Upstreams by name, with an index by pool.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    pools: BTreeMap<PoolId, Vec<UpstreamId>>,
}

impl UpstreamTable {
    /// Updates the table to match `config`.
    ///
    /// Upstreams that remain keep their state unless their address changed. Removed upstreams are
    /// kept until their last request of this VM ends.
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

    /// Returns the upstreams that serve `pool`.
    pub(crate) fn pool<'a>(&'a self, pool: &str) -> impl Iterator<Item = &'a Upstream> {
        let ids = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.upstreams.get(id))
    }

    /// Returns the names of all pools.
    pub(crate) fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().cloned().collect()
    }

    /// Returns whether an upstream of the configuration serves `pool`.
    pub(crate) fn has_pool(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    /// Returns the pools that upstream `id` serves.
    pub(crate) fn pools_of(&self, id: &str) -> Vec<PoolId> {
        self.upstreams.get(id).map_or_else(Vec::new, |it| it.spec.pools.clone())
    }

    /// Records a token interval of upstream `id` and opens its circuit if it is a straggler.
    ///
    /// Otherwise its circuit is closed if it was opened for that. The comparison is with the first pool that it serves.
    pub(crate) fn record_token_interval(&mut self, now: Instant, id: &str, interval: Duration) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.token_interval.record(interval);
        let Some(pool) = upstream.spec.pools.first().cloned() else { return };
        let is_straggler =
            self.is_straggler(id, &pool) && !self.too_few_would_remain(now, id, &pool);
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if is_straggler {
            upstream.circuit.open_for_slowness(now);
        } else {
            upstream.circuit.record_normal_speed();
        }
    }

    fn is_straggler(&self, id: &str, pool: &str) -> bool {
        let own_ms = self.upstreams.get(id).and_then(|it| it.token_interval.mean_ms());
        match (own_ms, Self::median_token_interval_ms(self.pool(pool))) {
            (Some(own_ms), Some(median_ms)) => own_ms >= median_ms * STRAGGLER_RATIO,
            _ => false,
        }
    }

    /// Returns the median token interval of `upstreams` in milliseconds, or `None` if no interval
    /// is known.
    pub(crate) fn median_token_interval_ms<'a>(
        upstreams: impl Iterator<Item = &'a Upstream>,
    ) -> Option<f64> {
        let mut intervals_ms: Vec<f64> =
            upstreams.filter_map(|it| it.token_interval.mean_ms()).collect();
        intervals_ms.sort_by(f64::total_cmp);
        let middle = intervals_ms.len().checked_sub(1)? / 2;
        intervals_ms.get(middle).copied()
    }

    /// Returns whether taking out `id` would leave too few available upstreams in `pool`.
    fn too_few_would_remain(&self, now: Instant, id: &str, pool: &str) -> bool {
        let all = self.pool(pool).count();
        let others = self.pool(pool).filter(|it| &*it.spec.id != id);
        let unavailable = others.filter(|it| !it.is_available(now)).count();
        (unavailable + 1) * POOL_SIZE_PER_STRAGGLER > all
    }
}
