//! Decides which upstream answers a call, when, and what becomes of a call that fails.
//!
//! [`Scheduler`] is a state machine without clock, thread or socket, like [`Router`]; it serves
//! calls of any kind on declared routes, from a directory of upstreams that changes while it runs.
//!
//! [`Router`]: crate::Router

mod budget;
mod call;
mod decode_pace;
mod engine;
mod event;
mod lanes;
mod placement;
mod prefix_cache;
mod queue;
mod reading;
mod snapshot;
mod turns;
mod upstream;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::PaceStep;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamKey;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::VmId;
use cranberryvalve_core::table::RoutingTable;

pub use budget::RetryLimits;
pub use call::Call;
pub use call::Prompt;
pub use call::PromptPart;
pub use call::PromptPrefix;
pub use event::Conclusion;
pub use event::ConclusionReason;
pub use event::HealthChange;
pub use event::PlacementReason;
pub use event::Predicted;
pub use event::Prediction;
pub use event::SchedulerAction;
pub use event::SchedulerEvent;
pub use event::SendCommand;
pub use event::SendEnd;
pub use event::ToldLoad;
pub use snapshot::SchedulerSnapshot;
pub use snapshot::UpstreamState;
pub use upstream::UpstreamRecord;

use self::budget::RetryBudget;
use self::lanes::RecentArrivals;
use self::queue::CallQueue;
use self::reading::PrefillRatio;
use self::upstream::Upstream;

/// Share of a route's target for which a call waits for room before it is refused.
const WAIT_SHARE: f64 = 0.12;

/// Time after which a caller may come back when no upstream is in service.
const RETRY_AFTER_FAULT: Duration = Duration::from_millis(500);

/// Prompt tokens from which the homes of upstreams are asked for their load: about 40 ms of
/// reading, against a few milliseconds for the question.
const ASK_FROM_TOKENS: u32 = 1_500;

/// Upstreams whose homes are asked about one call.
const ASKED: usize = 3;

/// Tries at one call, those that reached no upstream included.
const MAX_TRIES: u32 = 6;

/// Time for which a call that is sent again waits for room.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Paces that are kept for upstreams still unknown: three times the 600 of the target.
const MAX_EARLY_PACES: usize = 1_800;

/// Fixed properties of a scheduler.
#[derive(Debug, Clone, Default)]
pub struct SchedulerSettings {
    /// Failure domain of the VM; none when distance does not matter.
    pub failure_domain: Option<FailureDomainId>,
    /// Limits on retries over all VMs.
    pub retry_limits: RetryLimits,
}

/// Scheduling decisions of one VM.
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
    calls: HashMap<RequestId, Tracked>,
    budget: RetryBudget,
    kinds: RecentArrivals,
    reading: HashMap<(PoolId, Tier), PrefillRatio>,
    /// Paces of upstreams that the directory does not name yet.
    early_paces: HashMap<UpstreamKey, PaceStep>,
}

/// A call between its arrival and its end.
#[derive(Debug)]
struct Tracked {
    call: Call,
    attempts: Attempt,
    tried: Vec<UpstreamId>,
    /// Upstream that has it now.
    at: Option<UpstreamId>,
    may_have_run: bool,
    give_up_at: Instant,
}

impl Scheduler {
    /// Creates a scheduler that knows no upstream yet.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            budget: RetryBudget::new(settings.retry_limits),
            settings,
            table: Arc::default(),
            vm_count: 1,
            upstreams: BTreeMap::new(),
            queues: HashMap::new(),
            calls: HashMap::new(),
            kinds: RecentArrivals::default(),
            reading: HashMap::new(),
            early_paces: HashMap::new(),
        }
    }

    /// Puts a routing table in force.
    pub fn put_in_force(&mut self, table: Arc<RoutingTable>) {
        self.table = table;
        for upstream in self.upstreams.values_mut() {
            upstream.set_engine(self.table.engine(&upstream.record.pool));
        }
    }

    /// Takes an event and returns what must be done.
    pub fn handle(&mut self, now: Instant, event: SchedulerEvent) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        match event {
            SchedulerEvent::Arrived(call) => self.on_arrived(now, *call, &mut actions),
            SchedulerEvent::Answering { id, attempt } => {
                self.on_answering(now, id, attempt, &mut actions);
            }
            SchedulerEvent::Paced { upstream, event_gap } => {
                self.on_paced(&upstream, event_gap, &mut actions);
            }
            SchedulerEvent::PacesTold(paces) => self.on_paces_told(&paces),
            SchedulerEvent::LoadTold { upstream, load } => {
                if let Some(it) = self.upstreams.get_mut(&upstream) {
                    it.record_reported_load(now, load);
                }
            }
            SchedulerEvent::Ended { id, attempt, end } => {
                self.on_ended(now, id, attempt, end, &mut actions);
            }
            SchedulerEvent::Left { id } => self.on_left(now, id, &mut actions),
            SchedulerEvent::DirectoryChanged(records) => {
                self.on_directory_changed(now, records);
                self.dispatch_all(now, &mut actions);
            }
            SchedulerEvent::PeerTold { vm, loads } => self.on_peer_told(now, &vm, &loads),
            SchedulerEvent::HomeTold(loads) => {
                for load in &loads {
                    if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                        upstream.record_coordinator_load(now, load);
                    }
                }
            }
            SchedulerEvent::VmsCounted(count) => {
                self.vm_count = count.max(1);
                self.budget.set_vm_count(self.vm_count);
            }
            SchedulerEvent::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    /// Whether calls wait for room, so that ticks are needed.
    pub fn has_waiting(&self) -> bool {
        self.queues.values().any(|it| !it.is_empty())
    }

    /// Calls that wait or are in flight.
    pub fn live_calls(&self) -> usize {
        self.calls.len()
    }

    /// What the other VMs are told of this VM's work.
    pub fn loads_for_peers(&self) -> Vec<UpstreamLoad> {
        self.upstreams.values().filter_map(Upstream::load_for_peers).collect()
    }

    /// What the other VMs are told of this VM's work at one upstream; none when there is none.
    pub fn load_for_peers(&self, upstream: &UpstreamId) -> Option<UpstreamLoad> {
        self.upstreams.get(upstream)?.load_for_peers()
    }

    /// News of paces for all neighbours among the VMs, `most` at a time.
    ///
    /// Who learns something passes it on, so that it reaches all VMs in as many rounds as the
    /// neighbours' graph is wide (flooding).
    pub fn take_pace_news(&mut self, most: usize) -> Vec<UpstreamPace> {
        let news = self.upstreams.values_mut().filter_map(|it| {
            let step = it.pace.take_update()?;
            Some(UpstreamPace { upstream: it.key(), step })
        });
        news.take(most).collect()
    }

    /// All paces that are known, for a VM that has just joined.
    pub fn paces(&self) -> Vec<UpstreamPace> {
        let known = self.upstreams.values();
        let paces =
            known.filter_map(|it| Some(UpstreamPace { upstream: it.key(), step: it.pace.step()? }));
        paces.collect()
    }

    /// Whether the directory names any upstream.
    pub fn has_upstreams(&self) -> bool {
        !self.upstreams.is_empty()
    }

    /// What all VMs but `vm` have in flight at upstreams whose home this VM is.
    pub fn loads_without(
        &self,
        now: Instant,
        vm: &VmId,
        upstreams: &[UpstreamId],
    ) -> Vec<UpstreamLoad> {
        let known = upstreams.iter().filter_map(|it| self.upstreams.get(it));
        known.map(|it| it.load_excluding(now, vm)).collect()
    }

    /// Upstreams that a call would go to by what is known now, for asking their homes; none when
    /// the answer would not be worth the question.
    pub fn worth_asking(&self, now: Instant, call: &Call) -> Vec<UpstreamRecord> {
        let Some(prompt) = call.prompt.as_ref() else { return Vec::new() };
        if prompt.input_tokens < ASK_FROM_TOKENS {
            return Vec::new();
        }
        let upstreams = self.pool(&call.pool);
        let ids = placement::cheapest_candidates(&self.around(now, call), call, &upstreams, ASKED);
        let known = ids.iter().filter_map(|it| self.upstreams.get(it));
        known.map(|it| it.record.clone()).collect()
    }

    /// The directory as it is believed to be.
    pub fn directory(&self) -> Vec<UpstreamRecord> {
        self.upstreams.values().map(|it| it.record.clone()).collect()
    }

    fn on_arrived(&mut self, now: Instant, call: Call, actions: &mut Vec<SchedulerAction>) {
        let pool = call.pool.clone();
        self.budget.deposit(&pool);
        if let Some(prompt) = &call.prompt {
            self.kinds.record(now, &pool, prompt);
        }
        let give_up_at =
            (call.arrived_at + call.route.target.mul_f64(WAIT_SHARE)).min(call.deadline);
        let (id, tier) = (call.id, call.tier);
        let tracked = Tracked {
            call,
            attempts: 0,
            tried: Vec::new(),
            at: None,
            may_have_run: false,
            give_up_at,
        };
        self.calls.insert(id, tracked);
        self.queues.entry(pool.clone()).or_default().push_back(tier, id);
        self.dispatch(now, &pool, actions);
    }

    fn on_answering(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.get(&id).filter(|it| it.attempts == attempt) else { return };
        let (pool, tier) = (tracked.call.pool.clone(), tracked.call.tier);
        if let Some(upstream) = tracked.at.as_ref().and_then(|it| self.upstreams.get_mut(it))
            && let Some(prediction) = upstream.record_response_start(now, id)
        {
            let ratio = self.reading.entry((pool.clone(), tier)).or_default();
            ratio.update(prediction.expected, prediction.observed);
            actions.push(SchedulerAction::Checked(prediction));
        }
        self.dispatch(now, &pool, actions);
    }

    fn on_ended(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
        end: SendEnd,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id).filter(|it| it.attempts == attempt) else {
            return;
        };
        let pool = tracked.call.pool.clone();
        tracked.may_have_run |= matches!(end, SendEnd::Failed | SendEnd::Broken);
        if let Some(upstream) = tracked.at.take().and_then(|it| self.upstreams.get_mut(&it)) {
            upstream.remove_attempt(id);
            let took_work = upstream.accepts_work(now);
            record_health(now, upstream, end);
            let takes_work = upstream.accepts_work(now);
            if took_work != takes_work {
                let upstream = upstream.record.id.clone();
                actions.push(SchedulerAction::Judged(HealthChange {
                    upstream,
                    takes_work,
                    cause: end,
                }));
            }
        }
        match end {
            SendEnd::Complete | SendEnd::Abandoned => {
                self.calls.remove(&id);
            }
            SendEnd::NotSent | SendEnd::Refused { .. } | SendEnd::Failed | SendEnd::Broken => {
                self.retry_or_conclude(now, id, end, actions);
            }
        }
        self.dispatch(now, &pool, actions);
    }

    fn retry_or_conclude(
        &mut self,
        now: Instant,
        id: RequestId,
        end: SendEnd,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        let pool = tracked.call.pool.clone();
        if end == SendEnd::NotSent {
            // Nothing arrived anywhere, so neither the route's attempts nor the budget count it.
            tracked.unsend();
        }
        let may_repeat = tracked.call.route.kind.is_repeatable() || !tracked.may_have_run;
        let reason = if !may_repeat {
            Some(ConclusionReason::MayHaveRun)
        } else if tracked.sends() >= tracked.call.route.max_attempts
            || tracked.attempts >= MAX_TRIES
        {
            Some(ConclusionReason::AttemptsUsed)
        } else if end != SendEnd::NotSent && !self.budget.try_withdraw(&pool) {
            Some(ConclusionReason::BudgetUsed)
        } else {
            None
        };
        if let Some(reason) = reason {
            self.conclude(id, reason, RETRY_AFTER_FAULT, actions);
            return;
        }
        if let Some(tracked) = self.calls.get_mut(&id) {
            tracked.give_up_at = (now + RETRY_WAIT).min(tracked.call.deadline);
            let tier = tracked.call.tier;
            self.queues.entry(pool).or_default().push_front(tier, id);
        }
    }

    fn on_left(&mut self, now: Instant, id: RequestId, actions: &mut Vec<SchedulerAction>) {
        let Some(tracked) = self.calls.remove(&id) else { return };
        let pool = tracked.call.pool.clone();
        if let Some(queue) = self.queues.get_mut(&pool) {
            queue.remove(tracked.call.tier, id);
        }
        if let Some(upstream) = tracked.at.and_then(|it| self.upstreams.get_mut(&it)) {
            upstream.remove_attempt(id);
            upstream.circuit.inconclusive();
        }
        self.dispatch(now, &pool, actions);
    }

    fn on_directory_changed(&mut self, now: Instant, records: Vec<UpstreamRecord>) {
        let mut former = std::mem::take(&mut self.upstreams);
        for record in records {
            let known = former.remove(&record.id).filter(|it| {
                it.record.incarnation == record.incarnation && it.record.address == record.address
            });
            let mut upstream = match known {
                Some(mut it) => {
                    it.is_gone &= it.record == record;
                    it.record = record;
                    it
                }
                None => {
                    let mut upstream = Upstream::new(record, now);
                    if let Some(step) = self.early_paces.remove(&upstream.key()) {
                        upstream.pace.merge(step);
                    }
                    upstream
                }
            };
            upstream.set_engine(self.table.engine(&upstream.record.pool));
            self.upstreams.insert(upstream.record.id.clone(), upstream);
        }
    }

    fn on_peer_told(&mut self, now: Instant, vm: &VmId, loads: &[UpstreamLoad]) {
        for load in loads {
            if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                upstream.record_peer_load(now, vm, load);
            }
        }
    }

    fn on_paced(
        &mut self,
        upstream: &UpstreamId,
        event_gap: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        if let Some(expected) = upstream.pace.gap() {
            let predicted = Predicted::EventGap;
            let prediction = Prediction { predicted, expected, observed: event_gap };
            actions.push(SchedulerAction::Checked(prediction));
        }
        upstream.pace.record(event_gap);
    }

    fn on_paces_told(&mut self, paces: &[UpstreamPace]) {
        let mut steps: HashMap<UpstreamKey, PaceStep> =
            paces.iter().map(|it| (it.upstream, it.step)).collect();
        for upstream in self.upstreams.values_mut() {
            if let Some(step) = steps.remove(&upstream.key()) {
                upstream.pace.merge(step);
            }
        }
        // A VM that starts hears its peers before it has the whole directory. Most of what is kept
        // for long belongs to upstreams that have left.
        if self.early_paces.len() + steps.len() > MAX_EARLY_PACES {
            self.early_paces.clear();
        }
        self.early_paces.extend(steps);
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

impl Tracked {
    /// Attempts that may have reached an upstream.
    fn sends(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// Takes back the last attempt, which reached no upstream.
    fn unsend(&mut self) {
        self.tried.pop();
    }
}

fn record_health(now: Instant, upstream: &mut Upstream, end: SendEnd) {
    match end {
        SendEnd::Complete => upstream.circuit.succeeded(),
        SendEnd::NotSent => upstream.circuit.unreachable(now),
        SendEnd::Refused { misdirected } => {
            upstream.is_gone |= misdirected;
            upstream.circuit.inconclusive();
        }
        SendEnd::Failed => upstream.circuit.inconclusive(),
        SendEnd::Broken => upstream.circuit.failed(now),
        SendEnd::Abandoned => upstream.circuit.inconclusive(),
    }
}
