//! One run in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Outcome;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::RequestId;
use cranberryvalve_policy::Action;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::LoadReport;
use cranberryvalve_policy::Request;
use cranberryvalve_policy::Router;
use cranberryvalve_policy::RouterSettings;
use cranberryvalve_policy::SendOrder;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::deployment::ClassLoad;
use super::deployment::Deployment;
use super::deployment::engine_id;
use super::engine::FakeEngine;
use super::engine::Job;
use super::naive::NaiveRouter;
use super::tally::Finished;
use super::tally::Tally;

/// Time for which requests arrive.
const LOAD: Duration = Duration::from_secs(120);

/// Bursts: how often they start, and how long they last.
const BURST_EVERY_S: u64 = 40;
const BURST_S: u64 = 12;

/// Age of a load report when it arrives, and the pause between two of them.
const REPORT_LAG: Duration = Duration::from_millis(300);
const REPORT_EVERY: Duration = Duration::from_millis(600);

/// Time for a peer's digest to arrive, and the pause between two of them.
const GOSSIP_LAG: Duration = Duration::from_millis(50);
const GOSSIP_EVERY: Duration = Duration::from_millis(500);

const TICK: Duration = Duration::from_millis(50);

/// Time after which an attempt without a token is stalled: the first-token target and the silence.
const STALL: Duration = Duration::from_millis(3_500);

/// Tokens after which an attempt's pace is told.
const PACE_TOKENS: u32 = 16;

/// Times at which engines crash, and how long they stay away.
const CRASHES_S: [(u64, usize); 3] = [(15, 5), (57, 2), (90, 9)];
const CRASH: Duration = Duration::from_secs(8);

/// Engine that is slow, and by how much.
const STRAGGLER: usize = 3;
const STRAGGLER_SLOWDOWN: f64 = 4.0;

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decider {
    Router,
    /// The router without word from its peers.
    Alone,
    Naive,
}

impl Decider {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Router => "cranberryvalve",
            Self::Alone => "cranberryvalve, VMs do not tell each other of waiting requests",
            Self::Naive => "naive: round robin, first come first served, no retries",
        }
    }
}

/// An attempt: VM, request and attempt number.
pub(super) type AttemptKey = (usize, RequestId, u32);

enum Vm {
    Router(Box<Router>),
    Naive(NaiveRouter),
}

impl Vm {
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match self {
            Self::Router(router) => router.handle(now, event),
            Self::Naive(naive) => naive.handle(event),
        }
    }
}

enum Happening {
    Arrival(usize),
    FirstToken(AttemptKey),
    Paced(AttemptKey, Duration),
    End(AttemptKey),
    Stall(AttemptKey),
    Report,
    ReportArrives(Vec<LoadReport>),
    Gossip,
    GossipArrives(usize, PressureDigest),
    Crash(usize),
    Tick,
}

struct Live {
    class: usize,
    prefix: u64,
    tokens: u64,
    finished: Finished,
    done: bool,
}

struct World<'a> {
    deployment: &'a Deployment,
    epoch: Instant,
    now: Duration,
    sequence: u64,
    happenings: BTreeMap<(Duration, u64), Happening>,
    vms: Vec<Vm>,
    engines: Vec<FakeEngine>,
    requests: BTreeMap<(usize, RequestId), Live>,
    attempts: BTreeMap<AttemptKey, usize>,
    begun: BTreeSet<AttemptKey>,
    last_id: RequestId,
    has_gossip: bool,
    rng: Pcg64Mcg,
}

/// Runs a deployment and returns a tally for each class.
pub(super) fn run_once(
    deployment: &Deployment,
    decider: Decider,
    seed: u64,
) -> BTreeMap<&'static str, Tally> {
    let mut world = World::new(deployment, decider, seed);
    world.schedule_load();
    while let Some(((at, _), happening)) = world.happenings.pop_first() {
        world.now = at;
        world.step(happening);
    }
    let mut tallies = BTreeMap::<&'static str, Tally>::new();
    for live in world.requests.values() {
        let class = deployment.classes[live.class].id;
        tallies.entry(class).or_default().count(&live.finished);
    }
    tallies
}

impl<'a> World<'a> {
    fn new(deployment: &'a Deployment, decider: Decider, seed: u64) -> Self {
        let epoch = Instant::now() + Duration::from_secs(1_000);
        let config = deployment.config();
        let vms = (0..deployment.vms).map(|number| match decider {
            Decider::Router | Decider::Alone => {
                let settings = RouterSettings::new(format!("vm-{number}").into(), seed);
                Vm::Router(Box::new(Router::new(settings, config.clone(), epoch)))
            }
            Decider::Naive => Vm::Naive(NaiveRouter::new(deployment.engines, number * 5)),
        });
        let engines = (0..deployment.engines).map(|number| {
            let slowdown = if number == STRAGGLER { STRAGGLER_SLOWDOWN } else { 1.0 };
            FakeEngine::new(deployment.slots as usize, slowdown, decider != Decider::Naive)
        });
        Self {
            deployment,
            epoch,
            now: Duration::ZERO,
            sequence: 0,
            happenings: BTreeMap::new(),
            vms: vms.collect(),
            engines: engines.collect(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            begun: BTreeSet::new(),
            last_id: 0,
            has_gossip: decider == Decider::Router,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.happenings.insert((at, self.sequence), happening);
    }

    fn schedule_load(&mut self) {
        for (index, class) in self.deployment.classes.iter().enumerate() {
            let mut at = Duration::ZERO;
            while at < LOAD {
                let uniform: f64 = self.rng.random_range(1e-9..1.0);
                at += Duration::from_secs_f64(-uniform.ln() / rate_at(class, at));
                self.schedule(at, Happening::Arrival(index));
            }
        }
        for (at_s, engine) in CRASHES_S {
            self.schedule(Duration::from_secs(at_s), Happening::Crash(engine));
        }
        self.schedule(Duration::ZERO, Happening::Tick);
        self.schedule(Duration::ZERO, Happening::Report);
        if self.has_gossip {
            self.schedule(Duration::ZERO, Happening::Gossip);
        }
    }

    fn step(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival(class) => self.arrive(class),
            Happening::FirstToken(key) => self.first_token(key),
            Happening::Paced(key, token_interval) => self.paced(key, token_interval),
            Happening::End(key) => self.end(key),
            Happening::Stall(key) => self.stall(key),
            Happening::Report => self.report(),
            Happening::ReportArrives(reports) => self.report_arrives(&reports),
            Happening::Gossip => self.gossip(),
            Happening::GossipArrives(vm, digest) => self.tell(vm, Event::PeerPressure(digest)),
            Happening::Crash(engine) => self.crash(engine),
            Happening::Tick => {
                for vm in 0..self.vms.len() {
                    self.tell(vm, Event::Tick);
                }
                self.again(TICK, Happening::Tick);
            }
        }
    }

    /// Repeats something for as long as requests are under way.
    fn again(&mut self, pause: Duration, happening: Happening) {
        let is_busy = self.now < LOAD || self.requests.values().any(|it| !it.done);
        if is_busy {
            self.schedule(self.now + pause, happening);
        }
    }

    fn arrive(&mut self, class: usize) {
        self.last_id += 1;
        let id = self.last_id;
        let vm = self.rng.random_range(0..self.vms.len());
        let load = self.deployment.classes[class];
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let tokens = (1.0 - uniform.ln() * load.mean_tokens) as u64;
        let prefix = u64::from(load.tier) * 1_000 + self.rng.random_range(0..load.prefixes);
        let customer = format!("customer-{}", self.rng.random_range(0..10));
        let finished = Finished {
            outcome: Outcome::Unknown,
            arrived_at: self.now,
            first_token_at: None,
            ended_at: self.now,
            delivered: 0,
            wasted: 0,
        };
        self.requests.insert((vm, id), Live { class, prefix, tokens, finished, done: false });
        let request = Request::new(id, load.id.into(), customer.into(), "harbour-7b".into());
        self.tell(vm, Event::Arrived(request.prefix_hash(Some(prefix))));
    }

    fn tell(&mut self, vm: usize, event: Event) {
        let now = self.epoch + self.now;
        for action in self.vms[vm].handle(now, event) {
            match action {
                Action::Send(order) => self.send(vm, &order),
                Action::GiveUp(give_up) => self.finish(vm, give_up.id, give_up.outcome),
            }
        }
    }

    fn send(&mut self, vm: usize, order: &SendOrder) {
        let key = (vm, order.id, order.attempt);
        let Some(live) = self.requests.get(&(vm, order.id)) else { return };
        let engine = engine_number(&order.upstream);
        let job = Job {
            key,
            priority: order.priority,
            prefix: live.prefix,
            tokens: live.tokens - live.finished.delivered,
        };
        if self.engines[engine].down_until > self.now {
            let (id, attempt) = (order.id, order.attempt);
            self.tell(vm, Event::Ended { id, attempt, end: AttemptEnd::NotSent });
            return;
        }
        self.attempts.insert(key, engine);
        self.engines[engine].enqueue(job);
        if self.engines[engine].by_priority {
            self.schedule(self.now + STALL, Happening::Stall(key));
        }
        self.start_waiting(engine);
    }

    fn start_waiting(&mut self, engine: usize) {
        for running in self.engines[engine].start_waiting(self.now) {
            let key = running.job.key;
            self.schedule(running.first_token_at, Happening::FirstToken(key));
            let interval = running.token_interval;
            let paced_at = running.first_token_at + interval * PACE_TOKENS;
            self.schedule(paced_at, Happening::Paced(key, interval));
            self.schedule(running.ends_at(), Happening::End(key));
        }
    }

    fn first_token(&mut self, key: AttemptKey) {
        let Some(engine) = self.attempts.get(&key).copied() else { return };
        if !self.engines[engine].runs(key) {
            return;
        }
        self.begun.insert(key);
        let (vm, id, attempt) = key;
        let now = self.now;
        if let Some(live) = self.requests.get_mut(&(vm, id)) {
            live.finished.first_token_at.get_or_insert(now);
        }
        self.tell(vm, Event::FirstToken { id, attempt });
    }

    fn paced(&mut self, key: AttemptKey, token_interval: Duration) {
        let Some(engine) = self.attempts.get(&key).copied() else { return };
        if self.engines[engine].runs(key) {
            let (vm, id, attempt) = key;
            self.tell(vm, Event::Paced { id, attempt, token_interval });
        }
    }

    fn end(&mut self, key: AttemptKey) {
        let Some(engine) = self.attempts.get(&key).copied() else { return };
        let Some(running) = self.engines[engine].remove(key) else { return };
        self.attempts.remove(&key);
        let (vm, id, attempt) = key;
        if let Some(live) = self.requests.get_mut(&(vm, id)) {
            live.finished.delivered = live.tokens;
        }
        self.finish(vm, id, Outcome::Completed);
        let token_interval = Some(running.token_interval);
        self.start_waiting(engine);
        self.tell(vm, Event::Ended { id, attempt, end: AttemptEnd::Complete { token_interval } });
    }

    fn stall(&mut self, key: AttemptKey) {
        let Some(engine) = self.attempts.get(&key).copied() else { return };
        if self.begun.contains(&key) {
            return;
        }
        self.engines[engine].remove(key);
        self.attempts.remove(&key);
        self.start_waiting(engine);
        let (vm, id, attempt) = key;
        self.tell(vm, Event::Ended { id, attempt, end: AttemptEnd::Stalled });
    }

    fn crash(&mut self, engine: usize) {
        let (running, waiting) = self.engines[engine].crash(self.now + CRASH);
        for running in running {
            let (vm, id, attempt) = running.job.key;
            self.attempts.remove(&running.job.key);
            let tokens = running.tokens_by(self.now);
            if let Some(live) = self.requests.get_mut(&(vm, id)) {
                live.finished.delivered += tokens;
            }
            self.tell(vm, Event::Ended { id, attempt, end: AttemptEnd::Broken { tokens } });
        }
        for job in waiting {
            let (vm, id, attempt) = job.key;
            self.attempts.remove(&job.key);
            self.tell(vm, Event::Ended { id, attempt, end: AttemptEnd::Broken { tokens: 0 } });
        }
    }

    fn report(&mut self) {
        let reports = self.engines.iter().map(FakeEngine::load).collect();
        self.schedule(self.now + REPORT_LAG, Happening::ReportArrives(reports));
        self.again(REPORT_EVERY, Happening::Report);
    }

    fn report_arrives(&mut self, reports: &[LoadReport]) {
        for vm in 0..self.vms.len() {
            for (number, report) in reports.iter().enumerate() {
                let upstream = engine_id(number).into();
                let event = if self.engines[number].down_until > self.now {
                    Event::LoadMissing { upstream }
                } else {
                    Event::LoadReported { upstream, report: report.clone() }
                };
                self.tell(vm, event);
            }
        }
    }

    fn gossip(&mut self) {
        let now = self.epoch + self.now;
        for from in 0..self.vms.len() {
            let Vm::Router(router) = &self.vms[from] else { continue };
            let mut digest = router.pressure(now);
            let lag_ms = GOSSIP_LAG.as_millis() as u32;
            digest.entries.iter_mut().for_each(|it| it.age_ms += lag_ms);
            for to in (0..self.vms.len()).filter(|it| *it != from) {
                let arrival = Happening::GossipArrives(to, digest.clone());
                self.schedule(self.now + GOSSIP_LAG, arrival);
            }
        }
        self.again(GOSSIP_EVERY, Happening::Gossip);
    }

    fn finish(&mut self, vm: usize, id: RequestId, outcome: Outcome) {
        let now = self.now;
        if let Some(live) = self.requests.get_mut(&(vm, id))
            && !live.done
        {
            live.done = true;
            live.finished.outcome = outcome;
            live.finished.ended_at = now;
        }
    }
}

fn rate_at(class: &ClassLoad, at: Duration) -> f64 {
    let is_burst = at.as_secs() % BURST_EVERY_S >= BURST_EVERY_S - BURST_S;
    if is_burst { class.burst_per_s } else { class.usual_per_s }
}

fn engine_number(id: &str) -> usize {
    id.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or(0)
}
