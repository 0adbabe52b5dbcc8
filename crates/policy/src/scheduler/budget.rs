//! This VM's share of the retry budget of all VMs.

use std::collections::HashMap;

use cranberryvalve_core::PoolId;

use super::snapshot::PoolRetries;

/// Fraction of the permitted retries per request that is used. The rest is a margin for requests
/// whose first arrival other VMs count differently.
const USABLE_RATIO_FRACTION: f64 = 0.75;

/// Fraction of the permitted burst that all VMs together use.
const USABLE_BURST_FRACTION: f64 = 0.6;

/// Limits on retries, shared by all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Number of retries permitted for each request to a pool.
    pub ratio: f64,
    /// Number of retries permitted beyond `ratio` in one window, for all VMs together.
    pub burst: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { ratio: 0.2, burst: 20.0 }
    }
}

/// Token buckets, one for each pool, that hold this VM's share of the retries.
///
/// Each request adds to its pool's bucket. A bucket starts empty, so that a restart permits no
/// extra retries, and holds at most this VM's share of the burst.
#[derive(Debug)]
pub(super) struct RetryBudget {
    limits: RetryLimits,
    vm_count: u32,
    tokens: HashMap<PoolId, f64>,
}

impl RetryBudget {
    pub(super) fn new(limits: RetryLimits) -> Self {
        Self { limits, vm_count: 1, tokens: HashMap::new() }
    }

    /// Sets the number of VMs that share the burst.
    pub(super) const fn set_vm_count(&mut self, vm_count: u32) {
        self.vm_count = if vm_count == 0 { 1 } else { vm_count };
    }

    /// Adds the retries earned by one request to `pool`.
    pub(super) fn deposit(&mut self, pool: &PoolId) {
        let capacity = self.capacity();
        let tokens = self.tokens.entry(pool.clone()).or_default();
        *tokens = (*tokens + self.limits.ratio * USABLE_RATIO_FRACTION).min(capacity);
    }

    /// Withdraws one retry; returns `false` if none is left.
    pub(super) fn try_withdraw(&mut self, pool: &PoolId) -> bool {
        let tokens = self.tokens.entry(pool.clone()).or_default();
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Forgets the pools that are not kept.
    pub(super) fn retain_pools(&mut self, is_kept: impl Fn(&PoolId) -> bool) {
        self.tokens.retain(|pool, _| is_kept(pool));
    }

    /// Returns the number of retries that each pool has left.
    pub(super) fn remaining(&self) -> Vec<PoolRetries> {
        let pools = self.tokens.iter();
        pools.map(|(pool, retries)| PoolRetries { pool: pool.clone(), retries: *retries }).collect()
    }

    fn capacity(&self) -> f64 {
        (self.limits.burst * USABLE_BURST_FRACTION / f64::from(self.vm_count)).max(1.0)
    }
}
