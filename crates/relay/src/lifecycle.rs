//! How a relay stops.

use std::time::Duration;
use std::time::Instant;

use crate::state::Relay;

/// Pause between two looks at what is still in flight.
const INTERVAL: Duration = Duration::from_millis(20);

/// Time for which nothing may be in flight before the relay stops.
const QUIET: Duration = Duration::from_millis(300);

/// How long a stop takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSettings {
    /// Time for which callers may still come, as the balancer learns late that the VM stops.
    pub settle: Duration,
    /// Time after which the process ends, whatever is in flight.
    pub limit: Duration,
}

impl Relay {
    /// Stops without interrupting a call, as far as the time allows.
    ///
    /// The relay is not ready from now on, so that the balancer sends callers elsewhere; those
    /// that still come are served, and each connection is closed after its answer.
    pub fn stop(&self, settings: StopSettings) {
        let started_at = Instant::now();
        self.start_draining();
        let mut quiet_since = Instant::now();
        loop {
            if self.busy_callers() > 0 {
                quiet_since = Instant::now();
            }
            let settled = started_at.elapsed() >= settings.settle;
            let quiet = quiet_since.elapsed() >= QUIET;
            if (settled && quiet) || started_at.elapsed() >= settings.limit {
                return;
            }
            std::thread::sleep(INTERVAL);
        }
    }
}
