//! What the router is told, and what it orders.

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

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request.
    Arrived(Request),
    /// The first token, or the answer's head, of an attempt arrived.
    FirstToken {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: Attempt,
    },
    /// An attempt has delivered enough tokens to tell its pace.
    Paced {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: Attempt,
        /// Mean time between its tokens so far.
        token_interval: Duration,
    },
    /// An attempt ended.
    Ended {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: Attempt,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The caller left.
    CallerLeft {
        /// Request.
        id: RequestId,
    },
    /// An upstream reported its load.
    LoadReported {
        /// Upstream.
        upstream: UpstreamId,
        /// Report.
        report: LoadReport,
    },
    /// An upstream could not be asked for its load.
    LoadMissing {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// A source said that an upstream leaves, or that it is back.
    LeavingChanged {
        /// Upstream.
        upstream: UpstreamId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A peer told of requests that wait for capacity.
    PeerPressure(PressureDigest),
    /// A new configuration is in force.
    ConfigChanged(Arc<Config>),
    /// Time passed.
    Tick,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Complete {
        /// Mean time between tokens; none for answers without tokens.
        token_interval: Option<Duration>,
    },
    /// No byte was sent: the connection could not be made.
    NotSent,
    /// The upstream attested that it refused the request without running it.
    Refused {
        /// Whether it said that it is leaving.
        leaving: bool,
    },
    /// A byte was sent, and no whole answer arrived.
    Broken {
        /// Tokens that this attempt delivered to the caller.
        tokens: u64,
    },
    /// The request was sent, and the answer did not begin in time.
    Stalled,
    /// The attempt was abandoned on this side, without fault of the upstream.
    Abandoned,
}

/// Something that an adapter must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send(SendOrder),
    /// Give the caller its final answer.
    GiveUp(GiveUp),
}

/// An attempt to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// Request.
    pub id: RequestId,
    /// Attempt, starting at 1.
    pub attempt: Attempt,
    /// Upstream to send it to.
    pub upstream: UpstreamId,
    /// Priority for the engine, 0 is the highest.
    pub priority: Tier,
}

/// A request that the router has given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GiveUp {
    /// Request.
    pub id: RequestId,
    /// What the caller is told.
    pub outcome: Outcome,
}
