//! Pressure that peers tell each other: who waits for which pool.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PoolId;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::PressureEntry;
use cranberryvalve_core::Tier;

/// Age at which evidence of waiting requests no longer counts.
pub(crate) const PRESSURE_TTL: Duration = Duration::from_millis(1_500);

/// What this VM knows of the pressure elsewhere.
#[derive(Debug, Default)]
pub(crate) struct PressureView {
    seen_at: BTreeMap<(PoolId, Tier), Instant>,
}

impl PressureView {
    /// Merges a peer's digest.
    pub(crate) fn merge(&mut self, now: Instant, digest: &PressureDigest) {
        for entry in &digest.entries {
            let age = Duration::from_millis(entry.age_ms.into());
            let Some(seen_at) = now.checked_sub(age) else { continue };
            let slot = self.seen_at.entry((entry.pool.clone(), entry.tier)).or_insert(seen_at);
            *slot = seen_at.max(*slot);
        }
        self.forget_old(now);
    }

    /// Whether a request of a tier above `tier` waits for `pool` on another VM.
    pub(crate) fn holds_back(&self, now: Instant, pool: &PoolId, tier: Tier) -> bool {
        (0..tier).any(|above| {
            let seen_at = self.seen_at.get(&(pool.clone(), above));
            seen_at.is_some_and(|it| now.saturating_duration_since(*it) < PRESSURE_TTL)
        })
    }

    /// All fresh evidence, for passing on.
    pub(crate) fn entries(&self, now: Instant) -> Vec<PressureEntry> {
        let fresh = self.seen_at.iter().filter_map(|((pool, tier), seen_at)| {
            let age = now.saturating_duration_since(*seen_at);
            (age < PRESSURE_TTL).then(|| PressureEntry {
                pool: pool.clone(),
                tier: *tier,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        fresh.collect()
    }

    fn forget_old(&mut self, now: Instant) {
        self.seen_at.retain(|_, seen_at| now.saturating_duration_since(*seen_at) < PRESSURE_TTL);
    }
}
