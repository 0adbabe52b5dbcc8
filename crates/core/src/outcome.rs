//! What became of a request.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The final state of a request, as told to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Completed,
    /// No upstream ran the request, and none will.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// When the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request may or may not have been run.
    Unknown,
    /// A visibly incomplete answer was delivered.
    Partial,
}

impl Outcome {
    /// Creates a [`Outcome::NotRun`].
    pub fn not_run(reason: NotRunReason, retry_after: Duration) -> Self {
        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        Self::NotRun { reason, retry_after_ms }
    }

    /// The name used in headers, error bodies and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun { .. } => "not_run",
            Self::Unknown => "unknown",
            Self::Partial => "partial",
        }
    }
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The queue was full of requests of the same or a higher tier.
    QueueFull,
    /// The request waited in the queue for as long as its class allows.
    QueueTimeout,
    /// The customer is above its rate or concurrency limit.
    CustomerLimit,
    /// No upstream serves the model or service at present.
    NoUpstream,
    /// Every upstream that was tried refused the request or could not be reached.
    UpstreamsRefused,
    /// The table service did not confirm the claim of a non-idempotent call.
    StoreUnavailable,
    /// The VM has no configuration that it may trust.
    ConfigStale,
    /// The caller left before the request was sent.
    CallerGone,
}

impl NotRunReason {
    /// The name used in error bodies and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::QueueTimeout => "queue_timeout",
            Self::CustomerLimit => "customer_limit",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamsRefused => "upstreams_refused",
            Self::StoreUnavailable => "store_unavailable",
            Self::ConfigStale => "config_stale",
            Self::CallerGone => "caller_gone",
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
