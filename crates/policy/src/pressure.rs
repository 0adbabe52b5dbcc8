//! Queue pressure reported by other VMs: which tiers have requests queued for which pool.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PoolId;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::PressureEntry;
use cranberryvalve_core::Tier;

/// Age at which a report of queued requests expires.
pub(crate) const PRESSURE_TTL: Duration = Duration::from_millis(1_500);

/// Queue pressure on other VMs, as known to this VM.
#[derive(Debug, Default)]
pub(crate) struct PeerPressure {
    last_seen: BTreeMap<(PoolId, Tier), Instant>,
}

impl PeerPressure {
    /// Merges a digest, keeping the latest time for each pool and tier.
    pub(crate) fn merge(&mut self, now: Instant, digest: &PressureDigest) {
        for entry in &digest.entries {
            let age = Duration::from_millis(entry.age_ms.into());
            let Some(last_seen) = now.checked_sub(age) else { continue };
            let latest =
                self.last_seen.entry((entry.pool.clone(), entry.tier)).or_insert(last_seen);
            *latest = last_seen.max(*latest);
        }
        self.remove_expired(now);
    }

    /// Returns whether a request of a tier above `tier` is queued for `pool` on another VM.
    pub(crate) fn has_higher_tier_waiting(&self, now: Instant, pool: &PoolId, tier: Tier) -> bool {
        (0..tier).any(|higher_tier| {
            let last_seen = self.last_seen.get(&(pool.clone(), higher_tier));
            last_seen.is_some_and(|it| now.saturating_duration_since(*it) < PRESSURE_TTL)
        })
    }

    /// Returns all entries that have not expired, to be forwarded to other VMs.
    pub(crate) fn entries(&self, now: Instant) -> Vec<PressureEntry> {
        let fresh = self.last_seen.iter().filter_map(|((pool, tier), last_seen)| {
            let age = now.saturating_duration_since(*last_seen);
            (age < PRESSURE_TTL).then(|| PressureEntry {
                pool: pool.clone(),
                tier: *tier,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        fresh.collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.last_seen
            .retain(|_, last_seen| now.saturating_duration_since(*last_seen) < PRESSURE_TTL);
    }
}
