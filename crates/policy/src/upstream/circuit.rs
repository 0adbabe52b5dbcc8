//! Circuit breaker for one upstream.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Number of consecutive failures that opens the circuit.
const FAILURE_THRESHOLD: u32 = 3;

/// Minimum time the circuit stays open; doubles each time it opens again.
const MIN_OPEN_TIME: Duration = Duration::from_secs(1);

/// Maximum time the circuit stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);

/// State of the circuit breaker for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CircuitState {
    /// Requests are sent to the upstream.
    Closed,
    /// No requests are sent to the upstream.
    Open,
    /// One probe request is sent; its result closes the circuit or opens it again.
    HalfOpen,
}

/// Circuit breaker with exponential backoff.
#[derive(Debug)]
pub(crate) struct CircuitBreaker {
    consecutive_failures: u32,
    consecutive_openings: u32,
    open_until: Option<Instant>,
    probe_in_flight: bool,
    open_reason: OpenReason,
}

/// Reason why the circuit last opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OpenReason {
    /// Requests to the upstream failed.
    Failures,
    /// The upstream responded much more slowly than the others in its pool.
    Slowness,
}

impl CircuitBreaker {
    pub(crate) const fn new() -> Self {
        Self {
            consecutive_failures: 0,
            consecutive_openings: 0,
            open_until: None,
            probe_in_flight: false,
            open_reason: OpenReason::Failures,
        }
    }

    /// Returns the state at `now`.
    pub(crate) fn state(&self, now: Instant) -> CircuitState {
        match self.open_until {
            None => CircuitState::Closed,
            Some(until) if now < until => CircuitState::Open,
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// Returns whether a request may be sent at `now`.
    pub(crate) fn allows_request(&self, now: Instant) -> bool {
        match self.state(now) {
            CircuitState::Closed => true,
            CircuitState::Open => false,
            CircuitState::HalfOpen => !self.probe_in_flight,
        }
    }

    /// Records that a request was sent. In the half-open state it is the probe.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        if self.state(now) == CircuitState::HalfOpen {
            self.probe_in_flight = true;
        }
    }

    /// Records the start of a response.
    ///
    /// The upstream takes requests again, so a circuit that waits for a probe closes. It may still
    /// break the response off, so earlier failures and openings keep counting.
    pub(crate) fn record_response_start(&mut self, now: Instant) {
        let is_half_open = self.state(now) == CircuitState::HalfOpen;
        if is_half_open && self.open_reason == OpenReason::Failures {
            self.open_until = None;
            self.probe_in_flight = false;
        }
    }

    /// Records a whole response.
    ///
    /// It does not show how fast the upstream generates, so it does not close a circuit that was
    /// opened for slowness.
    pub(crate) fn record_whole_response(&mut self) {
        match self.open_reason {
            OpenReason::Failures => *self = Self::new(),
            OpenReason::Slowness => {
                self.consecutive_failures = 0;
                self.probe_in_flight = false;
            }
        }
    }

    /// Records that the upstream generates at normal speed, which closes a circuit that was opened for
    /// slowness.
    pub(crate) fn record_normal_speed(&mut self) {
        if self.open_reason == OpenReason::Slowness {
            *self = Self::new();
        }
    }

    /// Opens the circuit because the upstream is a straggler.
    pub(crate) fn open_for_slowness(&mut self, now: Instant) {
        if self.state(now) == CircuitState::Open {
            return;
        }
        self.open(now);
        self.open_reason = OpenReason::Slowness;
    }

    /// Records an attempt whose end says nothing about the upstream's health.
    pub(crate) fn record_inconclusive(&mut self) {
        self.probe_in_flight = false;
    }

    /// Records a failure. Opens the circuit if a probe failed or there were enough failures.
    ///
    /// Failures while it is open are of attempts that were sent before, and show nothing new.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        if self.state(now) == CircuitState::Open {
            return;
        }
        self.consecutive_failures += 1;
        if self.probe_in_flight || self.consecutive_failures >= FAILURE_THRESHOLD {
            self.open(now);
        }
    }

    /// Records that no connection could be made. A single such failure opens the circuit.
    pub(crate) fn record_unreachable(&mut self, now: Instant) {
        if self.state(now) != CircuitState::Open {
            self.open(now);
        }
    }

    fn open(&mut self, now: Instant) {
        let backoff = MIN_OPEN_TIME * 2_u32.saturating_pow(self.consecutive_openings.min(8));
        self.open_until = Some(now + backoff.min(MAX_OPEN_TIME));
        self.consecutive_openings += 1;
        self.consecutive_failures = 0;
        self.probe_in_flight = false;
        self.open_reason = OpenReason::Failures;
    }
}
