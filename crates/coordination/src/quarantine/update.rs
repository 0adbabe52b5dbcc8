//! Evidence as VMs send it to each other.
//!
//! Times are sent as ages, as the clocks of VMs differ.

use std::time::Instant;

use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::UpstreamStart;
use serde::Deserialize;
use serde::Serialize;

/// What a VM knows of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The key.
    pub key: SuspectKey,
    /// Position among the keys of a call; a later key is more specific.
    pub position: u16,
    /// Crashes of upstreams under calls with the key, the latest ones only.
    pub crashes: Vec<CrashReport>,
    /// Time in milliseconds since the latest response began; `None` if none is known.
    pub response_age_ms: Option<u32>,
    /// Number of trials since the key was condemned.
    pub trials: u32,
    /// Time in milliseconds since the last trial; `None` if there was none.
    pub trial_age_ms: Option<u32>,
}

/// A crash of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Start of the upstream that crashed.
    pub start: UpstreamStart,
    /// Time in milliseconds since the crash.
    pub age_ms: u32,
}

/// Returns the time in milliseconds between `at` and `now`, 49 days at most.
pub(super) fn age_ms(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}
