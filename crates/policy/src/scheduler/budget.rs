//! The retry budget that all VMs share.

use std::collections::HashMap;

use cranberryvalve_core::PoolId;

use super::snapshot::PoolRetries;

/// Share of the permitted retries for each request that is used; the rest covers requests whose
/// first arrival other VMs count differently.
const RATIO_USED: f64 = 0.75;

/// Share of the permitted retries at once that all VMs together use.
const SLACK_USED: f64 = 0.6;

/// Limits on retries over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request to a pool.
    pub ratio: f64,
    /// Retries beyond that in one window, for all VMs together.
    pub slack: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 20.0 }
    }
}

/// Token buckets, one for each pool, that hold this VM's share of the retries.
///
/// Each request adds to its pool's bucket. A bucket starts empty, so that a restart brings no new
/// retries, and holds at most this VM's share of the slack.
#[derive(Debug)]
pub(super) struct RetryBudget {
    limits: RetryLimits,
    vms: u32,
    tokens: HashMap<PoolId, f64>,
}

impl RetryBudget {
    pub(super) fn new(limits: RetryLimits) -> Self {
        Self { limits, vms: 1, tokens: HashMap::new() }
    }

    /// Sets the number of VMs that share the slack.
    pub(super) const fn set_vms(&mut self, vms: u32) {
        self.vms = if vms == 0 { 1 } else { vms };
    }

    /// Counts a request to `pool`.
    pub(super) fn credit(&mut self, pool: &PoolId) {
        let capacity = self.capacity();
        let tokens = self.tokens.entry(pool.clone()).or_default();
        *tokens = (*tokens + self.limits.ratio * RATIO_USED).min(capacity);
    }

    /// Takes one retry; false when there is none left.
    pub(super) fn take(&mut self, pool: &PoolId) -> bool {
        let tokens = self.tokens.entry(pool.clone()).or_default();
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Retries that each pool has left.
    pub(super) fn left(&self) -> Vec<PoolRetries> {
        let pools = self.tokens.iter();
        pools.map(|(pool, retries)| PoolRetries { pool: pool.clone(), retries: *retries }).collect()
    }

    fn capacity(&self) -> f64 {
        (self.limits.slack * SLACK_USED / f64::from(self.vms)).max(1.0)
    }
}
