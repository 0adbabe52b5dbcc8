//! Discrete-event simulation of one run in virtual time.

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
use cranberryvalve_policy::SendCommand;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::baseline::BaselineRouter;
use super::deployment::ClassLoad;
use super::deployment::Deployment;
use super::deployment::engine_id;
use super::engine::Job;
use super::engine::SimulatedEngine;
use super::tally::RequestResult;
use super::tally::Tally;

/// Time during which requests arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(120);

/// Period of the bursts and the length of a burst, which ends its period.
const BURST_PERIOD_S: u64 = 40;
const BURST_LENGTH_S: u64 = 12;

/// Delay of a load report, and the interval between two of them.
const REPORT_DELAY: Duration = Duration::from_millis(300);
const REPORT_INTERVAL: Duration = Duration::from_millis(600);

/// Delay of a digest from a peer, and the interval between two of them.
const GOSSIP_DELAY: Duration = Duration::from_millis(50);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two ticks of the routers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which an attempt without a token counts as stalled: the first-token target plus the
/// silence limit.
const STALL_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Number of tokens after which the decode pace of an attempt is reported to its VM.
const PACE_SAMPLE_TOKENS: u32 = 16;

/// Time in seconds and engine of each crash, and the downtime after a crash.
const CRASHES_S: [(u64, usize); 3] = [(15, 5), (57, 2), (90, 9)];
const DOWNTIME: Duration = Duration::from_secs(8);

/// Index of the slow engine, and its slowdown factor.
const STRAGGLER: usize = 3;
const STRAGGLER_SLOWDOWN: f64 = 4.0;

/// How requests are routed to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Policy {
    /// The router, whose VMs exchange digests of waiting requests.
    Router,
    /// The router without digests from its peers.
    Uncoordinated,
    /// Round robin over the engines, without a router.
    Baseline,
}

impl Policy {
    /// Returns the name to show above tables.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Router => "cranberryvalve",
            Self::Uncoordinated => "cranberryvalve, VMs do not tell each other of waiting requests",
            Self::Baseline => "naive: round robin, first come first served, no retries",
        }
    }
}

/// Key of an attempt: VM, request and attempt number.
pub(super) type AttemptKey = (usize, RequestId, u32);

enum Vm {
    Router(Box<Router>),
    Baseline(BaselineRouter),
}

impl Vm {
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match self {
            Self::Router(router) => router.handle(now, event),
            Self::Baseline(router) => router.handle(event),
        }
    }
}

/// An event on the simulation's queue.
enum SimEvent {
    /// Arrival of a request of a class, by the index of the class.
    Arrival(usize),
    FirstToken(AttemptKey),
    PaceSample(AttemptKey, Duration),
    End(AttemptKey),
    Stall(AttemptKey),
    Report,
    ReportArrival(Vec<LoadReport>),
    Gossip,
    GossipArrival(usize, PressureDigest),
    Crash(usize),
    Tick,
}

/// A request and its progress.
struct RequestState {
    class: usize,
    prefix: u64,
    tokens: u64,
    result: RequestResult,
    is_done: bool,
}

struct Simulation<'a> {
    deployment: &'a Deployment,
    epoch: Instant,
    now: Duration,
    sequence: u64,
    events: BTreeMap<(Duration, u64), SimEvent>,
    vms: Vec<Vm>,
    engines: Vec<SimulatedEngine>,
    requests: BTreeMap<(usize, RequestId), RequestState>,
    /// Engine of each attempt that is running or waiting.
    attempts: BTreeMap<AttemptKey, usize>,
    /// Attempts that have produced a token.
    started: BTreeSet<AttemptKey>,
    last_id: RequestId,
    has_gossip: bool,
    rng: Pcg64Mcg,
}

/// Simulates a deployment and returns a tally for each class.
pub(super) fn run_once(
    deployment: &Deployment,
    policy: Policy,
    seed: u64,
) -> BTreeMap<&'static str, Tally> {
    let mut simulation = Simulation::new(deployment, policy, seed);
    simulation.schedule_load();
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        simulation.now = at;
        simulation.step(event);
    }
    let mut tallies = BTreeMap::<&'static str, Tally>::new();
    for request in simulation.requests.values() {
        let class = deployment.classes[request.class].id;
        tallies.entry(class).or_default().count(&request.result);
    }
    tallies
}

impl<'a> Simulation<'a> {
    fn new(deployment: &'a Deployment, policy: Policy, seed: u64) -> Self {
        let epoch = Instant::now() + Duration::from_secs(1_000);
        let config = deployment.config();
        let vms = (0..deployment.vms).map(|number| match policy {
            Policy::Router | Policy::Uncoordinated => {
                let settings = RouterSettings::new(format!("vm-{number}").into(), seed);
                Vm::Router(Box::new(Router::new(settings, config.clone(), epoch)))
            }
            Policy::Baseline => Vm::Baseline(BaselineRouter::new(deployment.engines, number * 5)),
        });
        let engines = (0..deployment.engines).map(|number| {
            let slowdown = if number == STRAGGLER { STRAGGLER_SLOWDOWN } else { 1.0 };
            SimulatedEngine::new(deployment.slots as usize, slowdown, policy != Policy::Baseline)
        });
        Self {
            deployment,
            epoch,
            now: Duration::ZERO,
            sequence: 0,
            events: BTreeMap::new(),
            vms: vms.collect(),
            engines: engines.collect(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            started: BTreeSet::new(),
            last_id: 0,
            has_gossip: policy == Policy::Router,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn schedule_load(&mut self) {
        for (index, class) in self.deployment.classes.iter().enumerate() {
            let mut at = Duration::ZERO;
            while at < ARRIVAL_PERIOD {
                let uniform: f64 = self.rng.random_range(1e-9..1.0);
                at += Duration::from_secs_f64(-uniform.ln() / rate_at(class, at));
                self.schedule(at, SimEvent::Arrival(index));
            }
        }
        for (at_s, engine) in CRASHES_S {
            self.schedule(Duration::from_secs(at_s), SimEvent::Crash(engine));
        }
        self.schedule(Duration::ZERO, SimEvent::Tick);
        self.schedule(Duration::ZERO, SimEvent::Report);
        if self.has_gossip {
            self.schedule(Duration::ZERO, SimEvent::Gossip);
        }
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(class) => self.on_arrival(class),
            SimEvent::FirstToken(key) => self.on_first_token(key),
            SimEvent::PaceSample(key, interval) => self.report_pace(key, interval),
            SimEvent::End(key) => self.on_end(key),
            SimEvent::Stall(key) => self.on_stall(key),
            SimEvent::Report => self.send_reports(),
            SimEvent::ReportArrival(reports) => self.deliver_reports(&reports),
            SimEvent::Gossip => self.send_digests(),
            SimEvent::GossipArrival(vm, digest) => self.notify(vm, Event::PeerPressure(digest)),
            SimEvent::Crash(engine) => self.on_crash(engine),
            SimEvent::Tick => {
                for vm in 0..self.vms.len() {
                    self.notify(vm, Event::Tick);
                }
                self.repeat(TICK_INTERVAL, SimEvent::Tick);
            }
        }
    }

    /// Schedules a periodic event again as long as requests arrive or are in progress.
    fn repeat(&mut self, interval: Duration, event: SimEvent) {
        let is_busy = self.now < ARRIVAL_PERIOD || self.requests.values().any(|it| !it.is_done);
        if is_busy {
            self.schedule(self.now + interval, event);
        }
    }

    fn on_arrival(&mut self, class: usize) {
        self.last_id += 1;
        let id = self.last_id;
        let vm = self.rng.random_range(0..self.vms.len());
        let load = self.deployment.classes[class];
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let tokens = (1.0 - uniform.ln() * load.mean_tokens) as u64;
        let prefix = u64::from(load.tier) * 1_000 + self.rng.random_range(0..load.prefixes);
        let customer = format!("customer-{}", self.rng.random_range(0..10));
        let result = RequestResult {
            outcome: Outcome::Unknown,
            arrived_at: self.now,
            first_token_at: None,
            ended_at: self.now,
            delivered: 0,
            wasted: 0,
        };
        self.requests
            .insert((vm, id), RequestState { class, prefix, tokens, result, is_done: false });
        let request = Request::new(id, load.id.into(), customer.into(), "harbour-7b".into());
        self.notify(vm, Event::Arrived(request.prefix_hash(Some(prefix))));
    }

    /// Passes an event to a VM and carries out the actions that it returns.
    fn notify(&mut self, vm: usize, event: Event) {
        let now = self.epoch + self.now;
        for action in self.vms[vm].handle(now, event) {
            match action {
                Action::Send(order) => self.send(vm, &order),
                Action::Conclude(conclusion) => self.finish(vm, conclusion.id, conclusion.outcome),
            }
        }
    }

    fn send(&mut self, vm: usize, order: &SendCommand) {
        let key = (vm, order.id, order.attempt);
        let Some(request) = self.requests.get(&(vm, order.id)) else { return };
        let engine = engine_number(&order.upstream);
        let job = Job {
            key,
            priority: order.priority,
            prefix: request.prefix,
            tokens: request.tokens - request.result.delivered,
        };
        if self.engines[engine].down_until > self.now {
            let (id, attempt) = (order.id, order.attempt);
            self.notify(vm, Event::Ended { id, attempt, end: AttemptEnd::NotSent });
            return;
        }
        self.attempts.insert(key, engine);
        self.engines[engine].enqueue(job);
        if self.engines[engine].by_priority {
            self.schedule(self.now + STALL_TIMEOUT, SimEvent::Stall(key));
        }
        self.start_waiting(engine);
    }

    fn start_waiting(&mut self, engine: usize) {
        for running in self.engines[engine].start_waiting(self.now) {
            let key = running.job.key;
            self.schedule(running.first_token_at, SimEvent::FirstToken(key));
            let interval = running.token_interval;
            let paced_at = running.first_token_at + interval * PACE_SAMPLE_TOKENS;
            self.schedule(paced_at, SimEvent::PaceSample(key, interval));
            self.schedule(running.ends_at(), SimEvent::End(key));
        }
    }

    fn on_first_token(&mut self, key: AttemptKey) {
        let Some(engine) = self.attempts.get(&key).copied() else { return };
        if !self.engines[engine].is_running(key) {
            return;
        }
        self.started.insert(key);
        let (vm, id, attempt) = key;
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&(vm, id)) {
            request.result.first_token_at.get_or_insert(now);
        }
        self.notify(vm, Event::ResponseStarted { id, attempt });
    }

    fn report_pace(&mut self, key: AttemptKey, token_interval: Duration) {
        let Some(engine) = self.attempts.get(&key).copied() else { return };
        if self.engines[engine].is_running(key) {
            let (vm, id, attempt) = key;
            self.notify(vm, Event::TokenIntervalMeasured { id, attempt, token_interval });
        }
    }

    fn on_end(&mut self, key: AttemptKey) {
        let Some(engine) = self.attempts.get(&key).copied() else { return };
        let Some(running) = self.engines[engine].remove(key) else { return };
        self.attempts.remove(&key);
        let (vm, id, attempt) = key;
        if let Some(request) = self.requests.get_mut(&(vm, id)) {
            request.result.delivered = request.tokens;
        }
        self.finish(vm, id, Outcome::Completed);
        let token_interval = Some(running.token_interval);
        self.start_waiting(engine);
        self.notify(vm, Event::Ended { id, attempt, end: AttemptEnd::Complete { token_interval } });
    }

    fn on_stall(&mut self, key: AttemptKey) {
        let Some(engine) = self.attempts.get(&key).copied() else { return };
        if self.started.contains(&key) {
            return;
        }
        self.engines[engine].remove(key);
        self.attempts.remove(&key);
        self.start_waiting(engine);
        let (vm, id, attempt) = key;
        self.notify(vm, Event::Ended { id, attempt, end: AttemptEnd::TimedOut });
    }

    fn on_crash(&mut self, engine: usize) {
        let (running, waiting) = self.engines[engine].crash(self.now + DOWNTIME);
        for running in running {
            let (vm, id, attempt) = running.job.key;
            self.attempts.remove(&running.job.key);
            let tokens = running.tokens_by(self.now);
            if let Some(request) = self.requests.get_mut(&(vm, id)) {
                request.result.delivered += tokens;
            }
            self.notify(vm, Event::Ended { id, attempt, end: AttemptEnd::Interrupted { tokens } });
        }
        for job in waiting {
            let (vm, id, attempt) = job.key;
            self.attempts.remove(&job.key);
            self.notify(
                vm,
                Event::Ended { id, attempt, end: AttemptEnd::Interrupted { tokens: 0 } },
            );
        }
    }

    fn send_reports(&mut self) {
        let reports = self.engines.iter().map(SimulatedEngine::load).collect();
        self.schedule(self.now + REPORT_DELAY, SimEvent::ReportArrival(reports));
        self.repeat(REPORT_INTERVAL, SimEvent::Report);
    }

    fn deliver_reports(&mut self, reports: &[LoadReport]) {
        for vm in 0..self.vms.len() {
            for (number, report) in reports.iter().enumerate() {
                let upstream = engine_id(number).into();
                let event = if self.engines[number].down_until > self.now {
                    Event::LoadReportFailed { upstream }
                } else {
                    Event::LoadReported { upstream, report: report.clone() }
                };
                self.notify(vm, event);
            }
        }
    }

    fn send_digests(&mut self) {
        let now = self.epoch + self.now;
        for from in 0..self.vms.len() {
            let Vm::Router(router) = &self.vms[from] else { continue };
            let mut digest = router.pressure(now);
            let delay_ms = GOSSIP_DELAY.as_millis() as u32;
            digest.entries.iter_mut().for_each(|it| it.age_ms += delay_ms);
            for to in (0..self.vms.len()).filter(|it| *it != from) {
                let arrival = SimEvent::GossipArrival(to, digest.clone());
                self.schedule(self.now + GOSSIP_DELAY, arrival);
            }
        }
        self.repeat(GOSSIP_INTERVAL, SimEvent::Gossip);
    }

    /// Records the outcome of a request, unless it already has one.
    fn finish(&mut self, vm: usize, id: RequestId, outcome: Outcome) {
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&(vm, id))
            && !request.is_done
        {
            request.is_done = true;
            request.result.outcome = outcome;
            request.result.ended_at = now;
        }
    }
}

/// Returns the arrival rate of a class at `at`, in requests per second.
fn rate_at(class: &ClassLoad, at: Duration) -> f64 {
    let is_in_burst = at.as_secs() % BURST_PERIOD_S >= BURST_PERIOD_S - BURST_LENGTH_S;
    if is_in_burst { class.burst_per_s } else { class.base_per_s }
}

/// Returns the number of an engine from its id.
fn engine_number(id: &str) -> usize {
    id.rsplit('-').next().and_then(|it| it.parse().ok()).unwrap_or(0)
}
