//! Connects the threads of callers with the scheduler.

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
use cranberryvalve_core::RequestId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::VmId;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Conclusion;
use cranberryvalve_policy::scheduler::Prediction;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::SchedulerSnapshot;
use cranberryvalve_policy::scheduler::SendCommand;
use cranberryvalve_policy::scheduler::SendEnd;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use slog::Logger;
use slog::info;

use crate::socket::Waker;

/// Time between two looks at the calls that wait.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// What a caller's thread must do next.
#[derive(Debug)]
pub(crate) enum Directive {
    /// Send an attempt.
    Send(SendCommand),
    /// Give the caller its final answer.
    Conclude(Conclusion),
}

/// Directives for one caller's connection.
#[derive(Debug)]
pub(crate) struct Mailbox {
    directives: Mutex<VecDeque<(RequestId, Directive)>>,
    waker: Waker,
}

impl Mailbox {
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Self { directives: Mutex::default(), waker: Waker::new()? })
    }

    /// Wakes the thread that waits for directives.
    pub(crate) const fn waker(&self) -> &Waker {
        &self.waker
    }

    /// Takes the next directive for `id`; those for earlier calls are dropped.
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

/// The scheduler and the callers that wait for its decisions.
pub(crate) struct Dispatcher {
    state: Mutex<State>,
    /// Signalled when calls begin to wait, so that ticks are needed.
    calls_waiting: Condvar,
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
        Self { state: Mutex::new(state), calls_waiting: Condvar::new() }
    }

    /// Hands a call to the scheduler, which gives it its id.
    pub(crate) fn admit(self: &Arc<Self>, mut call: Call, mailbox: &Arc<Mailbox>) -> CallGuard {
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        call.id = id;
        state.mailboxes.insert(id, mailbox.clone());
        state.handle(SchedulerEvent::Arrived(Box::new(call)), Some(id));
        if state.scheduler.has_waiting() {
            self.calls_waiting.notify_one();
        }
        drop(state);
        CallGuard { id, dispatcher: self.clone(), is_finished: false }
    }

    /// Tells the scheduler what happened.
    pub(crate) fn handle(&self, event: SchedulerEvent) {
        self.handle_from(None, event);
    }

    /// Tells the scheduler what happened to `own`, whose thread needs no waking.
    fn handle_from(&self, origin: Option<RequestId>, event: SchedulerEvent) {
        let mut state = self.lock();
        state.handle(event, origin);
        if state.scheduler.has_waiting() {
            self.calls_waiting.notify_one();
        }
    }

    /// Puts a routing table in force.
    pub(crate) fn activate_table(&self, table: Arc<RoutingTable>) {
        self.lock().scheduler.put_in_force(table);
    }

    /// Calls that wait or are in flight.
    pub(crate) fn live_calls(&self) -> usize {
        self.lock().scheduler.live_calls()
    }

    /// What the other VMs are told.
    pub(crate) fn loads_for_peers(&self) -> Vec<UpstreamLoad> {
        self.lock().scheduler.loads_for_peers()
    }

    /// News of paces for the neighbours.
    pub(crate) fn take_pace_updates(&self, max: usize) -> Vec<UpstreamPace> {
        self.lock().scheduler.take_pace_news(max)
    }

    /// All paces that are known.
    pub(crate) fn paces(&self) -> Vec<UpstreamPace> {
        self.lock().scheduler.paces()
    }

    /// What the other VMs are told of one upstream.
    pub(crate) fn load_for_peers(&self, upstream: &UpstreamId) -> Option<UpstreamLoad> {
        self.lock().scheduler.load_for_peers(upstream)
    }

    /// Whether the directory names any upstream.
    pub(crate) fn has_upstreams(&self) -> bool {
        self.lock().scheduler.has_upstreams()
    }

    /// What all VMs but `vm` have in flight at upstreams whose home this VM is.
    pub(crate) fn loads_excluding(&self, vm: &VmId, upstreams: &[UpstreamId]) -> Vec<UpstreamLoad> {
        self.lock().scheduler.loads_without(Instant::now(), vm, upstreams)
    }

    /// Upstreams whose homes are worth asking about a call.
    pub(crate) fn upstreams_to_query(&self, call: &Call) -> Vec<UpstreamRecord> {
        self.lock().scheduler.worth_asking(Instant::now(), call)
    }

    /// What the scheduler believes.
    pub(crate) fn snapshot(&self) -> SchedulerSnapshot {
        self.lock().scheduler.snapshot(Instant::now())
    }

    /// The directory in force.
    pub(crate) fn directory(&self) -> Vec<UpstreamRecord> {
        self.lock().scheduler.directory()
    }

    /// Ticks while calls wait; does not return.
    pub(crate) fn run_ticks(&self) {
        let mut state = self.lock();
        loop {
            while !state.scheduler.has_waiting() {
                state = self.calls_waiting.wait(state).unwrap_or_else(PoisonError::into_inner);
            }
            drop(state);
            std::thread::sleep(TICK_INTERVAL);
            state = self.lock();
            state.handle(SchedulerEvent::Tick, None);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Passes an event on and its actions to the callers; the thread of `own` needs no waking.
    fn handle(&mut self, event: SchedulerEvent, origin: Option<RequestId>) {
        for action in self.scheduler.handle(Instant::now(), event) {
            let (id, directive) = match action {
                SchedulerAction::Send(it) => (it.id, Directive::Send(it)),
                SchedulerAction::Conclude(it) => (it.id, Directive::Conclude(it)),
                SchedulerAction::Judged(it) => {
                    info!(self.log, "upstream judged"; "upstream" => &*it.upstream,
                        "takes_work" => it.takes_work, "cause" => it.cause.name());
                    continue;
                }
                SchedulerAction::Checked(it) => {
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

/// A call's place with the scheduler, given up when it is dropped.
pub(crate) struct CallGuard {
    id: RequestId,
    dispatcher: Arc<Dispatcher>,
    is_finished: bool,
}

impl CallGuard {
    pub(crate) const fn id(&self) -> RequestId {
        self.id
    }

    /// Tells the scheduler that the first part of an answer arrived.
    pub(crate) fn response_started(&self, attempt: Attempt) {
        self.dispatcher.handle(SchedulerEvent::Answering { id: self.id, attempt });
    }

    /// Tells the scheduler how an attempt ended.
    pub(crate) fn attempt_ended(&mut self, attempt: Attempt, end: SendEnd) {
        self.is_finished = matches!(end, SendEnd::Complete | SendEnd::Abandoned);
        let event = SchedulerEvent::Ended { id: self.id, attempt, end };
        self.dispatcher.handle_from(Some(self.id), event);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        state.mailboxes.remove(&self.id);
        if !self.is_finished {
            state.handle(SchedulerEvent::Left { id: self.id }, None);
        }
    }
}

/// Publishes how far an estimate was off, and in which direction.
fn record_prediction_error(prediction: Prediction) {
    let (expected, observed) = (prediction.expected, prediction.observed);
    let direction = if observed > expected { "later" } else { "earlier" };
    let labels = [("predicted", prediction.predicted.name()), ("came", direction)];
    metrics::histogram!("cranberryvalve_prediction_error_seconds", &labels)
        .record(observed.abs_diff(expected).as_secs_f64());
}
