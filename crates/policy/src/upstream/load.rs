//! Load of an upstream, from late reports and from what was sent since.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Tier;
use serde::Deserialize;
use serde::Serialize;

/// Age up to which a report counts in full.
const REPORT_FRESH: Duration = Duration::from_millis(1_500);

/// Age at which a report says nothing any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Load that an upstream reported.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running or waiting in the upstream, for each tier.
    pub by_tier: BTreeMap<Tier, u32>,
}

impl LoadReport {
    /// Requests of `tier` and above.
    fn at_or_above(&self, tier: Tier) -> u32 {
        self.by_tier.range(..=tier).map(|(_, count)| count).sum()
    }
}

/// Estimate of the load of one upstream.
///
/// What this VM has in flight is known exactly. What the others have is taken from the last
/// report, less this VM's own share when it came in; an old report counts less and less.
#[derive(Debug, Default)]
pub(crate) struct LoadEstimate {
    own: LoadReport,
    reported: Option<Reported>,
}

#[derive(Debug)]
struct Reported {
    report: LoadReport,
    own_then: LoadReport,
    received_at: Instant,
}

impl LoadEstimate {
    /// Counts an attempt that was sent.
    pub(crate) fn add(&mut self, tier: Tier) {
        *self.own.by_tier.entry(tier).or_insert(0) += 1;
    }

    /// Counts an attempt that ended.
    pub(crate) fn remove(&mut self, tier: Tier) {
        if let Some(count) = self.own.by_tier.get_mut(&tier) {
            *count = count.saturating_sub(1);
        }
    }

    /// Takes a new report.
    pub(crate) fn report(&mut self, now: Instant, report: LoadReport) {
        self.reported = Some(Reported { report, own_then: self.own.clone(), received_at: now });
    }

    /// Requests of this VM in flight.
    pub(crate) fn own_in_flight(&self) -> u32 {
        self.own.by_tier.values().sum()
    }

    /// Estimated requests of `tier` and above, from all VMs.
    pub(crate) fn at_or_above(&self, now: Instant, tier: Tier) -> u32 {
        self.own.at_or_above(tier) + self.others_at_or_above(now, tier)
    }

    fn others_at_or_above(&self, now: Instant, tier: Tier) -> u32 {
        let Some(reported) = &self.reported else { return 0 };
        let age = now.saturating_duration_since(reported.received_at);
        let total = reported.report.at_or_above(tier);
        let others = total.saturating_sub(reported.own_then.at_or_above(tier));
        let left = REPORT_LIFETIME.saturating_sub(age.max(REPORT_FRESH));
        let fading = REPORT_LIFETIME - REPORT_FRESH;
        let scaled = u128::from(others) * left.as_millis() / fading.as_millis();
        u32::try_from(scaled).unwrap_or(others)
    }
}
