//! Decides which upstream responds to a call and when, and how a failed call is handled.
//!
//! [`Scheduler`] is a state machine without a clock, threads or sockets, like [`Router`]. It serves
//! calls of any kind on declared routes and chooses among a directory of upstreams that changes at
//! run time.
//!
//! Each upstream has a load coordinator: the VM to which the other VMs report their load on that
//! upstream, and which tells each of them the total load of all others.
//!
//! [`Router`]: crate::Router

mod availability;
mod bounds;
mod brittleness;
mod budget;
mod call;
mod decode_pace;
mod directory;
mod dispatch;
mod engine;
mod event;
mod lanes;
mod placement;
mod prefix_cache;
mod queue;
mod rate_limit;
mod reading;
mod restarts;
mod sharing;
mod snapshot;
mod upstream;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::IncarnationHash;
use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamRefusal;
use cranberryvalve_core::table::RoutingTable;

pub use availability::UpstreamNotice;
pub use budget::RetryLimits;
pub use call::Call;
pub use call::Prompt;
pub use call::PromptPart;
pub use call::PromptPrefix;
pub use event::AttemptEnd;
pub use event::Conclusion;
pub use event::ConclusionReason;
pub use event::HealthChange;
pub use event::NoticeSource;
pub use event::PlacementReason;
pub use event::PredictedQuantity;
pub use event::Prediction;
pub use event::ReportedLoad;
pub use event::SchedulerAction;
pub use event::SchedulerEvent;
pub use event::SendCommand;
pub use lanes::Lane;
pub use snapshot::SchedulerSnapshot;
pub use snapshot::UpstreamState;
pub use upstream::UpstreamRecord;

use self::availability::Departures;
use self::budget::RetryBudget;
use self::decode_pace::DecodePace;
use self::lanes::RecentArrivals;
use self::queue::CallQueue;
use self::reading::PrefillRatio;
use self::restarts::SentStart;
use self::upstream::Upstream;
use crate::execution::Execution;

/// Fraction of a route's latency target for which a new call waits for room before it is refused.
const QUEUE_WAIT_FRACTION: f64 = 0.12;

/// Retry delay that a caller is given when no upstream is in service, or when a failed call is not
/// retried.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// Minimum prompt length, in tokens, for querying the current load of upstreams before placement. A
/// prefill of this length takes about 40 ms, the query a few milliseconds.
const LOAD_QUERY_MIN_TOKENS: u32 = 1_500;

/// Maximum number of upstreams whose load is queried for one call.
const LOAD_QUERY_CANDIDATES: usize = 3;

/// Maximum number of attempts for one call, including those that did not reach an upstream.
const MAX_CALL_ATTEMPTS: u32 = 6;

/// Time for which a retried call waits for room before it is refused.
const RETRY_QUEUE_WAIT: Duration = Duration::from_millis(200);

/// Settings of a scheduler that do not change at run time.
#[derive(Debug, Clone, Default)]
pub struct SchedulerSettings {
    /// Failure domain of this VM, or `None` if placement should ignore distance.
    pub failure_domain: Option<FailureDomainId>,
    /// Limits on retries, shared by all VMs.
    pub retry_limits: RetryLimits,
}

/// Makes the scheduling decisions of one VM.
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_policy::scheduler::Scheduler;
/// use cranberryvalve_policy::scheduler::SchedulerEvent;
/// use cranberryvalve_policy::scheduler::SchedulerSettings;
///
/// let mut scheduler = Scheduler::new(SchedulerSettings::default());
/// assert!(scheduler.handle(Instant::now(), SchedulerEvent::Tick).is_empty());
/// ```
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    table: Arc<RoutingTable>,
    vm_count: u32,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    queues: HashMap<PoolId, CallQueue>,
    calls: HashMap<RequestId, TrackedCall>,
    budget: RetryBudget,
    recent_arrivals: RecentArrivals,
    prefill_ratios: HashMap<(PoolId, Tier), PrefillRatio>,
    /// Pools with upstreams that report how long work takes at the moment. Such upstreams differ in speed
    /// and change, so what is learned of each one counts there.
    measured_pools: HashSet<PoolId>,
    /// Decode paces of upstreams that the directory does not list, or does not list yet.
    pending_paces: HashMap<IncarnationHash, DecodePace>,
    departures: Departures,
    /// Whether an upstream of the directory may name a rate limit.
    has_rate_limits: bool,
    /// Requests for permits that still have to be sent.
    permit_requests: Vec<PermitRequest>,
    /// Refusals of brittle upstreams that still have to be told to the other VMs.
    unsent_refusals: Vec<UpstreamRefusal>,
}

/// A call from its arrival until its response is complete or it is concluded or cancelled.
#[derive(Debug)]
struct TrackedCall {
    call: Call,
    attempts: Attempt,
    tried: Vec<UpstreamId>,
    /// Upstream that the current attempt was sent to; `None` while the call is queued.
    sent_to: Option<UpstreamId>,
    /// Start of the upstream that the last attempt was sent to.
    sent_start: Option<SentStart>,
    execution: Execution,
    give_up_at: Instant,
}

impl Scheduler {
    /// Creates a scheduler with an empty upstream directory and routing table.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            budget: RetryBudget::new(settings.retry_limits),
            settings,
            table: Arc::default(),
            vm_count: 1,
            upstreams: BTreeMap::new(),
            queues: HashMap::new(),
            calls: HashMap::new(),
            recent_arrivals: RecentArrivals::default(),
            prefill_ratios: HashMap::new(),
            measured_pools: HashSet::new(),
            pending_paces: HashMap::new(),
            departures: Departures::default(),
            has_rate_limits: false,
            permit_requests: Vec::new(),
            unsent_refusals: Vec::new(),
        }
    }

    /// Replaces the routing table.
    pub fn set_table(&mut self, table: Arc<RoutingTable>) {
        self.table = table;
        for upstream in self.upstreams.values_mut() {
            upstream.set_engine(self.table.engine(&upstream.record.pool));
        }
        self.forget_removed_pools();
    }

    /// Processes an event and returns the actions that the caller must carry out.
    pub fn handle(&mut self, now: Instant, event: SchedulerEvent) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        match bounds::bounded(event) {
            SchedulerEvent::Arrived(call) => self.on_arrived(now, *call, &mut actions),
            SchedulerEvent::ResponseStarted { id, attempt } => {
                self.on_response_started(now, id, attempt, &mut actions);
            }
            SchedulerEvent::StreamMeasured { upstream, event_gap } => {
                self.on_stream_measured(&upstream, event_gap, &mut actions);
            }
            SchedulerEvent::ShortStreamMeasured { upstream, event_gap } => {
                self.on_short_stream_measured(&upstream, event_gap);
            }
            SchedulerEvent::PeerPaces(paces) => self.on_peer_paces(&paces),
            SchedulerEvent::LoadReported { upstream, load } => {
                self.on_load_reported(now, &upstream, load);
            }
            SchedulerEvent::NoticeReceived { upstream, incarnation, notice } => {
                self.on_notice(now, &upstream, incarnation, notice, &mut actions);
            }
            SchedulerEvent::PermitDecided { upstream, incarnation, verdict } => {
                self.on_permit_verdict(now, &upstream, incarnation, verdict, &mut actions);
            }
            SchedulerEvent::PeerDepartures(departures) => {
                for departure in departures {
                    self.on_departure(now, departure, NoticeSource::Peer, &mut actions);
                }
            }
            SchedulerEvent::PeerRefusals(refusals) => {
                refusals.iter().for_each(|it| self.on_peer_refusal(now, it));
            }
            SchedulerEvent::StartDoubted { upstream, incarnation } => {
                self.on_start_doubted(now, &upstream, incarnation);
            }
            SchedulerEvent::DirectorySource { is_reached } => {
                self.on_directory_source(now, is_reached);
            }
            SchedulerEvent::AttemptEnded { id, attempt, end } => {
                self.on_attempt_ended(now, id, attempt, end, &mut actions);
            }
            SchedulerEvent::CallCancelled { id } => self.on_call_cancelled(now, id, &mut actions),
            SchedulerEvent::DirectoryChanged(records) => {
                self.on_directory_changed(now, records);
                self.dispatch_all(now, &mut actions);
            }
            SchedulerEvent::PeerLoads { vm, loads } => self.on_peer_loads(now, &vm, &loads),
            SchedulerEvent::CoordinatorLoads(loads) => {
                for load in &loads {
                    if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                        upstream.record_coordinator_load(now, load);
                    }
                }
            }
            SchedulerEvent::VmCountChanged(count) => {
                self.vm_count = count.max(1);
                self.budget.set_vm_count(self.vm_count);
            }
            SchedulerEvent::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    /// Returns `true` if any call is queued, so that [`SchedulerEvent::Tick`] events are needed.
    pub fn has_queued_calls(&self) -> bool {
        self.queues.values().any(|it| !it.is_empty())
    }

    /// Returns the number of calls that are queued or in flight.
    pub fn live_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the most likely upstreams for a call, so that the caller can query their current
    /// load from their coordinators before placement.
    ///
    /// Returns an empty list if the call has no prompt or its prompt is too short to justify the
    /// query.
    pub fn load_query_candidates(&self, now: Instant, call: &Call) -> Vec<UpstreamRecord> {
        let Some(prompt) = call.prompt.as_ref() else { return Vec::new() };
        if prompt.input_tokens < LOAD_QUERY_MIN_TOKENS {
            return Vec::new();
        }
        let upstreams = self.pool_upstreams(&call.pool);
        let ids = placement::cheapest_candidates(
            &self.placement_context(now, call),
            call,
            &upstreams,
            LOAD_QUERY_CANDIDATES,
        );
        let known = ids.iter().filter_map(|it| self.upstreams.get(it));
        known.map(|it| it.record.clone()).collect()
    }

    fn on_arrived(&mut self, now: Instant, call: Call, actions: &mut Vec<SchedulerAction>) {
        let pool = call.pool.clone();
        self.budget.deposit(&pool);
        if let Some(prompt) = &call.prompt {
            self.recent_arrivals.record(now, &pool, prompt);
        }
        let give_up_at = (call.arrived_at + call.route.latency_target.mul_f64(QUEUE_WAIT_FRACTION))
            .min(call.deadline);
        let (id, tier) = (call.id, call.tier);
        let tracked = TrackedCall {
            call,
            attempts: 0,
            tried: Vec::new(),
            sent_to: None,
            sent_start: None,
            execution: Execution::default(),
            give_up_at,
        };
        self.calls.insert(id, tracked);
        self.queues.entry(pool.clone()).or_default().push_back(tier, id);
        self.dispatch(now, &pool, actions);
    }

    fn on_response_started(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id).filter(|it| it.attempts == attempt) else {
            return;
        };
        let sent_to = tracked.sent_to.as_ref().and_then(|it| self.upstreams.get(it));
        tracked.record_stream_version(sent_to.is_some_and(|it| it.start_doubt.is_active(now)));
        let (pool, tier) = (tracked.call.pool.clone(), tracked.call.tier);
        if let Some(upstream) = tracked.sent_to.as_ref().and_then(|it| self.upstreams.get_mut(it))
            && let Some(prediction) = upstream.record_response_start(now, id)
        {
            let ratio = self.prefill_ratios.entry((pool.clone(), tier)).or_default();
            ratio.update(prediction.expected, prediction.observed);
            actions.push(SchedulerAction::PredictionObserved(prediction));
        }
        self.dispatch(now, &pool, actions);
    }

    fn on_attempt_ended(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
        end: AttemptEnd,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id).filter(|it| it.attempts == attempt) else {
            return;
        };
        let pool = tracked.call.pool.clone();
        tracked.execution.record(end.execution());
        let sent_to = tracked.sent_to.take();
        if let Some(upstream) = sent_to.as_ref().and_then(|it| self.upstreams.get_mut(it)) {
            upstream.remove_attempt(id);
            if end == AttemptEnd::Complete {
                upstream.record_room();
            }
            let accepted_work = upstream.accepts_work(now);
            record_health(now, upstream, end);
            let takes_work = upstream.accepts_work(now);
            if accepted_work != takes_work {
                let upstream = upstream.record.id.clone();
                actions.push(SchedulerAction::HealthChanged(HealthChange {
                    upstream,
                    takes_work,
                    cause: end,
                }));
            }
        }
        if let (AttemptEnd::Refused { misdirected: false }, Some(upstream)) = (end, &sent_to) {
            self.on_refused(now, upstream);
        }
        match end {
            AttemptEnd::Complete | AttemptEnd::Abandoned => {
                self.calls.remove(&id);
            }
            AttemptEnd::NotSent
            | AttemptEnd::Withdrawn
            | AttemptEnd::Refused { .. }
            | AttemptEnd::Failed
            | AttemptEnd::Unattested
            | AttemptEnd::Interrupted => {
                self.retry_or_conclude(now, id, end, actions);
            }
        }
        self.dispatch(now, &pool, actions);
    }

    fn retry_or_conclude(
        &mut self,
        now: Instant,
        id: RequestId,
        end: AttemptEnd,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        let pool = tracked.call.pool.clone();
        let is_unsent = matches!(end, AttemptEnd::NotSent | AttemptEnd::Withdrawn);
        if is_unsent {
            // The call did not reach an upstream, so the attempt counts neither towards the route's
            // limit nor towards the retry budget.
            tracked.discard_last_upstream();
        }
        let may_repeat =
            tracked.call.route.kind.is_retryable() || !tracked.execution.may_have_run();
        let reason = if !may_repeat {
            Some(ConclusionReason::MayHaveRun)
        } else if tracked.sent_attempts() >= tracked.call.max_attempts
            || tracked.attempts >= MAX_CALL_ATTEMPTS
        {
            Some(ConclusionReason::AttemptsExhausted)
        } else if !is_unsent && !self.budget.try_withdraw(&pool) {
            Some(ConclusionReason::RetryBudgetExhausted)
        } else {
            None
        };
        if let Some(reason) = reason {
            self.conclude(id, reason, RETRY_AFTER_FAILURE, actions);
            return;
        }
        if let Some(tracked) = self.calls.get_mut(&id) {
            tracked.give_up_at = (now + RETRY_QUEUE_WAIT).min(tracked.call.deadline);
            let tier = tracked.call.tier;
            self.queues.entry(pool).or_default().push_front(tier, id);
        }
    }

    fn on_call_cancelled(
        &mut self,
        now: Instant,
        id: RequestId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.remove(&id) else { return };
        let pool = tracked.call.pool.clone();
        if let Some(queue) = self.queues.get_mut(&pool) {
            queue.remove(tracked.call.tier, id);
        }
        if let Some(upstream) = tracked.sent_to.and_then(|it| self.upstreams.get_mut(&it)) {
            upstream.remove_attempt(id);
            upstream.circuit.record_inconclusive();
        }
        self.dispatch(now, &pool, actions);
    }

    fn on_tick(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        self.dispatch_all(now, actions);
        let waiting = self.queues.values().flat_map(CallQueue::ids);
        let expired: Vec<RequestId> = waiting
            .filter(|id| self.calls.get(id).is_some_and(|it| now >= it.give_up_at))
            .collect();
        for id in expired {
            self.refuse(now, id, actions);
        }
    }
}

impl TrackedCall {
    /// Returns the number of attempts that may have reached an upstream.
    fn sent_attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// Forgets the last attempt's upstream, which the attempt did not reach.
    fn discard_last_upstream(&mut self) {
        self.tried.pop();
    }
}

fn record_health(now: Instant, upstream: &mut Upstream, end: AttemptEnd) {
    match end {
        AttemptEnd::Complete => upstream.circuit.record_whole_response(),
        AttemptEnd::NotSent => {
            upstream.circuit.record_unreachable(now);
            upstream.start_doubt.record(now);
        }
        AttemptEnd::Refused { misdirected } => {
            upstream.is_gone |= misdirected;
            upstream.circuit.record_inconclusive();
        }
        AttemptEnd::Failed | AttemptEnd::Unattested | AttemptEnd::Withdrawn => {
            upstream.circuit.record_inconclusive();
        }
        AttemptEnd::Interrupted => upstream.circuit.record_failure(now),
        AttemptEnd::Abandoned => upstream.circuit.record_inconclusive(),
    }
}
