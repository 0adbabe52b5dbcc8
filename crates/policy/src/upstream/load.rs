//! Estimated load of an upstream, from its delayed reports and the requests of this VM.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Tier;
use serde::Deserialize;
use serde::Serialize;

/// Maximum age of a report that is given its full weight.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(1_500);

/// Age at which the weight of a report reaches zero.
const ZERO_WEIGHT_AGE: Duration = Duration::from_secs(5);

/// Load reported by an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests running or queued in the upstream, by tier.
    pub by_tier: BTreeMap<Tier, u32>,
}

impl LoadReport {
    /// Returns the number of requests of `tier` and higher tiers.
    fn at_or_above(&self, tier: Tier) -> u32 {
        self.by_tier.range(..=tier).map(|(_, count)| count).sum()
    }
}

/// Estimate of the load of one upstream.
///
/// The number of requests that this VM has in flight is exact. The load from other VMs is the last
/// reported load minus this VM's own share when the report arrived. It decays linearly to zero
/// between [`FULL_WEIGHT_AGE`] and [`ZERO_WEIGHT_AGE`].
#[derive(Debug, Default)]
pub(crate) struct LoadEstimate {
    own: LoadReport,
    last_report: Option<ReceivedReport>,
}

#[derive(Debug)]
struct ReceivedReport {
    report: LoadReport,
    own_at_receipt: LoadReport,
    received_at: Instant,
}

impl LoadEstimate {
    /// Counts an attempt sent at `tier`.
    pub(crate) fn add(&mut self, tier: Tier) {
        *self.own.by_tier.entry(tier).or_insert(0) += 1;
    }

    /// Removes an ended attempt from the count of `tier`.
    pub(crate) fn remove(&mut self, tier: Tier) {
        if let Some(count) = self.own.by_tier.get_mut(&tier) {
            *count = count.saturating_sub(1);
        }
    }

    /// Replaces the last report.
    pub(crate) fn report(&mut self, now: Instant, report: LoadReport) {
        self.last_report =
            Some(ReceivedReport { report, own_at_receipt: self.own.clone(), received_at: now });
    }

    /// Returns the number of requests that this VM has in flight.
    pub(crate) fn own_in_flight(&self) -> u32 {
        self.own.by_tier.values().sum()
    }

    /// Returns the estimated number of requests of `tier` and higher tiers from all VMs.
    pub(crate) fn at_or_above(&self, now: Instant, tier: Tier) -> u32 {
        self.own.at_or_above(tier) + self.others_at_or_above(now, tier)
    }

    fn others_at_or_above(&self, now: Instant, tier: Tier) -> u32 {
        let Some(last_report) = &self.last_report else { return 0 };
        let age = now.saturating_duration_since(last_report.received_at);
        let total = last_report.report.at_or_above(tier);
        let others_reported = total.saturating_sub(last_report.own_at_receipt.at_or_above(tier));
        let remaining = ZERO_WEIGHT_AGE.saturating_sub(age.max(FULL_WEIGHT_AGE));
        let decay_period = ZERO_WEIGHT_AGE - FULL_WEIGHT_AGE;
        let scaled = u128::from(others_reported) * remaining.as_millis() / decay_period.as_millis();
        u32::try_from(scaled).unwrap_or(others_reported)
    }
}
