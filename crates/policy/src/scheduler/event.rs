//! What happens to the scheduler, and what it asks for.

use std::time::Duration;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::VmId;

use super::Call;
use super::UpstreamRecord;

/// Something that happened.
#[derive(Debug, Clone)]
pub enum SchedulerEvent {
    /// A call arrived.
    Arrived(Box<Call>),
    /// The first part of an answer arrived.
    Answering {
        /// Call.
        id: RequestId,
        /// Attempt.
        attempt: Attempt,
    },
    /// A stream ended whose events tell the upstream's pace.
    Paced {
        /// Upstream.
        upstream: UpstreamId,
        /// Median time between two of its events.
        event_gap: Duration,
    },
    /// Another VM told paces.
    PacesTold(Vec<UpstreamPace>),
    /// An upstream told its load along with an answer.
    LoadTold {
        /// Upstream.
        upstream: UpstreamId,
        /// Load.
        load: ToldLoad,
    },
    /// An attempt ended.
    Ended {
        /// Call.
        id: RequestId,
        /// Attempt.
        attempt: Attempt,
        /// How it ended.
        end: SendEnd,
    },
    /// The caller left, or its call's time is over.
    Left {
        /// Call.
        id: RequestId,
    },
    /// The directory of upstreams as it is now.
    DirectoryChanged(Vec<UpstreamRecord>),
    /// Another VM told what it has in flight.
    PeerTold {
        /// The other VM.
        vm: VmId,
        /// Its work at some of the upstreams whose home this VM is.
        loads: Vec<UpstreamLoad>,
    },
    /// The homes of upstreams told what all other VMs have in flight there.
    HomeTold(Vec<UpstreamLoad>),
    /// Number of VMs that share the retry budgets and the upstreams' connections.
    VmsCounted(u32),
    /// Time passed.
    Tick,
}

/// Load that an upstream tells with its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// The whole answer arrived.
    Complete,
    /// No byte was sent: the connection could not be made.
    NotSent,
    /// The upstream attested that it did not run the call.
    Refused {
        /// Whether another upstream has taken over the address.
        misdirected: bool,
    },
    /// The upstream answered with a failure of its own.
    Failed,
    /// The call was sent, and no whole answer arrived.
    Broken,
    /// The caller left or the time was over, without evidence against the upstream.
    Abandoned,
}

impl SendEnd {
    /// Name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotSent => "not_connected",
            Self::Refused { misdirected: true } => "misdirected",
            Self::Refused { misdirected: false } => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Something that must be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Send an attempt.
    Send(SendCommand),
    /// No further attempt is made.
    Conclude(Conclusion),
    /// An upstream is given work again, or no longer; for logs.
    Judged(Judgement),
    /// What was expected of an upstream can be compared with what came; for metrics.
    Checked(Prediction),
}

/// What was expected of an upstream, and what came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prediction {
    /// What it is about.
    pub predicted: Predicted,
    /// Expected time.
    pub expected: Duration,
    /// Time that it took.
    pub observed: Duration,
}

/// What is predicted of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predicted {
    /// Time from sending a prompt to the first event of the answer.
    FirstEvent,
    /// Typical time between two events.
    EventGap,
}

impl Predicted {
    /// Name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::EventGap => "event_gap",
        }
    }
}

/// A change of what is believed of an upstream's health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Judgement {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Whether it takes work.
    pub takes_work: bool,
    /// End of the attempt that decided.
    pub cause: SendEnd,
}

/// An attempt to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendCommand {
    /// Call.
    pub id: RequestId,
    /// Attempt, starting at 1.
    pub attempt: Attempt,
    /// Upstream to send it to.
    pub upstream: UpstreamRecord,
    /// Engine from whose cache the upstream may fetch the beginning of the prompt.
    pub prefix_source: Option<Box<UpstreamRecord>>,
    /// Figures that decided, for logs.
    pub reason: PlacementReason,
}

/// Figures behind a placement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementReason {
    /// Upstreams that were considered.
    pub candidates: u32,
    /// Estimated time until the upstream has read the prompts before this one.
    pub backlog: Duration,
    /// Estimated time to fetch and read the prompt itself, and until higher tiers have passed it.
    pub read: Duration,
    /// Prompt tokens that the upstream is believed to have cached.
    pub cached_tokens: u32,
    /// Age of the oldest figure of another VM that went into the estimate.
    pub peer_age: Duration,
}

/// The end of a call that got no answer to pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conclusion {
    /// Call.
    pub id: RequestId,
    /// Why no further attempt is made.
    pub reason: ConclusionReason,
    /// When the caller may try again, if the call was not run.
    pub retry_after: Duration,
}

/// Why no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConclusionReason {
    /// No upstream of the pool is known to be in service.
    NoUpstream,
    /// No upstream has room in time.
    Overloaded,
    /// The route's attempts are used up.
    AttemptsUsed,
    /// The pool's retry budget is used up.
    BudgetUsed,
    /// It may have been run and cannot be run again.
    MayHaveRun,
}

impl ConclusionReason {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::AttemptsUsed => "attempts_used",
            Self::BudgetUsed => "retry_budget_used",
            Self::MayHaveRun => "may_have_run",
        }
    }
}
