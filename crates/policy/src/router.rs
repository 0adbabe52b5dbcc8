//! State machine that makes the routing decisions of one VM.

mod dispatch;
mod lifecycle;
mod placement;
mod settings;
mod snapshot;

pub use settings::RouterSettings;
pub use snapshot::PoolSnapshot;
pub use snapshot::RouterSnapshot;
pub use snapshot::UpstreamSnapshot;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::Config;
use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::PressureEntry;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Action;
use crate::Conclusion;
use crate::Event;
use crate::Request;
use crate::pressure::PeerPressure;
use crate::queue::PoolQueue;
use crate::queue::QueuedRequest;
use crate::retry::RetryBudgets;
use crate::upstream::UpstreamTable;

/// Retry delay reported to a caller when the queue was full or the request timed out.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_secs(2);

/// Retry delay reported to a caller when no upstream was available or all refused the request.
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// Routing decisions of one VM.
///
/// Call [`Router::handle`] for every event and carry out the returned actions in order.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    config: Arc<Config>,
    upstreams: UpstreamTable,
    /// Upstreams of each pool to which this VM sends requests.
    subsets: BTreeMap<PoolId, Vec<UpstreamId>>,
    queues: BTreeMap<PoolId, PoolQueue>,
    requests: HashMap<RequestId, TrackedRequest>,
    retry_budgets: RetryBudgets,
    peer_pressure: PeerPressure,
    rng: Pcg64Mcg,
    /// Whether no further attempt is made.
    is_stopping: bool,
}

/// State of a request between its arrival and its end.
#[derive(Debug)]
struct TrackedRequest {
    request: Request,
    queued: QueuedRequest,
    attempts: Attempt,
    tokens_delivered: u64,
    /// Whether an upstream may have run it, even in part.
    may_have_run: bool,
    /// Time after which a request that timed out is not queued again.
    response_deadline: Instant,
    tried_upstreams: Vec<UpstreamId>,
    stage: Stage,
}

/// Stage of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Queued,
    InFlight { upstream: UpstreamId, dispatch_tier: Tier },
}

impl TrackedRequest {
    /// Returns the outcome to report if no further attempt is made.
    fn final_outcome(&self, reason: NotRunReason, retry_after: Duration) -> Outcome {
        if self.tokens_delivered > 0 {
            Outcome::Partial
        } else if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::not_run(reason, retry_after)
        }
    }
}

impl Router {
    /// Creates a router that starts with `config`.
    pub fn new(settings: RouterSettings, config: Arc<Config>, now: Instant) -> Self {
        let mut router = Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            config: Arc::default(),
            upstreams: UpstreamTable::default(),
            subsets: BTreeMap::new(),
            queues: BTreeMap::new(),
            requests: HashMap::new(),
            retry_budgets: RetryBudgets::default(),
            peer_pressure: PeerPressure::default(),
            is_stopping: false,
        };
        router.handle(now, Event::ConfigChanged(config));
        router
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived(request) => self.on_arrived(now, request, &mut actions),
            Event::ResponseStarted { id, attempt } => self.on_response_started(now, id, attempt),
            Event::TokenIntervalMeasured { id, attempt, token_interval } => {
                self.on_token_interval_measured(now, id, attempt, token_interval);
            }
            Event::Ended { id, attempt, end } => self.on_ended(now, id, attempt, end, &mut actions),
            Event::CallerDisconnected { id } => self.on_caller_disconnected(now, id, &mut actions),
            Event::LoadReported { upstream, report } => {
                self.on_load_reported(now, &upstream, report, &mut actions);
            }
            Event::LoadReportFailed { upstream } => self.on_load_report_failed(now, &upstream),
            Event::LeavingChanged { upstream, leaving } => {
                self.on_leaving_changed(now, &upstream, leaving, &mut actions);
            }
            Event::PeerPressure(digest) => self.peer_pressure.merge(now, &digest),
            Event::ConfigChanged(config) => self.on_config_changed(now, config, &mut actions),
            Event::Stopping => self.on_stopping(&mut actions),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    /// Returns the number of requests that are queued or in flight.
    pub fn live_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the queue pressure to send to other VMs.
    ///
    /// Combines the requests queued on this VM with the entries received from other VMs.
    pub fn pressure(&self, now: Instant) -> PressureDigest {
        let mut combined = PeerPressure::default();
        let received = PressureDigest { entries: self.peer_pressure.entries(now) };
        combined.merge(now, &received);
        let local = self.queues.iter().filter_map(|(pool, queue)| {
            let tier = queue.highest_queued_tier()?;
            Some(PressureEntry { pool: pool.clone(), tier, age_ms: 0 })
        });
        combined.merge(now, &PressureDigest { entries: local.collect() });
        PressureDigest { entries: combined.entries(now) }
    }

    fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let expired: Vec<RequestId> =
            self.queues.values().flat_map(|queue| queue.expired(now)).collect();
        for id in expired {
            self.give_up_queued(id, NotRunReason::QueueTimeout, RETRY_AFTER_OVERLOAD, actions);
        }
        for pool in self.upstreams.pools() {
            self.dispatch(now, &pool, actions);
        }
    }

    fn give_up_queued(
        &mut self,
        id: RequestId,
        reason: NotRunReason,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.remove(&id) else { return };
        if let Some(queue) = self.queues.get_mut(&tracked.request.pool) {
            queue.remove(id);
        }
        let outcome = tracked.final_outcome(reason, retry_after);
        actions.push(Action::Conclude(Conclusion { id, outcome }));
    }
}
