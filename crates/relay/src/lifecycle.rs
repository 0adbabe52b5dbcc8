//! How a relay stops.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::state::Relay;

/// Pause between two looks at what is still in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which nothing may be in flight before the relay stops.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

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
    /// that still come are served, and each connection is closed after its answer. When that is
    /// settled, no new request is taken and those under way come to their end.
    pub fn stop(&self, settings: StopSettings) {
        let started_at = Instant::now();
        self.start_draining();
        thread::sleep(settings.settle);
        self.close();
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() < QUIET_PERIOD && started_at.elapsed() < settings.limit {
            if self.busy_callers() > 0 {
                quiet_since = Instant::now();
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}
