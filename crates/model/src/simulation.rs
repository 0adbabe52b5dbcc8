//! Discrete-event simulation of a run in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::home::coordinator_of;
use cranberryvalve_core::Attempt;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::VmId;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::EngineSpec;
use cranberryvalve_core::table::PoolSpec;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_core::table::WeightedPool;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::PromptPart;
use cranberryvalve_policy::scheduler::ReportedLoad;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::baseline::BaselinePlacement;
use crate::engine::Engine;
use crate::engine::Job;
use crate::engine::Output;
use crate::engine::SLOTS;
use crate::fleet::Fleet;
use crate::fleet::PlacementPolicy;
use crate::load::Load;
use crate::load::Traffic;
use crate::report::Report;
use crate::vm::SendCommand;
use crate::vm::Vm;
use crate::vm::VmAction;
use crate::vm::engine_index;

/// Name of the pool that holds all engines.
const POOL: &str = "engines";

/// One-way network delay between a VM and an engine.
const NETWORK_DELAY: Duration = Duration::from_micros(500);

/// Interval between two ticks of a scheduler with waiting calls.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two reports of a VM's load to the load coordinators.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of decode paces in one message between VMs.
const MAX_PACES_PER_MESSAGE: usize = 24;

/// Time until an engine that is down refuses a connection.
const CONNECTION_REFUSED_DELAY: Duration = Duration::from_millis(1);

/// Time since a prefix was last used within which another prefill of it counts as recomputation.
const RECOMPUTE_WINDOW: Duration = Duration::from_secs(8);

/// Minimum number of gaps between events for a stream to give a sample of its engine's decode pace.
const MIN_PACE_GAPS: usize = 8;

/// Number of tokens in one event of a stream.
const TOKENS_PER_EVENT: f64 = 4.0;

/// Standard deviation of the natural logarithm of prompt and response sizes.
const SIZE_LOG_DEVIATION: f64 = 0.8;

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
            body_bytes: traffic.body_bytes,
        }
    }

    /// A VM requests the other VMs' load at the likely engines from the load coordinators.
    fn request_loads(&mut self, vm: usize, call: &Call) {
        let now = self.instant();
        let Some(scheduler) = self.vms[vm].scheduler() else { return };
        let candidates = scheduler.load_query_candidates(now, call);
        let name = vm_name(vm);
        let mut loads = Vec::new();
        for record in candidates {
            let coordinator = self.load_coordinators[engine_index(&record)];
            if let Some(scheduler) = self.vms[coordinator].scheduler().filter(|_| coordinator != vm)
            {
                loads.extend(scheduler.loads_excluding(now, &name, &[record.id]));
                self.messages += 2;
            }
        }
        self.vms[vm].handle(now, SchedulerEvent::CoordinatorLoads(loads));
    }

    /// A VM reports its load, at all engines or at `only` one, to the load coordinators.
    fn report_loads(&mut self, vm: usize, only: Option<usize>) {
        let now = self.instant();
        let Some(scheduler) = self.vms[vm].scheduler() else { return };
        if self.policy != PlacementPolicy::Coordinated {
            return;
        }
        for load in scheduler.loads_for_peers() {
            let engine = engine_index_of(&load.upstream);
            let coordinator = self.load_coordinators[engine];
            if coordinator != vm && only.is_none_or(|it| it == engine) {
                self.messages += 1;
                let event = SchedulerEvent::PeerLoads { vm: vm_name(vm), loads: vec![load] };
                self.vms[coordinator].handle(now, event);
            }
        }
    }

    /// A VM sends decode paces that are new to it to its neighbours: as in the relay, these are the
    /// VMs at distances of powers of two on the ring of VMs.
    fn share_paces(&mut self, vm: usize) {
        let now = self.instant();
        let Vm::Scheduler(scheduler) = &mut self.vms[vm] else { return };
        let paces = scheduler.take_pace_updates(MAX_PACES_PER_MESSAGE);
        if self.policy != PlacementPolicy::Coordinated || paces.is_empty() {
            return;
        }
        let distances = (0..).map(|it| 1 << it).take_while(|it| *it < self.fleet.vms);
        let neighbours: Vec<usize> = distances.map(|it| (vm + it) % self.fleet.vms).collect();
        for neighbour in neighbours {
            self.messages += 1;
            self.vms[neighbour].handle(now, SchedulerEvent::PeerPaces(paces.clone()));
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

    fn on_engine_arrival(&mut self, order: SendCommand) {
        let (number, attempt, engine) = (order.id as usize, order.attempt, order.engine);
        let request = &self.requests[number];
        if request.outcome.is_some() || request.attempt != attempt {
            return;
        }
        let tier = self.load.traffic[request.kind].tier;
        let can_fetch = self.fleet.has_remote_cache_fetch;
        let source = order.prefix_source.filter(|it| can_fetch && !self.engines[*it].is_down);
        let fetchable_prefixes =
            source.map_or(0, |it| self.engines[it].cached_prefixes(&request.prompt));
        let prompt = request.prompt.clone();
        let job = Job { number, tier, prompt, tokens: request.tokens, fetchable_prefixes };
        if self.engines[engine].is_down || !self.engines[engine].accept(job) {
            self.end_attempt(number, attempt, AttemptEnd::Refused { misdirected: false });
            return;
        }
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        if self.steps[engine].is_some() || self.engines[engine].is_idle() {
            return;
        }
        let (time, outputs) = self.engines[engine].step();
        self.count_recomputed(engine);
        self.steps[engine] = Some(outputs);
        self.step_numbers[engine] += 1;
        let number = self.step_numbers[engine];
        self.schedule(self.now + time, SimEvent::StepEnd { engine, number });
    }

    /// Counts the tokens of prefixes that are prefilled although some engine used them recently.
    fn count_recomputed(&mut self, engine: usize) {
        for prefix in std::mem::take(&mut self.engines[engine].prefix_uses) {
            let last = self.last_use.insert(prefix.hash, self.now);
            let is_recent = last.is_some_and(|it| self.now - it < RECOMPUTE_WINDOW);
            if !prefix.is_hit && is_recent {
                self.recomputed_tokens += u64::from(prefix.tokens);
            }
        }
    }

    fn on_step_end(&mut self, engine: usize) {
        let outputs = self.steps[engine].take().unwrap_or_default();
        for output in outputs {
            match output {
                Output::Event(number) => self.on_event(number, engine),
                Output::Complete(number) => self.on_complete(number, engine),
            }
        }
        self.start_step(engine);
    }

    fn on_event(&mut self, number: usize, engine: usize) {
        let now = self.now;
        let request = &mut self.requests[number];
        if request.outcome.is_some() {
            return;
        }
        if let Some(last) = request.last_event.replace(now) {
            request.longest_gap = request.longest_gap.max(now - last);
            request.gaps.push(now - last);
        }
        if request.first_event.is_none() {
            request.first_event = Some(now);
            let (vm, attempt) = (request.vm, request.attempt);
            let instant = self.instant();
            let actions = self.vms[vm].on_first_event(instant, number as RequestId, attempt);
            self.report_loads(vm, Some(engine));
            self.carry_out(actions);
        }
    }

    fn on_complete(&mut self, number: usize, engine: usize) {
        let request = &mut self.requests[number];
        if request.outcome.is_some() {
            return;
        }
        request.outcome = Some(Outcome::Complete);
        let (vm, attempt) = (request.vm, request.attempt);
        let now = self.start + self.now;
        let gaps = &mut request.gaps;
        if gaps.len() >= MIN_PACE_GAPS {
            let median = gaps.len() / 2;
            let event_gap = *gaps.select_nth_unstable(median).1;
            let paced = SchedulerEvent::StreamMeasured { upstream: engine_name(engine), event_gap };
            self.vms[vm].handle(now, paced);
        }
        let (running, waiting) = self.engines[engine].load();
        let load =
            ReportedLoad { running: running as u32, waiting: waiting as u32, slots: SLOTS as u32 };
        let report = SchedulerEvent::LoadReported { upstream: engine_name(engine), load };
        self.vms[vm].handle(now, report);
        let actions =
            self.vms[vm].on_attempt_end(now, number as RequestId, attempt, AttemptEnd::Complete);
        self.carry_out(actions);
    }

    fn end_attempt(&mut self, number: usize, attempt: Attempt, end: AttemptEnd) {
        let request = &mut self.requests[number];
        if request.outcome.is_some() || request.attempt != attempt {
            return;
        }
        request.engine = None;
        let vm = request.vm;
        let now = self.instant();
        let actions = self.vms[vm].on_attempt_end(now, number as RequestId, attempt, end);
        self.carry_out(actions);
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

fn vm_name(number: usize) -> VmId {
    format!("vm-{number}").into()
}

fn domain_name(fleet: &Fleet, number: usize) -> Arc<str> {
    format!("domain-{}", number % fleet.failure_domains).into()
}

fn engine_name(number: usize) -> UpstreamId {
    format!("engine-{number}").into()
}

/// Returns the index of the engine with this name.
fn engine_index_of(name: &str) -> usize {
    name.trim_start_matches("engine-").parse().unwrap_or(0)
}

/// Returns the directory records of the engines; the port of an address is the engine's index.
fn records(fleet: &Fleet) -> Vec<UpstreamRecord> {
    let record = |number: usize| UpstreamRecord {
        id: engine_name(number),
        pool: POOL.into(),
        address: ([127, 0, 0, 1], number as u16).into(),
        failure_domain: domain_name(fleet, number),
        slots: SLOTS as u32,
        is_leaving: false,
        incarnation: 1,
    };
    (0..fleet.engines).map(record).collect()
}

/// Returns the number of the VM that coordinates the load of an engine, one of its failure domain.
fn load_coordinator(fleet: &Fleet, record: &UpstreamRecord, names: &[VmId]) -> usize {
    let local = names.iter().enumerate();
    let local = local.filter(|(number, _)| domain_name(fleet, *number) == record.failure_domain);
    let local: Vec<VmId> = local.map(|(_, name)| name.clone()).collect();
    let coordinator = coordinator_of(&record.id, &local);
    names.iter().position(|it| Some(it) == coordinator).unwrap_or(0)
}

fn route(traffic: &Traffic) -> RouteRule {
    RouteRule {
        id: traffic.name.into(),
        host: "model.example".into(),
        prefix: "/".into(),
        kind: CallKind::Stream,
        timeout: traffic.deadline,
        latency_target: traffic.first_event_target,
        event_gap_target: Some(traffic.event_gap_target),
        priority: traffic.tier,
        max_attempts: 2,
        is_public: true,
        pools: vec![WeightedPool { pool: POOL.into(), weight: 1 }],
    }
}

fn table(fleet: &Fleet, routes: &[Arc<RouteRule>]) -> RoutingTable {
    let engine = EngineSpec { slots: SLOTS as u32, memory_tokens: fleet.memory_tokens };
    let pool = PoolSpec { id: POOL.into(), max_connections: 4_000, engine: Some(engine) };
    let routes = routes.iter().map(|it| (**it).clone()).collect();
    RoutingTable::new(1, routes, vec![pool], Vec::new(), CallerLimits::default())
}

fn vm(
    fleet: &Fleet,
    policy: PlacementPolicy,
    number: usize,
    table: &Arc<RoutingTable>,
    records: &[UpstreamRecord],
    start: Instant,
) -> Vm {
    if policy == PlacementPolicy::Baseline {
        return Vm::Baseline(BaselinePlacement::new(fleet.engines, number));
    }
    let settings = SchedulerSettings {
        failure_domain: Some(domain_name(fleet, number)),
        ..SchedulerSettings::default()
    };
    let mut scheduler = Scheduler::new(settings);
    scheduler.set_table(table.clone());
    scheduler.handle(start, SchedulerEvent::DirectoryChanged(records.to_vec()));
    scheduler.handle(start, SchedulerEvent::VmCountChanged(fleet.vms as u32));
    Vm::Scheduler(Box::new(scheduler))
}

/// Draws the requests of a run at random, with Poisson arrivals of each kind of traffic.
fn requests(fleet: &Fleet, load: &Load, seed: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut parents = HashMap::new();
    for (kind, traffic) in load.traffic.iter().enumerate() {
        let mut at = Duration::ZERO;
        loop {
            let rate =
                traffic.requests_per_s * load.rate_factor(traffic.name, at).max(f64::MIN_POSITIVE);
            let uniform: f64 = rng.random();
            at += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if at >= load.duration {
                break;
            }
            let number = requests.len();
            requests.push(Request {
                kind,
                vm: rng.random_range(0..fleet.vms),
                arrived: at,
                prompt: prompt(
                    traffic,
                    kind,
                    number,
                    load.hot_prefix_share,
                    &mut rng,
                    &mut parents,
                ),
                tokens: (draw_size(&mut rng, traffic.mean_events) * TOKENS_PER_EVENT).max(1.0)
                    as u32,
                attempt: 0,
                engine: None,
                first_event: None,
                last_event: None,
                longest_gap: Duration::ZERO,
                gaps: Vec::new(),
                outcome: None,
            });
        }
    }
    requests
}

/// Draws a prompt at random. A shared part always follows the same variant of the part before it,
/// its parent, so that equal parts have equal prefixes.
fn prompt(
    traffic: &Traffic,
    kind: usize,
    number: usize,
    hot_prefix_share: f64,
    rng: &mut Pcg64Mcg,
    parents: &mut HashMap<(usize, usize, u64), u64>,
) -> Prompt {
    let mut variants = Vec::new();
    // Nothing is drawn without a hot prefix, which keeps the random sequence of those loads.
    let is_hot = hot_prefix_share > 0.0 && rng.random_bool(hot_prefix_share);
    for (level, shared) in traffic.shared_parts.iter().enumerate().rev() {
        let drawn = if is_hot { 0 } else { rng.random_range(0..shared.variants) };
        let variant = match variants.last() {
            None => drawn,
            Some(child) => *parents.entry((kind, level, *child)).or_insert(drawn),
        };
        variants.push(variant);
    }
    variants.reverse();
    let shared = traffic.shared_parts.iter().zip(&variants).enumerate();
    let mut parts: Vec<PromptPart> = shared
        .map(|(level, (part, variant))| PromptPart {
            id: (kind as u64 + 1) << 48 | (level as u64 + 1) << 40 | variant,
            tokens: part.tokens,
        })
        .collect();
    let unique_tokens = draw_size(rng, traffic.mean_unique_tokens).max(1.0) as u32;
    parts.push(PromptPart { id: u64::MAX - number as u64, tokens: unique_tokens });
    let input_tokens = parts.iter().map(|it| it.tokens).sum();
    Prompt { input_tokens, output_tokens: 0, parts }
}

/// Draws a size from a log-normal distribution with this mean, by the transform of Box and Muller
/// (1958).
fn draw_size(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIZE_LOG_DEVIATION * normal - SIZE_LOG_DEVIATION * SIZE_LOG_DEVIATION / 2.0).exp()
}
