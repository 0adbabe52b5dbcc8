//! Life cycle of a relay: serving, draining, closed, calls ended.

use std::io;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::threads::ThreadCount;
use cranberryvalve_adapters::threads::ThreadGuard;
use slog::info;

use crate::call_log::millis;
use crate::socket::Waker;
use crate::state::Relay;

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Time for which new requests are still served, since the load balancer notices the shutdown
    /// with a delay.
    pub drain_delay: Duration,
    /// Time after which the calls in flight are ended with a response.
    pub call_timeout: Duration,
    /// Time after which the process exits even if such responses are not written yet.
    pub timeout: Duration,
}

/// How far the shutdown of a relay has got. Each state is entered once and never left.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    is_draining: AtomicBool,
    /// When the calls in flight are ended; unset while all requests are accepted.
    calls_end_at: OnceLock<Instant>,
    /// Woken when requests are no longer accepted.
    closed: Waker,
    /// Woken when the calls in flight are ended.
    calls_ended: Waker,
    threads: Arc<ThreadCount>,
}

impl Lifecycle {
    /// # Errors
    ///
    /// Returns an error if no file descriptor is available.
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self {
            is_draining: AtomicBool::new(false),
            calls_end_at: OnceLock::new(),
            closed: Waker::new()?,
            calls_ended: Waker::new()?,
            threads: Arc::default(),
        })
    }

    /// Returns `true` if the relay is shutting down.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Returns `true` if calls in flight have been ended, or are about to be.
    pub(crate) fn has_ended_calls(&self) -> bool {
        !self.accepts(Instant::now())
    }

    /// Returns `true` if a call with this deadline may start.
    pub(crate) fn accepts(&self, deadline: Instant) -> bool {
        self.calls_end_at.get().is_none_or(|it| deadline <= *it)
    }

    /// Returns the waker that ends the waits of idle connections.
    pub(crate) const fn closed(&self) -> &Waker {
        &self.closed
    }

    /// Returns the waker that ends the waits of calls.
    pub(crate) const fn calls_ended(&self) -> &Waker {
        &self.calls_ended
    }

    /// Counts a thread that accepts or serves connections.
    pub(crate) fn begin_thread(&self) -> ThreadGuard {
        self.threads.begin()
    }
}

impl Relay {
    /// Shuts down without interrupting calls, as far as [`ShutdownSettings::call_timeout`] allows.
    ///
    /// The relay reports not ready at once, so that the load balancer sends callers elsewhere.
    /// Requests that still arrive within [`ShutdownSettings::drain_delay`] are served, and each
    /// connection is closed after its response. After that, connections are no longer accepted,
    /// requests that are still being read are refused unless their deadline is near, and calls in
    /// flight are completed. Those that last longer end with a response that tells whether they may
    /// have run, except for streams that have begun, which end with the process.
    ///
    /// All times count from `requested_at`, when the process was told to stop.
    pub fn shut_down(&self, requested_at: Instant, settings: ShutdownSettings) {
        let lifecycle = &self.lifecycle;
        lifecycle.is_draining.store(true, Ordering::SeqCst);
        self.leave_peers();
        let drain_delay = settings.drain_delay.min(settings.call_timeout);
        thread::sleep(drain_delay.saturating_sub(requested_at.elapsed()));
        let calls_end_at = requested_at + settings.call_timeout;
        // Unset before, as a relay shuts down only once.
        let _ = lifecycle.calls_end_at.set(calls_end_at);
        self.close_listeners();
        lifecycle.closed.wake();
        // By now this VM knows of the others that stop at the same time, and has got what was sent to it
        // before all of them knew that it leaves.
        self.hand_over_origins();
        lifecycle.threads.wait_for_end(calls_end_at);
        let ended_requests = self.active_requests();
        lifecycle.calls_ended.wake();
        // Counts from now, as this thread may have been woken late, and the callers' threads with it.
        let response_time = settings.timeout.saturating_sub(settings.call_timeout);
        lifecycle.threads.wait_for_end(Instant::now() + response_time);
        if let Some(peers) = self.peers() {
            peers.send_usage_counts();
        }
        info!(self.log, "shutdown is over"; "elapsed_ms" => millis(requested_at.elapsed()),
            "ended_requests" => ended_requests, "requests" => self.active_requests(),
            "connections" => self.caller_connections());
    }
}
