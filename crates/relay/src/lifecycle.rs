//! Graceful shutdown.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use slog::info;

use crate::call_log::millis;
use crate::state::Relay;

/// Interval at which the requests in progress are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without requests in progress before the relay stops.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Time for which new requests are still served, since the load balancer notices the shutdown
    /// with a delay.
    pub drain_delay: Duration,
    /// Maximum duration of the shutdown, after which the process exits even with calls in flight.
    pub timeout: Duration,
}

impl Relay {
    /// Shuts down without interrupting calls, as far as [`ShutdownSettings::timeout`] allows.
    ///
    /// The relay reports not ready at once, so that the load balancer sends callers elsewhere.
    /// Requests that still arrive within [`ShutdownSettings::drain_delay`] are served, and each
    /// connection is closed after its response. After that, new requests are no longer accepted and
    /// those in progress are completed.
    pub fn shut_down(&self, settings: ShutdownSettings) {
        let started_at = Instant::now();
        self.start_draining();
        thread::sleep(settings.drain_delay);
        self.close();
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() < QUIET_PERIOD && started_at.elapsed() < settings.timeout {
            if self.active_requests() > 0 {
                quiet_since = Instant::now();
            }
            thread::sleep(POLL_INTERVAL);
        }
        info!(self.log, "shutdown is over"; "elapsed_ms" => millis(started_at.elapsed()),
            "requests" => self.active_requests(), "connections" => self.caller_connections());
    }
}
