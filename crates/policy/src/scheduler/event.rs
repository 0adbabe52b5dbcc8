//! The events that the scheduler processes and the actions that it requests.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::Departure;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::UpstreamRefusal;
use cranberryvalve_core::VmId;

use super::Call;
use super::UpstreamNotice;
use super::UpstreamRecord;
use crate::execution::Execution;

/// An input of [`Scheduler::handle`](super::Scheduler::handle).
#[derive(Debug, Clone)]
pub enum SchedulerEvent {
    /// A call arrived and waits for an upstream.
    Arrived(Box<Call>),
    /// The first part of a response arrived.
    ResponseStarted {
        /// Call that the response belongs to.
        id: RequestId,
        /// Attempt that the response belongs to, starting at 1.
        attempt: Attempt,
    },
    /// A stream ended, which gives a sample of the upstream's decode pace.
    StreamMeasured {
        /// Upstream that generated the stream.
        upstream: UpstreamId,
        /// Median interval between two events of the stream.
        event_gap: Duration,
    },
    /// A stream of a few events ended. Engines that get only such streams have no other sample of their
    /// decode pace; it counts for upstreams that report how long work takes at the moment.
    ShortStreamMeasured {
        /// Upstream that generated the stream.
        upstream: UpstreamId,
        /// One of the shortest intervals between two events of the stream.
        event_gap: Duration,
    },
    /// Another VM sent decode paces of upstreams.
    PeerPaces(Vec<UpstreamPace>),
    /// An upstream reported its load along with a response.
    LoadReported {
        /// Upstream that sent the report.
        upstream: UpstreamId,
        /// Load in the report.
        load: ReportedLoad,
    },
    /// An upstream announced in a response that it is leaving, wants a pause or takes requests at a
    /// limited rate.
    NoticeReceived {
        /// Upstream that sent the response.
        upstream: UpstreamId,
        /// Start of the upstream that the request was sent to.
        incarnation: u64,
        /// What the upstream announced.
        notice: UpstreamNotice,
    },
    /// The coordinator of an upstream that names a rate limit decided on a request for a permit.
    PermitDecided {
        /// Upstream that the verdict is about.
        upstream: UpstreamId,
        /// Start of the upstream.
        incarnation: u64,
        /// The verdict.
        verdict: PermitVerdict,
    },
    /// Another VM told that upstreams are leaving.
    PeerDepartures(Vec<Departure>),
    /// Other VMs told that brittle upstreams refused requests for want of room.
    PeerRefusals(Vec<UpstreamRefusal>),
    /// An upstream broke off a response and did not take a connection right after that, so it may have
    /// crashed.
    StartDoubted {
        /// Upstream that may have crashed.
        upstream: UpstreamId,
        /// Start of the upstream that the attempt was sent to.
        incarnation: u64,
    },
    /// The source of the directory was lost or is back. While it is lost, starts of upstreams are not
    /// replaced in the directory.
    DirectorySource {
        /// Whether this VM learns of changes of the directory.
        is_reached: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Call that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt, starting at 1.
        attempt: Attempt,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The caller disconnected, or the call's time is over.
    CallCancelled {
        /// Call that ended.
        id: RequestId,
    },
    /// The directory of upstreams changed; holds the whole new directory.
    DirectoryChanged(Vec<UpstreamRecord>),
    /// Another VM reported its load.
    PeerLoads {
        /// VM that sent the report.
        vm: VmId,
        /// Its load on some of the upstreams that this VM is the load coordinator of.
        loads: Vec<UpstreamLoad>,
    },
    /// The coordinators of upstreams reported the load of all other VMs on them.
    CoordinatorLoads(Vec<UpstreamLoad>),
    /// The number of VMs that share the retry budgets and the connection limits of upstreams, this
    /// one included.
    VmCountChanged(u32),
    /// Time has passed; retries placement of the queued calls and refuses those that waited too
    /// long.
    Tick,
}

/// Load that an upstream reports with its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued in the upstream.
    pub waiting: u32,
    /// Maximum number of requests that can run at the same time.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual time; `None` if the upstream does not
    /// report it.
    pub work_time_percent: Option<u32>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole response arrived.
    Complete,
    /// The connection could not be made, so no byte was sent.
    NotSent,
    /// The upstream stopped taking requests after it was chosen, so no byte was sent.
    Withdrawn,
    /// The upstream confirmed that it did not run the call.
    Refused {
        /// Whether the request was meant for an upstream whose address another one has taken over.
        misdirected: bool,
    },
    /// The upstream responded with a server error.
    Failed,
    /// The upstream responded as if it had not run the call, but did not confirm that.
    Unattested,
    /// The call was sent, but no whole response arrived.
    Interrupted,
    /// The caller disconnected or the time was over, which is no evidence against the upstream.
    Abandoned,
}

impl AttemptEnd {
    /// Returns what an attempt that ended so has shown about whether the call was run.
    pub const fn execution(self) -> Execution {
        match self {
            Self::NotSent | Self::Withdrawn => Execution::NotSent,
            Self::Refused { .. } => Execution::Refused,
            Self::Complete | Self::Failed => Execution::Ran,
            Self::Unattested | Self::Interrupted | Self::Abandoned => Execution::Unknown,
        }
    }

    /// Returns the name of this end in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotSent => "not_connected",
            Self::Withdrawn => "withdrawn",
            Self::Refused { misdirected: true } => "misdirected",
            Self::Refused { misdirected: false } => "refused",
            Self::Failed => "failed",
            Self::Unattested => "unattested",
            Self::Interrupted => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// An action that the caller of the scheduler must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerAction {
    /// Send an attempt to an upstream.
    Send(SendCommand),
    /// Give the caller a final response; no further attempt is made.
    Conclude(Conclusion),
    /// Log that an upstream went out of service, or back into it.
    HealthChanged(HealthChange),
    /// Log that an upstream is leaving, and stop using its connections.
    UpstreamLeaving {
        /// Upstream that is leaving.
        upstream: UpstreamId,
        /// Who announced it.
        source: NoticeSource,
    },
    /// Log that an upstream asked for a pause.
    PauseStarted {
        /// Upstream that gets no requests from this VM.
        upstream: UpstreamId,
        /// Time that the upstream asked for.
        requested: Duration,
        /// Time until the pause ends.
        pause: Duration,
    },
    /// Log that a pause is over and the upstream gets requests again.
    PauseEnded {
        /// Upstream that gets requests again.
        upstream: UpstreamId,
    },
    /// Log that an upstream named another rate limit, or lifted it.
    RateLimitChanged {
        /// Upstream that the limit is for.
        upstream: UpstreamId,
        /// Requests a second from all VMs together; `None` if there is no limit any more.
        limit_per_s: Option<f64>,
        /// Who told this VM.
        source: NoticeSource,
    },
    /// Record in the metrics how a prediction compares with what was observed.
    PredictionObserved(Prediction),
}

/// Who announced that an upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeSource {
    /// The upstream itself, in a response to this VM.
    Upstream,
    /// Another VM.
    Peer,
}

impl NoticeSource {
    /// Returns the name of this source in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Upstream => "response",
            Self::Peer => "peer",
        }
    }
}

/// A predicted time with the observed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prediction {
    /// Quantity that was predicted.
    pub predicted: PredictedQuantity,
    /// Predicted time.
    pub expected: Duration,
    /// Observed time.
    pub observed: Duration,
}

/// A quantity that the scheduler predicts for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredictedQuantity {
    /// Time from sending a prompt to the first event of the response.
    FirstEvent,
    /// Median interval between two events of a stream.
    EventGap,
}

impl PredictedQuantity {
    /// Returns the name of this quantity in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::EventGap => "event_gap",
        }
    }
}

/// A change in whether an upstream gets new calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthChange {
    /// Upstream whose state changed.
    pub upstream: UpstreamId,
    /// Whether the upstream gets new calls from now on.
    pub takes_work: bool,
    /// End of the attempt that caused the change.
    pub cause: AttemptEnd,
}

/// An attempt that must be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendCommand {
    /// Call to send.
    pub id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: Attempt,
    /// Upstream to send the attempt to.
    pub upstream: UpstreamRecord,
    /// Whether an earlier attempt of the call may have reached the upstream.
    pub is_repeat: bool,
    /// Engine from whose cache the upstream may fetch the prompt's prefix, if any.
    pub prefix_source: Option<Box<UpstreamRecord>>,
    /// Time by which the request must be sent, as the permit for it ends then; `None` if the
    /// upstream names no rate limit.
    pub send_by: Option<Instant>,
    /// Figures behind the choice of the upstream, for logs.
    pub reason: PlacementReason,
}

/// The figures behind the choice of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementReason {
    /// Number of upstreams that were considered.
    pub candidates: u32,
    /// Estimated time until the upstream has prefilled the prompts before this one.
    pub backlog: Duration,
    /// Time by which responses are expected to start later than that, as lately observed.
    pub excess_delay: Duration,
    /// Estimated time to fetch and prefill the prompt itself, including the time for prompts of
    /// higher tiers that overtake it.
    pub prefill: Duration,
    /// Number of prompt tokens that the upstream is assumed to have cached.
    pub cached_tokens: u32,
    /// Age of the oldest report of another VM that went into the estimate.
    pub peer_age: Duration,
}

/// The final result of a call that got no response to pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conclusion {
    /// Call that ended.
    pub id: RequestId,
    /// Why no further attempt is made.
    pub reason: ConclusionReason,
    /// Time after which the caller may retry, if the call was not run.
    pub retry_after: Duration,
}

/// Why no further attempt is made for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConclusionReason {
    /// No upstream of the pool is known to be in service.
    NoUpstream,
    /// The call continues a stream, and no upstream in service runs the software version that began
    /// it.
    NoSuchVersion,
    /// No upstream had room in time.
    Overloaded,
    /// All upstreams in service asked for a pause, or take requests at a limited rate, and the next
    /// one is taken later than the call can wait.
    UpstreamsPaused,
    /// The route's maximum number of attempts is reached.
    AttemptsExhausted,
    /// The pool's retry budget is exhausted.
    RetryBudgetExhausted,
    /// The call may have been run, and its route does not permit running it twice.
    MayHaveRun,
}

impl ConclusionReason {
    /// Returns the name of this reason in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::NoSuchVersion => "no_such_version",
            Self::Overloaded => "overloaded",
            Self::UpstreamsPaused => "upstreams_paused",
            Self::AttemptsExhausted => "attempts_used",
            Self::RetryBudgetExhausted => "retry_budget_used",
            Self::MayHaveRun => "may_have_run",
        }
    }
}
