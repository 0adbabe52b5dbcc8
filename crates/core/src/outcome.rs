//! Final outcome of a request.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Final outcome of a request, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The complete response was delivered.
    Completed,
    /// No upstream has run the request, and none will.
    NotRun {
        /// Reason why it was not run.
        reason: NotRunReason,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request may or may not have been run.
    Unknown,
    /// An incomplete response was delivered, and the caller can tell that it is incomplete.
    Partial,
}

impl Outcome {
    /// Creates an [`Outcome::NotRun`]. The delay is rounded down to milliseconds.
    pub fn not_run(reason: NotRunReason, retry_after: Duration) -> Self {
        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        Self::NotRun { reason, retry_after_ms }
    }

    /// Returns the name used in headers, error bodies and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun { .. } => "not_run",
            Self::Unknown => "unknown",
            Self::Partial => "partial",
        }
    }
}

/// Reason why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The queue was full of requests of the same or a higher tier.
    QueueFull,
    /// The request was queued for the maximum time of its service class.
    QueueTimeout,
    /// The customer exceeds its rate or concurrency limit.
    CustomerLimit,
    /// No upstream currently serves the model or service.
    NoUpstream,
    /// Every upstream that was tried refused the request or could not be reached.
    UpstreamsRefused,
    /// The table service did not confirm that this VM may run a non-idempotent call.
    StoreUnavailable,
    /// The VM has no configuration that is recent enough to rely on.
    ConfigStale,
    /// The caller disconnected before the request was sent.
    #[serde(rename = "caller_gone")]
    CallerDisconnected,
    /// The VM is stopping and has no time left for the request.
    VmStopping,
}

impl NotRunReason {
    /// Returns the name used in error bodies and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::QueueTimeout => "queue_timeout",
            Self::CustomerLimit => "customer_limit",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamsRefused => "upstreams_refused",
            Self::StoreUnavailable => "store_unavailable",
            Self::ConfigStale => "config_stale",
            Self::CallerDisconnected => "caller_gone",
            Self::VmStopping => "vm_stopping",
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
