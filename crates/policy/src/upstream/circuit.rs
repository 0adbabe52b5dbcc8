//! Circuit breaker of one upstream.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Consecutive failures that open the circuit.
const FAILURES_TO_OPEN: u32 = 3;

/// Shortest time for which the circuit stays open.
const MIN_OPEN: Duration = Duration::from_secs(1);

/// Longest time for which the circuit stays open.
const MAX_OPEN: Duration = Duration::from_secs(30);

/// Whether an upstream is given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CircuitState {
    /// It is given work.
    Closed,
    /// It is given no work.
    Open,
    /// It is given one request, whose end decides.
    HalfOpen,
}

/// Circuit breaker with exponential backoff.
#[derive(Debug)]
pub(crate) struct Circuit {
    failures: u32,
    openings: u32,
    open_until: Option<Instant>,
    probing: bool,
    cause: Cause,
}

/// Why a circuit was opened last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// Requests failed.
    Failures,
    /// It answered much more slowly than its peers.
    Slowness,
}

impl Circuit {
    pub(crate) const fn new() -> Self {
        Self { failures: 0, openings: 0, open_until: None, probing: false, cause: Cause::Failures }
    }

    /// The state at `now`.
    pub(crate) fn state(&self, now: Instant) -> CircuitState {
        match self.open_until {
            None => CircuitState::Closed,
            Some(until) if now < until => CircuitState::Open,
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// Whether a request may be sent at `now`.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        match self.state(now) {
            CircuitState::Closed => true,
            CircuitState::Open => false,
            CircuitState::HalfOpen => !self.probing,
        }
    }

    /// Notes that a request was sent.
    pub(crate) fn sent(&mut self, now: Instant) {
        if self.state(now) == CircuitState::HalfOpen {
            self.probing = true;
        }
    }

    /// Notes that an answer began, which tells that the upstream is alive but not its pace.
    pub(crate) fn answered(&mut self) {
        match self.cause {
            Cause::Failures => *self = Self::new(),
            Cause::Slowness => self.failures = 0,
        }
    }

    /// Notes an answer in good time.
    pub(crate) fn succeeded(&mut self) {
        *self = Self::new();
    }

    /// Opens the circuit of a straggler.
    pub(crate) fn open_for_slowness(&mut self, now: Instant) {
        if self.state(now) == CircuitState::Open {
            return;
        }
        self.open(now);
        self.cause = Cause::Slowness;
    }

    /// Notes an end that says nothing of the upstream's health.
    pub(crate) fn inconclusive(&mut self) {
        self.probing = false;
    }

    /// Notes a failure.
    pub(crate) fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.probing || self.failures >= FAILURES_TO_OPEN {
            self.open(now);
        }
    }

    /// Notes that no connection could be made, which one failure is enough to tell.
    pub(crate) fn unreachable(&mut self, now: Instant) {
        if self.state(now) != CircuitState::Open {
            self.open(now);
        }
    }

    fn open(&mut self, now: Instant) {
        let backoff = MIN_OPEN * 2_u32.saturating_pow(self.openings.min(8));
        self.open_until = Some(now + backoff.min(MAX_OPEN));
        self.openings += 1;
        self.failures = 0;
        self.probing = false;
        self.cause = Cause::Failures;
    }
}
