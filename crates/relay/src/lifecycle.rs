//! Graceful shutdown.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use slog::info;

use crate::call_log::millis;
use crate::state::Relay;

/// Counts the threads that accept or serve connections, which keep the process running.
#[derive(Debug, Default)]
pub(crate) struct WorkInProgress {
    threads: Mutex<usize>,
    ended: Condvar,
}

/// Counts a thread until it is dropped.
pub(crate) struct WorkGuard(Arc<WorkInProgress>);

impl WorkInProgress {
    pub(crate) fn begin(self: &Arc<Self>) -> WorkGuard {
        *self.lock() += 1;
        WorkGuard(self.clone())
    }

    /// Waits until no such thread is left, but not longer than until `deadline`.
    fn wait_for_end(&self, deadline: Instant) {
        let mut threads = self.lock();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if *threads == 0 || remaining.is_zero() {
                return;
            }
            let waited = self.ended.wait_timeout(threads, remaining);
            threads = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.threads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
        self.0.ended.notify_all();
    }
}

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
        self.work_in_progress.wait_for_end(started_at + settings.timeout);
        info!(self.log, "shutdown is over"; "elapsed_ms" => millis(started_at.elapsed()),
            "requests" => self.active_requests(), "connections" => self.caller_connections());
    }
}
