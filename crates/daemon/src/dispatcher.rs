//! Connects the threads that serve callers with the router.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::upstream::CancelHandle;
use cranberryvalve_core::Attempt;
use cranberryvalve_core::ClassId;
use cranberryvalve_core::Config;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamSpec;
use cranberryvalve_policy::Action;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Conclusion;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::Request;
use cranberryvalve_policy::Router;
use cranberryvalve_policy::RouterSettings;
use cranberryvalve_policy::RouterSnapshot;
use cranberryvalve_policy::SendCommand;

use crate::attempt_control::AttemptControl;

/// Instruction of the router to the thread that serves a request.
#[derive(Debug)]
pub(crate) enum Directive {
    /// Send this attempt to the upstream.
    Send(SendCommand, Arc<UpstreamSpec>),
    /// Stop and send the final outcome to the caller.
    Conclude(Conclusion),
    /// Stop, because the caller has disconnected.
    CallerDisconnected,
}

/// Shares the router between threads and delivers its decisions to the waiting ones.
pub(crate) struct Dispatcher {
    state: Mutex<State>,
}

struct State {
    router: Router,
    config: Arc<Config>,
    waiters: HashMap<RequestId, Waiter>,
    last_id: RequestId,
}

/// Where the thread that serves a request is reached.
struct Waiter {
    directive_sender: Sender<Directive>,
    attempt: Arc<AttemptControl>,
}

/// A request to be admitted to the router.
#[derive(Debug, Clone)]
pub(crate) struct NewRequest {
    pub(crate) class: ClassId,
    pub(crate) customer: CustomerId,
    pub(crate) pool: PoolId,
    pub(crate) repeatable: bool,
    pub(crate) prefix_hash: Option<u64>,
}

impl Dispatcher {
    pub(crate) fn new(settings: RouterSettings) -> Self {
        let config = Arc::<Config>::default();
        let router = Router::new(settings, config.clone(), Instant::now());
        let state = State { router, config, waiters: HashMap::new(), last_id: 0 };
        Self { state: Mutex::new(state) }
    }

    /// Admits a request to the router.
    pub(crate) fn admit(self: &Arc<Self>, new_request: NewRequest) -> RequestHandle {
        let (directive_sender, directive_receiver) = channel();
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        let attempt = Arc::<AttemptControl>::default();
        let waiter =
            Waiter { directive_sender: directive_sender.clone(), attempt: attempt.clone() };
        state.waiters.insert(id, waiter);
        let request = Request::new(id, new_request.class, new_request.customer, new_request.pool)
            .retryable(new_request.repeatable)
            .prefix_hash(new_request.prefix_hash);
        state.handle(Event::Arrived(request));
        drop(state);
        RequestHandle {
            id,
            directive_receiver,
            directive_sender,
            attempt,
            dispatcher: self.clone(),
        }
    }

    /// Ends all requests: attempts are cancelled, and the router concludes by what they have shown.
    pub(crate) fn end_requests(&self) {
        let mut state = self.lock();
        state.handle(Event::Stopping);
        state.waiters.values().for_each(|it| it.attempt.end());
    }

    /// Passes an event to the router and delivers the resulting decisions.
    pub(crate) fn handle(&self, event: Event) {
        self.lock().handle(event);
    }

    /// Makes `config` the active configuration.
    pub(crate) fn activate_config(&self, config: Arc<Config>) {
        let mut state = self.lock();
        state.config = config.clone();
        state.handle(Event::ConfigChanged(config));
    }

    /// Returns the active configuration.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.lock().config.clone()
    }

    /// Returns the upstreams that the router considers and therefore needs load reports of.
    pub(crate) fn subset_upstreams(&self) -> Vec<UpstreamSpec> {
        self.lock().router.subset_upstreams()
    }

    /// Returns the number of requests that have not ended.
    pub(crate) fn live_requests(&self) -> usize {
        self.lock().router.live_requests()
    }

    /// Returns the pressure on this VM, for its peers.
    pub(crate) fn pressure(&self) -> PressureDigest {
        self.lock().router.pressure(Instant::now())
    }

    /// Returns the state of the router for a dump.
    pub(crate) fn snapshot(&self) -> RouterSnapshot {
        self.lock().router.snapshot(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn handle(&mut self, event: Event) {
        for action in self.router.handle(Instant::now(), event) {
            self.deliver(action);
        }
    }

    fn deliver(&mut self, action: Action) {
        let (id, directive) = match action {
            Action::Send(order) => match self.upstream_spec(&order.upstream) {
                Some(spec) => (order.id, Directive::Send(order, spec)),
                None => {
                    let (id, attempt) = (order.id, order.attempt);
                    self.handle(Event::Ended { id, attempt, end: AttemptEnd::NotSent });
                    return;
                }
            },
            Action::Conclude(conclusion) => (conclusion.id, Directive::Conclude(conclusion)),
        };
        if let Some(waiter) = self.waiters.get(&id) {
            // Sending fails if the waiter has stopped; it has notified the router or is about to.
            let _ = waiter.directive_sender.send(directive);
        }
    }

    fn upstream_spec(&self, upstream: &UpstreamId) -> Option<Arc<UpstreamSpec>> {
        self.config.upstream(upstream).map(|spec| Arc::new(spec.clone()))
    }
}

/// An admitted request; dropping it withdraws the request from the router.
pub(crate) struct RequestHandle {
    id: RequestId,
    directive_receiver: Receiver<Directive>,
    directive_sender: Sender<Directive>,
    attempt: Arc<AttemptControl>,
    dispatcher: Arc<Dispatcher>,
}

impl RequestHandle {
    pub(crate) const fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the next directive of the router.
    pub(crate) fn next_directive(&self) -> Directive {
        self.directive_receiver.recv().unwrap_or(Directive::CallerDisconnected)
    }

    /// Returns the function to run when the caller disconnects.
    ///
    /// It ends the wait for a directive and cancels the running attempt.
    pub(crate) fn disconnect_handler(&self) -> impl FnOnce() + Send + 'static {
        let directive_sender = self.directive_sender.clone();
        let attempt = self.attempt.clone();
        move || {
            let _ = directive_sender.send(Directive::CallerDisconnected);
            attempt.on_disconnected();
        }
    }

    /// Returns whether the caller has disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.attempt.lock().is_disconnected
    }

    /// Returns whether no further attempt is to be made.
    pub(crate) fn is_ended(&self) -> bool {
        self.attempt.lock().is_ended
    }

    /// Returns the cancel handle of a new attempt, which is cancelled if the caller disconnects.
    pub(crate) fn start_attempt(&self) -> CancelHandle {
        self.attempt.start(false)
    }

    /// Returns the cancel handle of a new attempt that goes on if the caller disconnects.
    pub(crate) fn start_kept_attempt(&self) -> CancelHandle {
        self.attempt.start(true)
    }

    /// Reports to the router that the first token of a response arrived.
    pub(crate) fn report_first_token(&self, attempt: Attempt) {
        self.dispatcher.handle(Event::ResponseStarted { id: self.id, attempt });
    }

    /// Reports the decode pace of an attempt to the router.
    pub(crate) fn report_pace(&self, attempt: Attempt, token_interval: Duration) {
        self.dispatcher.handle(Event::TokenIntervalMeasured {
            id: self.id,
            attempt,
            token_interval,
        });
    }

    /// Reports the end of an attempt to the router.
    pub(crate) fn report_end(&self, attempt: Attempt, end: AttemptEnd) {
        self.dispatcher.handle(Event::Ended { id: self.id, attempt, end });
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        state.waiters.remove(&self.id);
        state.handle(Event::CallerDisconnected { id: self.id });
    }
}
