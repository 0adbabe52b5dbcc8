//! Connects the threads that serve callers with the scheduler.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::Departure;
use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::UpstreamRefusal;
use cranberryvalve_core::VmId;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Conclusion;
use cranberryvalve_policy::scheduler::Prediction;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::SchedulerSnapshot;
use cranberryvalve_policy::scheduler::SendCommand;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use slog::Logger;
use slog::info;

use crate::call_log::millis;
use crate::socket::Waker;

/// Time between two scheduler ticks while calls are queued.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Instruction of the scheduler to the thread that serves a call.
#[derive(Debug)]
pub(crate) enum Directive {
    /// Send an attempt to an upstream.
    Send(SendCommand),
    /// Make no further attempt and send the final response.
    Conclude(Conclusion),
}

/// Queue of directives for one caller's connection.
#[derive(Debug)]
pub(crate) struct Mailbox {
    directives: Mutex<VecDeque<(RequestId, Directive)>>,
    waker: Arc<Waker>,
}

impl Mailbox {
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Self { directives: Mutex::default(), waker: Arc::new(Waker::new()?) })
    }

    /// Returns the waker that signals new directives.
    pub(crate) const fn waker(&self) -> &Arc<Waker> {
        &self.waker
    }

    /// Takes the next directive for call `id`. Directives for earlier calls are dropped.
    pub(crate) fn take(&self, id: RequestId) -> Option<Directive> {
        let mut directives = self.directives.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((call_id, directive)) = directives.pop_front() {
            if call_id == id {
                return Some(directive);
            }
        }
        None
    }

    fn push(&self, id: RequestId, directive: Directive) {
        let mut directives = self.directives.lock().unwrap_or_else(PoisonError::into_inner);
        directives.push_back((id, directive));
    }
}

/// Owns the scheduler and delivers its decisions to the waiting callers.
pub(crate) struct Dispatcher {
    state: Mutex<State>,
    /// Signalled when calls start to queue, which is when ticks are needed.
    calls_waiting: Condvar,
    /// Signalled when there are requests for permits to be sent.
    permits_needed: Condvar,
}

struct State {
    scheduler: Scheduler,
    mailboxes: HashMap<RequestId, Arc<Mailbox>>,
    last_id: RequestId,
    log: Logger,
}

impl Dispatcher {
    pub(crate) fn new(settings: SchedulerSettings, log: Logger) -> Self {
        let scheduler = Scheduler::new(settings);
        let state = State { scheduler, mailboxes: HashMap::new(), last_id: 0, log };
        Self {
            state: Mutex::new(state),
            calls_waiting: Condvar::new(),
            permits_needed: Condvar::new(),
        }
    }

    /// Submits a call to the scheduler under a new id.
    pub(crate) fn admit(self: &Arc<Self>, mut call: Call, mailbox: &Arc<Mailbox>) -> CallGuard {
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        call.id = id;
        state.mailboxes.insert(id, mailbox.clone());
        state.handle(SchedulerEvent::Arrived(Box::new(call)), Some(id));
        self.notify_threads(&state);
        drop(state);
        CallGuard { id, dispatcher: self.clone(), is_finished: false }
    }

    /// Passes an event to the scheduler.
    pub(crate) fn handle(&self, event: SchedulerEvent) {
        self.handle_from(None, event);
    }

    /// Passes an event to the scheduler. The thread that serves call `origin` is not woken, as it
    /// is the one that raised the event.
    fn handle_from(&self, origin: Option<RequestId>, event: SchedulerEvent) {
        let mut state = self.lock();
        state.handle(event, origin);
        self.notify_threads(&state);
    }

    /// Wakes the threads that have something to do after an event.
    fn notify_threads(&self, state: &State) {
        if state.scheduler.has_queued_calls() {
            self.calls_waiting.notify_one();
        }
        if state.scheduler.has_permit_requests() {
            self.permits_needed.notify_one();
        }
    }

    /// Waits until there are requests for permits to be sent, and takes them.
    pub(crate) fn wait_for_permit_requests(&self) -> Vec<PermitRequest> {
        let mut state = self.lock();
        while !state.scheduler.has_permit_requests() {
            state = self.permits_needed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.scheduler.take_permit_requests()
    }

    /// Makes `table` the active routing table.
    pub(crate) fn activate_table(&self, table: Arc<RoutingTable>) {
        self.lock().scheduler.set_table(table);
    }

    /// Returns the number of calls that are queued or in flight.
    pub(crate) fn live_calls(&self) -> usize {
        self.lock().scheduler.live_calls()
    }

    /// Returns the load of this VM on each upstream, to be reported to other VMs.
    pub(crate) fn loads_for_peers(&self) -> Vec<UpstreamLoad> {
        self.lock().scheduler.loads_for_peers()
    }

    /// Takes at most `max` decode paces that still have to be sent to the neighbours.
    pub(crate) fn take_pace_updates(&self, max: usize) -> Vec<UpstreamPace> {
        self.lock().scheduler.take_pace_updates(max)
    }

    /// Returns all known decode paces.
    pub(crate) fn paces(&self) -> Vec<UpstreamPace> {
        self.lock().scheduler.paces()
    }

    /// Takes the departures of upstreams that still have to be sent to the neighbours.
    pub(crate) fn take_departures(&self) -> Vec<Departure> {
        self.lock().scheduler.take_departures()
    }

    /// Takes the refusals of brittle upstreams that still have to be sent to the other VMs.
    pub(crate) fn take_refusals(&self) -> Vec<UpstreamRefusal> {
        self.lock().scheduler.take_refusals()
    }

    /// Returns `true` if an upstream that failed at `at` may have refused too many requests.
    pub(crate) fn may_lack_room(&self, at: Instant, upstream: &UpstreamId) -> bool {
        self.lock().scheduler.may_lack_room(at, upstream)
    }

    /// Returns all known departures of upstreams.
    pub(crate) fn departures(&self) -> Vec<Departure> {
        self.lock().scheduler.departures()
    }

    /// Returns `true` if a request may be sent to this start of an upstream now.
    pub(crate) fn may_send(&self, upstream: &UpstreamId, incarnation: u64) -> bool {
        self.lock().scheduler.may_send(Instant::now(), upstream, incarnation)
    }

    /// Returns the load of this VM on one upstream, to be reported to other VMs.
    pub(crate) fn load_for_peers(&self, upstream: &UpstreamId) -> Option<UpstreamLoad> {
        self.lock().scheduler.load_for_peers(upstream)
    }

    /// Returns `true` if the directory contains at least one upstream.
    pub(crate) fn has_upstreams(&self) -> bool {
        self.lock().scheduler.has_upstreams()
    }

    /// Returns the load of all VMs except `vm` on those `upstreams` whose load coordinator is
    /// this VM.
    pub(crate) fn loads_excluding(&self, vm: &VmId, upstreams: &[UpstreamId]) -> Vec<UpstreamLoad> {
        self.lock().scheduler.loads_excluding(Instant::now(), vm, upstreams)
    }

    /// Returns the candidate upstreams whose load coordinators should be queried for their load
    /// before `call` is placed; empty if the call is too small to matter.
    pub(crate) fn upstreams_to_query(&self, call: &Call) -> Vec<UpstreamRecord> {
        self.lock().scheduler.load_query_candidates(Instant::now(), call)
    }

    /// Returns a snapshot of the scheduler's state.
    pub(crate) fn snapshot(&self) -> SchedulerSnapshot {
        self.lock().scheduler.snapshot(Instant::now())
    }

    /// Returns an upstream of the directory, or `None` if it is not listed.
    pub(crate) fn upstream(&self, id: &UpstreamId) -> Option<UpstreamRecord> {
        self.lock().scheduler.upstream(id).cloned()
    }

    /// Returns the current directory of upstreams.
    pub(crate) fn directory(&self) -> Vec<UpstreamRecord> {
        self.lock().scheduler.directory()
    }

    /// Ticks the scheduler while calls are queued. Never returns.
    pub(crate) fn run_ticks(&self) {
        let mut state = self.lock();
        loop {
            while !state.scheduler.has_queued_calls() {
                state = self.calls_waiting.wait(state).unwrap_or_else(PoisonError::into_inner);
            }
            drop(state);
            std::thread::sleep(TICK_INTERVAL);
            state = self.lock();
            state.handle(SchedulerEvent::Tick, None);
            self.notify_threads(&state);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Passes an event to the scheduler and delivers the resulting actions. The thread that serves
    /// call `origin` is not woken.
    fn handle(&mut self, event: SchedulerEvent, origin: Option<RequestId>) {
        for action in self.scheduler.handle(Instant::now(), event) {
            let (id, directive) = match action {
                SchedulerAction::Send(it) => (it.id, Directive::Send(it)),
                SchedulerAction::Conclude(it) => (it.id, Directive::Conclude(it)),
                SchedulerAction::HealthChanged(it) => {
                    info!(self.log, "upstream judged"; "upstream" => &*it.upstream,
                        "takes_work" => it.takes_work, "cause" => it.cause.name());
                    continue;
                }
                SchedulerAction::UpstreamLeaving { upstream, source } => {
                    info!(self.log, "upstream leaving"; "upstream" => &*upstream,
                        "announced_by" => source.name());
                    metrics::counter!("cranberryvalve_upstream_departures_total",
                        "announced_by" => source.name())
                    .increment(1);
                    continue;
                }
                SchedulerAction::PauseStarted { upstream, requested, pause } => {
                    info!(self.log, "upstream paused"; "upstream" => &*upstream,
                        "requested_ms" => millis(requested), "pause_ms" => millis(pause));
                    metrics::counter!("cranberryvalve_upstream_pauses_total").increment(1);
                    continue;
                }
                SchedulerAction::PauseEnded { upstream } => {
                    info!(self.log, "upstream pause ended"; "upstream" => &*upstream);
                    continue;
                }
                SchedulerAction::RateLimitChanged { upstream, limit_per_s, source } => {
                    info!(self.log, "upstream rate limit changed"; "upstream" => &*upstream,
                        "limit_per_s" => limit_per_s, "announced_by" => source.name());
                    metrics::counter!("cranberryvalve_upstream_limits_total",
                        "announced_by" => source.name())
                    .increment(1);
                    continue;
                }
                SchedulerAction::PredictionObserved(it) => {
                    record_prediction_error(it);
                    continue;
                }
            };
            if let Some(mailbox) = self.mailboxes.get(&id) {
                mailbox.push(id, directive);
                if origin != Some(id) {
                    mailbox.waker.wake();
                }
            }
        }
    }
}

/// Registration of a call with the scheduler, cancelled on drop.
pub(crate) struct CallGuard {
    id: RequestId,
    dispatcher: Arc<Dispatcher>,
    is_finished: bool,
}

impl CallGuard {
    pub(crate) const fn id(&self) -> RequestId {
        self.id
    }

    /// Reports that the first part of the response arrived.
    pub(crate) fn response_started(&self, attempt: Attempt) {
        self.dispatcher.handle(SchedulerEvent::ResponseStarted { id: self.id, attempt });
    }

    /// Returns the software version that the call must continue at, if its response has begun.
    pub(crate) fn required_version(&self) -> Option<SoftwareVersion> {
        self.dispatcher.lock().scheduler.required_version(self.id).cloned()
    }

    /// Reports how an attempt ended.
    pub(crate) fn attempt_ended(&mut self, attempt: Attempt, end: AttemptEnd) {
        self.is_finished = matches!(end, AttemptEnd::Complete | AttemptEnd::Abandoned);
        let event = SchedulerEvent::AttemptEnded { id: self.id, attempt, end };
        self.dispatcher.handle_from(Some(self.id), event);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        state.mailboxes.remove(&self.id);
        if !self.is_finished {
            state.handle(SchedulerEvent::CallCancelled { id: self.id }, None);
            self.dispatcher.notify_threads(&state);
        }
    }
}

/// Records the error of a prediction and its direction.
fn record_prediction_error(prediction: Prediction) {
    let (expected, observed) = (prediction.expected, prediction.observed);
    let direction = if observed > expected { "later" } else { "earlier" };
    let labels = [("predicted", prediction.predicted.name()), ("came", direction)];
    metrics::histogram!("cranberryvalve_prediction_error_seconds", &labels)
        .record(observed.abs_diff(expected).as_secs_f64());
}
