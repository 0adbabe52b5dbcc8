//! Connects the threads of callers with the router.

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
use cranberryvalve_policy::Event;
use cranberryvalve_policy::GiveUp;
use cranberryvalve_policy::Request;
use cranberryvalve_policy::Router;
use cranberryvalve_policy::RouterSettings;
use cranberryvalve_policy::RouterSnapshot;
use cranberryvalve_policy::SendOrder;

/// What a caller's thread must do next.
#[derive(Debug)]
pub(crate) enum Directive {
    /// Send an attempt to this upstream.
    Send(SendOrder, Arc<UpstreamSpec>),
    /// Give the caller its final answer.
    GiveUp(GiveUp),
    /// Stop: the caller is gone.
    CallerGone,
}

/// The router and the threads that wait for its decisions.
pub(crate) struct Dispatcher {
    state: Mutex<State>,
}

struct State {
    router: Router,
    config: Arc<Config>,
    waiters: HashMap<RequestId, Sender<Directive>>,
    last_id: RequestId,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
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

    /// Hands a request to the router.
    pub(crate) fn admit(self: &Arc<Self>, ask: Ask) -> Ticket {
        let (sender, directives) = channel();
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.waiters.insert(id, sender.clone());
        let request = Request::new(id, ask.class, ask.customer, ask.pool)
            .retryable(ask.repeatable)
            .prefix_hash(ask.prefix_hash);
        state.handle(Event::Arrived(request));
        drop(state);
        let attempt = Arc::new(Mutex::new(CancelHandle::new()));
        Ticket { id, directives, sender, attempt, dispatcher: self.clone() }
    }

    /// Tells the router what happened.
    pub(crate) fn handle(&self, event: Event) {
        self.lock().handle(event);
    }

    /// Puts a configuration in force.
    pub(crate) fn put_in_force(&self, config: Arc<Config>) {
        let mut state = self.lock();
        state.config = config.clone();
        state.handle(Event::ConfigChanged(config));
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.lock().config.clone()
    }

    /// Upstreams that the router considers, whose load it wants to know.
    pub(crate) fn considered_upstreams(&self) -> Vec<UpstreamSpec> {
        self.lock().router.considered_upstreams()
    }

    pub(crate) fn live_requests(&self) -> usize {
        self.lock().router.live_requests()
    }

    pub(crate) fn pressure(&self) -> PressureDigest {
        self.lock().router.pressure(Instant::now())
    }

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
            self.direct(action);
        }
    }

    fn direct(&mut self, action: Action) {
        let (id, directive) = match action {
            Action::Send(order) => match self.spec(&order.upstream) {
                Some(spec) => (order.id, Directive::Send(order, spec)),
                None => {
                    let (id, attempt) = (order.id, order.attempt);
                    self.handle(Event::Ended { id, attempt, end: AttemptEnd::NotSent });
                    return;
                }
            },
            Action::GiveUp(give_up) => (give_up.id, Directive::GiveUp(give_up)),
        };
        if let Some(waiter) = self.waiters.get(&id) {
            // A waiter that is gone has told the router, or is about to.
            let _ = waiter.send(directive);
        }
    }

    fn spec(&self, upstream: &UpstreamId) -> Option<Arc<UpstreamSpec>> {
        self.config.upstream(upstream).map(|spec| Arc::new(spec.clone()))
    }
}

/// A caller's place with the router, given up when it is dropped.
pub(crate) struct Ticket {
    id: RequestId,
    directives: Receiver<Directive>,
    sender: Sender<Directive>,
    attempt: Arc<Mutex<CancelHandle>>,
    dispatcher: Arc<Dispatcher>,
}

impl Ticket {
    pub(crate) const fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for what to do next.
    pub(crate) fn next(&self) -> Directive {
        self.directives.recv().unwrap_or(Directive::CallerGone)
    }

    /// What to run when the caller is seen to be gone: ends the wait and the attempt under way.
    pub(crate) fn on_caller_gone(&self) -> impl FnOnce() + Send + 'static {
        let sender = self.sender.clone();
        let attempt = self.attempt.clone();
        move || {
            let _ = sender.send(Directive::CallerGone);
            lock_attempt(&attempt).cancel();
        }
    }

    /// Starts an attempt that is cancelled when the caller leaves.
    pub(crate) fn start_attempt(&self) -> CancelHandle {
        let mut attempt = lock_attempt(&self.attempt);
        let cancelled_before = attempt.is_cancelled();
        *attempt = CancelHandle::new();
        if cancelled_before {
            attempt.cancel();
        }
        attempt.clone()
    }

    /// Tells the router that the first part of an answer arrived.
    pub(crate) fn first_token(&self, attempt: Attempt) {
        self.dispatcher.handle(Event::FirstToken { id: self.id, attempt });
    }

    /// Tells the router the pace of an attempt.
    pub(crate) fn paced(&self, attempt: Attempt, token_interval: Duration) {
        self.dispatcher.handle(Event::Paced { id: self.id, attempt, token_interval });
    }

    /// Tells the router how an attempt ended.
    pub(crate) fn ended(&self, attempt: Attempt, end: AttemptEnd) {
        self.dispatcher.handle(Event::Ended { id: self.id, attempt, end });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        state.waiters.remove(&self.id);
        state.handle(Event::CallerLeft { id: self.id });
    }
}

fn lock_attempt(attempt: &Mutex<CancelHandle>) -> MutexGuard<'_, CancelHandle> {
    attempt.lock().unwrap_or_else(PoisonError::into_inner)
}
