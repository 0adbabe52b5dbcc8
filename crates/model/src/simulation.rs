//! Discrete-event simulation of a run in virtual time.

mod deployment;
mod engines;
mod peers;
mod traffic;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::VmId;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerEvent;

use crate::engine::Engine;
use crate::engine::Output;
use crate::fleet::Fleet;
use crate::fleet::PlacementPolicy;
use crate::load::Load;
use crate::load::Traffic;
use crate::report::Report;
use crate::vm::SendCommand;
use crate::vm::Vm;
use crate::vm::VmAction;
use deployment::load_coordinator;
use deployment::records;
use deployment::route;
use deployment::table;
use deployment::vm;
use deployment::vm_name;
use traffic::requests;

/// Name of the pool that holds all engines.
const POOL: &str = "engines";

/// One-way network delay between a VM and an engine.
const NETWORK_DELAY: Duration = Duration::from_micros(500);

/// Interval between two ticks of a scheduler with waiting calls.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two reports of a VM's load to the load coordinators.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time until an engine that is down refuses a connection.
const CONNECTION_REFUSED_DELAY: Duration = Duration::from_millis(1);

/// Simulates `load` on `fleet` and returns the results; the same `seed` gives the same results.
pub fn simulate(fleet: &Fleet, load: &Load, policy: PlacementPolicy, seed: u64) -> Report {
    let mut simulation = Simulation::new(fleet, load, policy, seed);
    simulation.run();
    simulation.report()
}

/// An event on the simulation's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival { request: usize },
    EngineArrival(SendCommand),
    ConnectionRefused { request: usize, attempt: Attempt },
    StepEnd { engine: usize, number: u64 },
    Deadline { request: usize },
    Tick,
    LoadReport,
    Crash { index: usize },
    Restart { index: usize },
}

/// A request and its progress.
#[derive(Debug)]
struct Request {
    kind: usize,
    vm: usize,
    arrived: Duration,
    prompt: Prompt,
    /// Length of the response in tokens.
    tokens: u32,
    /// Number of the latest attempt; 0 before the first.
    attempt: Attempt,
    /// Engine that the latest attempt was sent to; `None` once that attempt failed.
    engine: Option<usize>,
    first_event: Option<Duration>,
    last_event: Option<Duration>,
    longest_gap: Duration,
    gaps: Vec<Duration>,
    outcome: Option<Outcome>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Complete,
    Refused,
    Failed,
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    load: &'a Load,
    policy: PlacementPolicy,
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    sequence: u64,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    /// Outputs of each engine's current step; `None` while the engine is idle.
    steps: Vec<Option<Vec<Output>>>,
    /// Number of each engine's current step, by which the end of a step that a crash interrupted is
    /// ignored.
    step_numbers: Vec<u64>,
    requests: Vec<Request>,
    routes: Vec<Arc<RouteRule>>,
    /// Load coordinator of each engine.
    load_coordinators: Vec<usize>,
    messages: u64,
    cross_domain_bytes: u64,
    retries: u32,
    /// Time of the last use of each prefix at any engine.
    last_use: HashMap<u64, Duration>,
    recomputed_tokens: u64,
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, load: &'a Load, policy: PlacementPolicy, seed: u64) -> Self {
        let start = Instant::now();
        let routes: Vec<Arc<RouteRule>> =
            load.traffic.iter().map(|it| Arc::new(route(it))).collect();
        let records = records(fleet);
        let table = Arc::new(table(fleet, &routes));
        let vms = (0..fleet.vms).map(|number| vm(fleet, policy, number, &table, &records, start));
        let slowdown = |it: usize| fleet.slowdowns[it % fleet.slowdowns.len()];
        let names: Vec<VmId> = (0..fleet.vms).map(vm_name).collect();
        let load_coordinators =
            records.iter().map(|record| load_coordinator(fleet, record, &names)).collect();
        let engines = (0..fleet.engines).map(|it| Engine::new(slowdown(it), fleet.memory_tokens));
        let mut simulation = Self {
            fleet,
            load,
            policy,
            start,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            vms: vms.collect(),
            engines: engines.collect(),
            steps: vec![None; fleet.engines],
            step_numbers: vec![0; fleet.engines],
            requests: requests(fleet, load, seed),
            routes,
            load_coordinators,
            messages: 0,
            cross_domain_bytes: 0,
            retries: 0,
            last_use: HashMap::new(),
            recomputed_tokens: 0,
        };
        simulation.schedule_all();
        simulation
    }

    fn schedule_all(&mut self) {
        for request in 0..self.requests.len() {
            let at = self.requests[request].arrived;
            let deadline = self.load.traffic[self.requests[request].kind].deadline;
            self.schedule(at, SimEvent::Arrival { request });
            self.schedule(at + deadline, SimEvent::Deadline { request });
        }
        for (index, crash) in self.fleet.crashes.iter().enumerate() {
            self.schedule(crash.at, SimEvent::Crash { index });
            self.schedule(crash.at + crash.downtime, SimEvent::Restart { index });
        }
        self.schedule(TICK_INTERVAL, SimEvent::Tick);
        self.schedule(REPORT_INTERVAL, SimEvent::LoadReport);
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(&mut self) {
        let longest_deadline =
            self.load.traffic.iter().map(|it| it.deadline).max().unwrap_or_default();
        let end = self.load.duration + longest_deadline;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival { request } => self.on_arrival(request),
            SimEvent::EngineArrival(order) => self.on_engine_arrival(order),
            SimEvent::ConnectionRefused { request, attempt } => {
                self.end_attempt(request, attempt, AttemptEnd::NotSent);
            }
            SimEvent::StepEnd { engine, number } => {
                if self.step_numbers[engine] == number {
                    self.on_step_end(engine);
                }
            }
            SimEvent::Deadline { request } => self.on_deadline(request),
            SimEvent::Tick => self.on_tick(),
            SimEvent::LoadReport => self.on_report(),
            SimEvent::Crash { index } => self.on_crash(index),
            SimEvent::Restart { index } => {
                self.engines[self.fleet.crashes[index].engine].is_down = false;
            }
        }
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn on_arrival(&mut self, request: usize) {
        let call = self.call(request);
        let vm = self.requests[request].vm;
        if self.policy == PlacementPolicy::Coordinated {
            self.request_loads(vm, &call);
        }
        let now = self.instant();
        let actions = self.vms[vm].on_arrival(now, call);
        self.carry_out(actions);
    }

    fn call(&self, number: usize) -> Call {
        let request = &self.requests[number];
        let traffic = &self.load.traffic[request.kind];
        let arrived_at = self.start + request.arrived;
        Call {
            id: number as RequestId,
            route: self.routes[request.kind].clone(),
            pool: POOL.into(),
            customer: None,
            tier: traffic.tier,
            arrived_at,
            deadline: arrived_at + traffic.deadline,
            prompt: Some(request.prompt.clone()),
            max_attempts: self.routes[request.kind].max_attempts,
            body_bytes: traffic.body_bytes,
            software_version: None,
        }
    }

    fn carry_out(&mut self, actions: Vec<VmAction>) {
        for action in actions {
            match action {
                VmAction::Send(order) => self.send(order),
                VmAction::Conclude { id } => {
                    let request = &mut self.requests[id as usize];
                    let has_started = request.first_event.is_some();
                    let outcome = if has_started { Outcome::Failed } else { Outcome::Refused };
                    request.outcome.get_or_insert(outcome);
                }
            }
        }
    }

    fn send(&mut self, order: SendCommand) {
        let (number, attempt, engine) = (order.id as usize, order.attempt, order.engine);
        let request = &mut self.requests[number];
        request.attempt = attempt;
        let vm = request.vm;
        let kind = request.kind;
        self.retries += u32::from(attempt > 1);
        let domains = self.fleet.failure_domains;
        if vm % domains != engine % domains {
            self.cross_domain_bytes += self.load.traffic[kind].body_bytes as u64;
        }
        if self.engines[engine].is_down {
            let at = self.now + CONNECTION_REFUSED_DELAY;
            self.schedule(at, SimEvent::ConnectionRefused { request: number, attempt });
            return;
        }
        self.requests[number].engine = Some(engine);
        let at = self.now + NETWORK_DELAY;
        self.schedule(at, SimEvent::EngineArrival(order));
        self.report_loads(vm, Some(engine));
    }

    fn on_deadline(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.outcome.is_some() {
            return;
        }
        request.outcome = Some(Outcome::Failed);
        let (vm, engine) = (request.vm, request.engine);
        if let Some(engine) = engine {
            self.engines[engine].cancel(number);
        }
        let now = self.instant();
        let actions = self.vms[vm].on_disconnect(now, number as RequestId);
        self.carry_out(actions);
    }

    fn on_tick(&mut self) {
        let now = self.instant();
        for vm in 0..self.vms.len() {
            if self.vms[vm].scheduler().is_some_and(Scheduler::has_queued_calls) {
                let actions = self.vms[vm].handle(now, SchedulerEvent::Tick);
                self.carry_out(actions);
            }
        }
        self.schedule(self.now + TICK_INTERVAL, SimEvent::Tick);
    }

    fn on_report(&mut self) {
        (0..self.vms.len()).for_each(|it| self.report_loads(it, None));
        (0..self.vms.len()).for_each(|it| self.share_paces(it));
        self.schedule(self.now + REPORT_INTERVAL, SimEvent::LoadReport);
    }

    fn on_crash(&mut self, index: usize) {
        let engine = self.fleet.crashes[index].engine;
        self.steps[engine] = None;
        self.step_numbers[engine] += 1;
        for number in self.engines[engine].crash() {
            let attempt = self.requests[number].attempt;
            self.end_attempt(number, attempt, AttemptEnd::Interrupted);
        }
    }

    fn report(self) -> Report {
        let mut report = Report {
            prefilled_tokens: self.engines.iter().map(|it| it.prefilled_tokens).sum(),
            cached_tokens: self.engines.iter().map(|it| it.cached_tokens).sum(),
            cross_domain_bytes: self.cross_domain_bytes,
            messages: self.messages,
            retries: self.retries,
            recomputed_tokens: self.recomputed_tokens,
            fetched_tokens: self.engines.iter().map(|it| it.fetched_tokens).sum(),
            ..Report::default()
        };
        for (kind, traffic) in self.load.traffic.iter().enumerate() {
            let of_kind: Vec<&Request> =
                self.requests.iter().filter(|it| it.kind == kind).collect();
            let mut sizes: Vec<u32> = of_kind.iter().map(|it| it.prompt.input_tokens).collect();
            sizes.sort_unstable();
            let large_from = sizes.get(sizes.len() * 9 / 10).copied().unwrap_or(u32::MAX);
            let tally = report.kinds.entry(traffic.name).or_default();
            for request in of_kind {
                count(tally, traffic, request, large_from);
            }
        }
        report
    }
}

/// Adds a request to the tally; prompts of `large_from` tokens or more count among the largest.
fn count(tally: &mut crate::report::Tally, traffic: &Traffic, request: &Request, large_from: u32) {
    tally.requests += 1;
    let wait = request.first_event.map(|it| it - request.arrived);
    tally.longest_wait = tally.longest_wait.max(wait.unwrap_or_default());
    let is_on_time = wait.is_some_and(|it| it <= traffic.first_event_target)
        && request.longest_gap <= traffic.event_gap_target;
    match request.outcome {
        Some(Outcome::Complete) if is_on_time => tally.on_time += 1,
        Some(Outcome::Complete) => tally.late += 1,
        Some(Outcome::Refused) => tally.refused += 1,
        Some(Outcome::Failed) | None => tally.failed += 1,
    }
    if request.prompt.input_tokens >= large_from {
        tally.largest.0 += 1;
        tally.largest.1 += u32::from(request.outcome == Some(Outcome::Complete));
    }
}
