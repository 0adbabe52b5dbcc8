//! The state machine that decides for one VM.

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
use crate::Event;
use crate::GiveUp;
use crate::Request;
use crate::pressure::PressureView;
use crate::queue::PoolQueue;
use crate::queue::Waiting;
use crate::retry::RetryBudgets;
use crate::upstream::UpstreamTable;

/// Time after which a caller may try again when a queue was full or too slow.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_secs(2);

/// Time after which a caller may try again when upstreams were missing or refused.
const RETRY_AFTER_FAULT: Duration = Duration::from_secs(1);

/// Routing decisions of one VM.
///
/// Call [`Router::handle`] for everything that happens and carry out what it returns, in order.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    config: Arc<Config>,
    upstreams: UpstreamTable,
    /// Upstreams of each pool that this VM considers.
    subsets: BTreeMap<PoolId, Vec<UpstreamId>>,
    queues: BTreeMap<PoolId, PoolQueue>,
    requests: HashMap<RequestId, Tracked>,
    budgets: RetryBudgets,
    pressure: PressureView,
    rng: Pcg64Mcg,
}

/// A request between its arrival and its end.
#[derive(Debug)]
struct Tracked {
    request: Request,
    waiting: Waiting,
    attempts: Attempt,
    tokens_delivered: u64,
    /// Whether some upstream may have run it.
    may_have_run: bool,
    /// When it is given up if no answer has begun.
    answer_limit_at: Instant,
    avoid: Vec<UpstreamId>,
    stage: Stage,
}

/// Where a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Queued,
    InFlight { upstream: UpstreamId, slot_tier: Tier },
}

impl Tracked {
    /// What the caller is told when no further attempt is made.
    fn outcome_of_giving_up(&self, reason: NotRunReason, retry_after: Duration) -> Outcome {
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
            budgets: RetryBudgets::default(),
            pressure: PressureView::default(),
        };
        router.handle(now, Event::ConfigChanged(config));
        router
    }

    /// Takes an event and returns what must be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived(request) => self.on_arrived(now, request, &mut actions),
            Event::FirstToken { id, attempt } => self.on_first_token(id, attempt),
            Event::Paced { id, attempt, token_interval } => {
                self.on_paced(now, id, attempt, token_interval);
            }
            Event::Ended { id, attempt, end } => self.on_ended(now, id, attempt, end, &mut actions),
            Event::CallerLeft { id } => self.on_caller_left(now, id, &mut actions),
            Event::LoadReported { upstream, report } => {
                self.on_load_reported(now, &upstream, report, &mut actions);
            }
            Event::LoadMissing { upstream } => self.on_load_missing(now, &upstream),
            Event::LeavingChanged { upstream, leaving } => {
                self.on_leaving_changed(now, &upstream, leaving, &mut actions);
            }
            Event::PeerPressure(digest) => self.pressure.merge(now, &digest),
            Event::ConfigChanged(config) => self.on_config_changed(now, config, &mut actions),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    /// Requests that are queued or in flight.
    pub fn live_requests(&self) -> usize {
        self.requests.len()
    }

    /// Evidence of waiting requests to tell peers: this VM's own and what it has heard.
    pub fn pressure(&self, now: Instant) -> PressureDigest {
        let mut view = PressureView::default();
        let heard = PressureDigest { entries: self.pressure.entries(now) };
        view.merge(now, &heard);
        let own = self.queues.iter().filter_map(|(pool, queue)| {
            let tier = queue.highest_waiting()?;
            Some(PressureEntry { pool: pool.clone(), tier, age_ms: 0 })
        });
        view.merge(now, &PressureDigest { entries: own.collect() });
        PressureDigest { entries: view.entries(now) }
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
        let outcome = tracked.outcome_of_giving_up(reason, retry_after);
        actions.push(Action::GiveUp(GiveUp { id, outcome }));
    }
}
