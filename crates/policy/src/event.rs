//! Input events of the router and the actions that it returns.

use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::Config;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;

use crate::LoadReport;
use crate::Request;

/// Input of [`Router::handle`](crate::Router::handle).
#[derive(Debug, Clone)]
pub enum Event {
    /// A request arrived from a caller.
    Arrived(Request),
    /// The first token of an attempt arrived, or the response head if the response has no tokens.
    ResponseStarted {
        /// Identifier of the request.
        id: RequestId,
        /// Number of the attempt, starting at 1.
        attempt: Attempt,
    },
    /// An attempt has delivered enough tokens to measure its token interval.
    TokenIntervalMeasured {
        /// Identifier of the request.
        id: RequestId,
        /// Number of the attempt, starting at 1.
        attempt: Attempt,
        /// Mean time between the tokens received so far.
        token_interval: Duration,
    },
    /// An attempt ended.
    Ended {
        /// Identifier of the request.
        id: RequestId,
        /// Number of the attempt, starting at 1.
        attempt: Attempt,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// Identifier of the request.
        id: RequestId,
    },
    /// An upstream reported its load.
    LoadReported {
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Reported load.
        report: LoadReport,
    },
    /// The load of an upstream could not be fetched.
    LoadReportFailed {
        /// Name of the upstream.
        upstream: UpstreamId,
    },
    /// An upstream was reported to be shutting down, or to be back in service.
    LeavingChanged {
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Whether the upstream is shutting down.
        leaving: bool,
    },
    /// Another VM reported requests that are queued for capacity.
    PeerPressure(PressureDigest),
    /// A new configuration became active.
    ConfigChanged(Arc<Config>),
    /// The VM ends all its requests: queued ones now, those in flight when their attempt ends.
    Stopping,
    /// Periodic timer: expires queued requests and retries dispatch.
    Tick,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole response arrived.
    Complete {
        /// Mean time between tokens, or `None` if the response has no tokens.
        token_interval: Option<Duration>,
    },
    /// The connection failed and no byte was sent.
    NotSent,
    /// The upstream stated that it refused the request without running it.
    Refused {
        /// Whether the upstream stated that it is shutting down.
        leaving: bool,
    },
    /// At least one byte was sent, but the response is incomplete.
    Interrupted {
        /// Number of tokens that this attempt delivered to the caller.
        tokens: u64,
    },
    /// The request was sent, but the response did not begin in time.
    TimedOut,
    /// This VM abandoned the attempt; the upstream is not at fault.
    Abandoned,
}

/// Output of [`Router::handle`](crate::Router::handle), to be carried out by an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt to an upstream.
    Send(SendCommand),
    /// End the request and report its outcome to the caller.
    Conclude(Conclusion),
}

/// An attempt to be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendCommand {
    /// Identifier of the request.
    pub id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: Attempt,
    /// Upstream that receives the attempt.
    pub upstream: UpstreamId,
    /// Priority passed to the engine; 0 is the highest.
    pub priority: Tier,
}

/// Outcome of a request that the router has concluded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conclusion {
    /// Identifier of the request.
    pub id: RequestId,
    /// Outcome reported to the caller.
    pub outcome: Outcome,
}
