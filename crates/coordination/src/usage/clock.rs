//! The true time, as several VMs agree on it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use super::millis;

/// Difference from the agreed time from which a clock is corrected: well above the delay of a message
/// to a busy VM, and 4 % of a window of 5 s.
const MAX_DEVIATION_MS: u64 = 200;

/// Time for which a reading counts: three of the messages that carry them.
const READING_LIFETIME: Duration = Duration::from_secs(3);

/// The clocks of a VM, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClockReading {
    /// Estimate of the true time, from the monotonic clock.
    pub estimate_ms: u64,
    /// The wall clock, which may have jumped.
    pub wall_ms: u64,
}

/// Estimate of the true time that jumps of the wall clock do not change.
#[derive(Debug, Clone, Copy)]
pub struct TrueClock {
    at: Instant,
    time_ms: u64,
}

impl TrueClock {
    /// Creates a clock that takes the wall clock as right once.
    pub const fn new(now: Instant, wall_ms: u64) -> Self {
        Self { at: now, time_ms: wall_ms }
    }

    /// Returns the estimated time in milliseconds since the Unix epoch.
    pub fn now_ms(&self, now: Instant) -> u64 {
        self.time_ms.saturating_add(millis(now.saturating_duration_since(self.at)))
    }

    /// Adopts the agreed time if this clock deviates from it. Returns `true` if it did.
    pub fn correct(&mut self, now: Instant, agreed_ms: u64) -> bool {
        let deviates = deviates(self.now_ms(now), agreed_ms);
        if deviates {
            *self = Self::new(now, agreed_ms);
        }
        deviates
    }
}

/// Returns `true` if an estimate has to be corrected to the agreed time.
pub(super) const fn deviates(estimate_ms: u64, agreed_ms: u64) -> bool {
    estimate_ms.abs_diff(agreed_ms) > MAX_DEVIATION_MS
}

/// Readings of the clocks of several VMs.
#[derive(Debug, Default)]
pub struct ClockVotes {
    readings: BTreeMap<VmId, (Instant, ClockReading)>,
}

impl ClockVotes {
    /// Records a reading that was just received.
    pub fn record(&mut self, now: Instant, vm: &VmId, reading: ClockReading) {
        self.readings.insert(vm.clone(), (now, reading));
    }

    /// Returns the agreed time: the median of the estimates and wall clocks of all VMs. Returns `None`
    /// with fewer than two VMs, whose two clocks decide nothing.
    pub fn agreed_ms(&mut self, now: Instant) -> Option<u64> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.readings.retain(|_, (at, _)| age(*at) < READING_LIFETIME);
        if self.readings.len() < 2 {
            return None;
        }
        let readings = self.readings.values().flat_map(|(at, it)| {
            [it.estimate_ms, it.wall_ms].map(|time| time.saturating_add(millis(age(*at))))
        });
        let mut times: Vec<u64> = readings.collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }

    /// Returns the VMs whose readings count.
    pub fn vms(&self, now: Instant) -> Vec<VmId> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < READING_LIFETIME;
        self.readings.iter().filter(|(_, it)| is_recent(it.0)).map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns `true` if the VM has to be told the agreed time.
    pub const fn deviates(reading: ClockReading, agreed_ms: u64) -> bool {
        deviates(reading.estimate_ms, agreed_ms)
    }
}
