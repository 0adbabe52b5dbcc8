//! Test harness that drives a [`Router`] and records its actions.

#![allow(dead_code, reason = "each test file uses only a part of it")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::Config;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::Digest;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamKind;
use cranberryvalve_core::UpstreamSpec;
use cranberryvalve_policy::Action;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::Request;
use cranberryvalve_policy::Router;
use cranberryvalve_policy::RouterSettings;
use cranberryvalve_policy::SendCommand;

/// Interval between ticks while time advances.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a queued request is promoted, in all classes.
pub(crate) const PROMOTE_AFTER: Duration = Duration::from_secs(10);

/// Pool served by all upstreams.
pub(crate) const POOL: &str = "harbour-7b";

/// A router with simulated time and a record of the attempts and outcomes so far.
pub(crate) struct RouterHarness {
    pub(crate) now: Instant,
    router: Router,
    config: Arc<Config>,
    sent_at: Vec<Instant>,
    sent: Vec<SendCommand>,
    in_flight: BTreeMap<RequestId, SendCommand>,
    given_up: BTreeMap<RequestId, Outcome>,
}

/// Returns a configuration with classes of three tiers, three customers and `engines` engines with
/// `slots` slots each. All customers have weight 1 but `heavy`, which has 3.
pub(crate) fn config(engines: usize, slots: u32) -> Config {
    let classes = [("tide-check", 0), ("commentary", 1), ("replan", 3)];
    let upstreams = (0..engines).map(|index| UpstreamSpec {
        id: format!("engine-{index}").into(),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        kind: UpstreamKind::Engine,
        pools: vec![POOL.into()],
        failure_domain: "lyttelton".into(),
        slots,
        checks_fencing: true,
        drained: false,
        orders: Vec::new(),
    });
    let customers = [("tasman", 1), ("agency", 1), ("heavy", 3)].map(|(id, weight)| CustomerSpec {
        id: id.into(),
        key_sha256: Digest::of(id.as_bytes()),
        classes: classes.iter().map(|it| it.0.into()).collect(),
        weight,
        requests_per_s: None,
        max_in_flight: None,
    });
    Config {
        classes: classes.iter().map(|(id, tier)| class(id, *tier)).collect(),
        upstreams: upstreams.collect(),
        customers: customers.to_vec(),
        ..Config::default()
    }
}

fn class(id: &str, tier: Tier) -> ServiceClass {
    ServiceClass {
        id: id.into(),
        tier,
        first_token_target_ms: 1_500,
        token_interval_target_ms: 39,
        queue_limit_ms: 30_000,
        promote_after_ms: PROMOTE_AFTER.as_millis() as u64,
        silence_limit_ms: 3_000,
        answer_limit_ms: 300_000,
    }
}

impl RouterHarness {
    pub(crate) fn new(engines: usize, slots: u32) -> Self {
        Self::seeded(engines, slots, 1)
    }

    pub(crate) fn seeded(engines: usize, slots: u32, seed: u64) -> Self {
        Self::with_config(config(engines, slots), seed)
    }

    pub(crate) fn with_config(config: Config, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(1_000);
        let config = Arc::new(config);
        let router = Router::new(RouterSettings::new("vm-1".into(), seed), config.clone(), now);
        Self {
            now,
            router,
            config,
            sent: Vec::new(),
            sent_at: Vec::new(),
            in_flight: BTreeMap::new(),
            given_up: BTreeMap::new(),
        }
    }

    pub(crate) fn router(&self) -> &Router {
        &self.router
    }

    pub(crate) fn arrive(&mut self, id: RequestId, class: &str) {
        self.arrive_from(id, class, "tasman");
    }

    pub(crate) fn arrive_from(&mut self, id: RequestId, class: &str, customer: &str) {
        let request = Request::new(id, class.into(), customer.into(), POOL.into());
        self.handle(Event::Arrived(request));
    }

    pub(crate) fn arrive_non_repeatable(&mut self, id: RequestId, class: &str) {
        let request = Request::new(id, class.into(), "tasman".into(), POOL.into());
        self.handle(Event::Arrived(request.retryable(false)));
    }

    /// Ends the current attempt of request `id`, if one is in flight.
    pub(crate) fn end(&mut self, id: RequestId, end: AttemptEnd) {
        if let Some(order) = self.in_flight.remove(&id) {
            self.handle(Event::Ended { id, attempt: order.attempt, end });
        }
    }

    /// Reports the end of the given attempt, whether or not it is the current one.
    pub(crate) fn end_attempt(&mut self, id: RequestId, attempt: Attempt, end: AttemptEnd) {
        self.handle(Event::Ended { id, attempt, end });
    }

    pub(crate) fn complete(&mut self, id: RequestId) {
        self.end(id, AttemptEnd::Complete { token_interval: None });
    }

    /// Advances the time by at least `time`, with ticks in between.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK_INTERVAL.max(time / 1_000);
            self.handle(Event::Tick);
        }
    }

    /// Closes all circuits by changing the addresses of the upstreams, which resets their state.
    pub(crate) fn reset_circuits(&mut self) {
        let mut changed = (*self.config).clone();
        for upstream in &mut changed.upstreams {
            upstream.address.set_port(upstream.address.port() ^ 0x4000);
        }
        self.config = Arc::new(changed);
        self.handle(Event::ConfigChanged(self.config.clone()));
    }

    pub(crate) fn handle(&mut self, event: Event) {
        for action in self.router.handle(self.now, event) {
            match action {
                Action::Send(order) => {
                    self.sent_at.push(self.now);
                    self.in_flight.insert(order.id, order.clone());
                    self.sent.push(order);
                }
                Action::Conclude(conclusion) => {
                    let earlier = self.given_up.insert(conclusion.id, conclusion.outcome);
                    assert_eq!(earlier, None, "the request was given up twice");
                }
            }
        }
    }

    pub(crate) fn is_in_flight(&self, id: RequestId) -> bool {
        self.in_flight.contains_key(&id)
    }

    pub(crate) fn in_flight(&self) -> Vec<SendCommand> {
        self.in_flight.values().cloned().collect()
    }

    /// Returns all attempts in the order in which they were sent.
    pub(crate) fn sent(&self) -> &[SendCommand] {
        &self.sent
    }

    /// Returns when each of [`Self::sent`] was sent.
    pub(crate) fn sent_at(&self) -> &[Instant] {
        &self.sent_at
    }

    /// Returns the upstreams to which request `id` was sent, in order.
    pub(crate) fn sent_to(&self, id: RequestId) -> Vec<UpstreamId> {
        let attempts = self.sent.iter().filter(|it| it.id == id);
        attempts.map(|it| it.upstream.clone()).collect()
    }

    /// Returns the outcome of request `id` if the router has given it up.
    pub(crate) fn given_up(&self, id: RequestId) -> Option<Outcome> {
        self.given_up.get(&id).cloned()
    }

    pub(crate) fn all_given_up(&self) -> &BTreeMap<RequestId, Outcome> {
        &self.given_up
    }
}
