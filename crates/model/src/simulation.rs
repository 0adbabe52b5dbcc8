//! A run in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::home::home_of;
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
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::PromptPart;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::SendEnd;
use cranberryvalve_policy::scheduler::ToldLoad;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::engine::Engine;
use crate::engine::Job;
use crate::engine::Output;
use crate::engine::SLOTS;
use crate::fleet::Decider;
use crate::fleet::Fleet;
use crate::load::Load;
use crate::load::Traffic;
use crate::plain::PlainPlacement;
use crate::report::Report;
use crate::vm::Send;
use crate::vm::Vm;
use crate::vm::Wish;
use crate::vm::engine_number;

/// Pool of all engines.
const POOL: &str = "engines";

/// Time from a VM to an engine, and back.
const WAY: Duration = Duration::from_micros(500);

/// Time between two ticks of a scheduler with waiting calls.
const TICK: Duration = Duration::from_millis(10);

/// Time between two reports of a VM's work to the homes.
const REPORT: Duration = Duration::from_millis(500);

/// Paces in one message between VMs.
const MAX_PACES: usize = 24;

/// Time of a refused connection.
const REFUSED: Duration = Duration::from_millis(1);

/// Time within which reading a prefix again counts as waste.
const READ_AGAIN_WINDOW: Duration = Duration::from_secs(8);

/// Times between events that a stream must have to tell its engine's pace.
const MIN_GAPS: usize = 8;

/// Tokens in one event of a stream.
const TOKENS_PER_EVENT: f64 = 4.0;

/// Spread of sizes: standard deviation of the logarithm.
const SIZE_SPREAD: f64 = 0.8;

/// Plays `load` on `fleet`.
pub fn simulate(fleet: &Fleet, load: &Load, decider: Decider, seed: u64) -> Report {
    let mut simulation = Simulation::new(fleet, load, decider, seed);
    simulation.run();
    simulation.report()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival { request: usize },
    AtEngine(Send),
    NotSent { request: usize, attempt: Attempt },
    Step { engine: usize, number: u64 },
    Deadline { request: usize },
    Tick,
    Report,
    Crash { index: usize },
    Restart { index: usize },
}

/// A request and what has become of it.
#[derive(Debug)]
struct Request {
    kind: usize,
    vm: usize,
    arrived: Duration,
    prompt: Prompt,
    tokens: u32,
    attempt: Attempt,
    engine: Option<usize>,
    first_event: Option<Duration>,
    last_event: Option<Duration>,
    longest_gap: Duration,
    gaps: Vec<Duration>,
    end: Option<End>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    Refused,
    Failed,
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    load: &'a Load,
    decider: Decider,
    start: Instant,
    now: Duration,
    happenings: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    sequence: u64,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    /// What comes of the step that each engine is in; none while it is idle.
    steps: Vec<Option<Vec<Output>>>,
    /// Number of each engine's step, so that the end of one that a crash cut does not count.
    step_numbers: Vec<u64>,
    requests: Vec<Request>,
    routes: Vec<Arc<RouteRule>>,
    /// Home VM of each engine.
    homes: Vec<usize>,
    messages: u64,
    crossed_bytes: u64,
    repeated: u32,
    /// When each prefix was used last, at any engine.
    last_use: HashMap<u64, Duration>,
    read_again_tokens: u64,
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, load: &'a Load, decider: Decider, seed: u64) -> Self {
        let start = Instant::now();
        let routes: Vec<Arc<RouteRule>> =
            load.traffic.iter().map(|it| Arc::new(route(it))).collect();
        let records = records(fleet);
        let table = Arc::new(table(fleet, &routes));
        let vms = (0..fleet.vms).map(|number| vm(fleet, decider, number, &table, &records, start));
        let speed = |it: usize| fleet.speeds[it % fleet.speeds.len()];
        let names: Vec<VmId> = (0..fleet.vms).map(vm_name).collect();
        let homes = records.iter().map(|record| home(fleet, record, &names)).collect();
        let engines = (0..fleet.engines).map(|it| Engine::new(speed(it), fleet.memory_tokens));
        let mut simulation = Self {
            fleet,
            load,
            decider,
            start,
            now: Duration::ZERO,
            happenings: BinaryHeap::new(),
            sequence: 0,
            vms: vms.collect(),
            engines: engines.collect(),
            steps: vec![None; fleet.engines],
            step_numbers: vec![0; fleet.engines],
            requests: requests(fleet, load, seed),
            routes,
            homes,
            messages: 0,
            crossed_bytes: 0,
            repeated: 0,
            last_use: HashMap::new(),
            read_again_tokens: 0,
        };
        simulation.schedule_all();
        simulation
    }

    fn schedule_all(&mut self) {
        for request in 0..self.requests.len() {
            let at = self.requests[request].arrived;
            let deadline = self.load.traffic[self.requests[request].kind].deadline;
            self.schedule(at, Happening::Arrival { request });
            self.schedule(at + deadline, Happening::Deadline { request });
        }
        for (index, crash) in self.fleet.crashes.iter().enumerate() {
            self.schedule(crash.at, Happening::Crash { index });
            self.schedule(crash.at + crash.down, Happening::Restart { index });
        }
        self.schedule(TICK, Happening::Tick);
        self.schedule(REPORT, Happening::Report);
    }

    fn schedule(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.happenings.push(Reverse((at, self.sequence, happening)));
    }

    fn run(&mut self) {
        let longest = self.load.traffic.iter().map(|it| it.deadline).max().unwrap_or_default();
        let end = self.load.length + longest;
        while let Some(Reverse((at, _, happening))) = self.happenings.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.happen(happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival { request } => self.on_arrival(request),
            Happening::AtEngine(send) => self.on_engine(send),
            Happening::NotSent { request, attempt } => {
                self.end_attempt(request, attempt, SendEnd::NotSent);
            }
            Happening::Step { engine, number } => {
                if self.step_numbers[engine] == number {
                    self.on_step_end(engine);
                }
            }
            Happening::Deadline { request } => self.on_deadline(request),
            Happening::Tick => self.on_tick(),
            Happening::Report => self.on_report(),
            Happening::Crash { index } => self.on_crash(index),
            Happening::Restart { index } => {
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
        if self.decider == Decider::Scheduler {
            self.ask_homes(vm, &call);
        }
        let now = self.instant();
        let wishes = self.vms[vm].arrived(now, call);
        self.carry_out(wishes);
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

    /// A VM asks the homes of the likely engines what the others have there.
    fn ask_homes(&mut self, vm: usize, call: &Call) {
        let now = self.instant();
        let Some(scheduler) = self.vms[vm].scheduler() else { return };
        let asked = scheduler.worth_asking(now, call);
        let name = vm_name(vm);
        let mut loads = Vec::new();
        for record in asked {
            let home = self.homes[engine_number(&record)];
            if let Some(scheduler) = self.vms[home].scheduler().filter(|_| home != vm) {
                loads.extend(scheduler.loads_without(now, &name, &[record.id]));
                self.messages += 2;
            }
        }
        self.vms[vm].handle(now, SchedulerEvent::HomeTold(loads));
    }

    /// A VM reports its work at some engines to their homes.
    fn report_to_homes(&mut self, vm: usize, only: Option<usize>) {
        let now = self.instant();
        let Some(scheduler) = self.vms[vm].scheduler() else { return };
        if self.decider != Decider::Scheduler {
            return;
        }
        for load in scheduler.loads_for_peers() {
            let engine = engine_of(&load.upstream);
            let home = self.homes[engine];
            if home != vm && only.is_none_or(|it| it == engine) {
                self.messages += 1;
                let event = SchedulerEvent::PeerTold { vm: vm_name(vm), loads: vec![load] };
                self.vms[home].handle(now, event);
            }
        }
    }

    /// A VM tells its neighbours of paces that are new to it; they are those at distances of powers
    /// of two on the ring of VMs, as in the relay.
    fn tell_paces(&mut self, vm: usize) {
        let now = self.instant();
        let Vm::Scheduler(scheduler) = &mut self.vms[vm] else { return };
        let paces = scheduler.take_pace_news(MAX_PACES);
        if self.decider != Decider::Scheduler || paces.is_empty() {
            return;
        }
        let distances = (0..).map(|it| 1 << it).take_while(|it| *it < self.fleet.vms);
        let neighbours: Vec<usize> = distances.map(|it| (vm + it) % self.fleet.vms).collect();
        for neighbour in neighbours {
            self.messages += 1;
            self.vms[neighbour].handle(now, SchedulerEvent::PacesTold(paces.clone()));
        }
    }

    fn carry_out(&mut self, wishes: Vec<Wish>) {
        for wish in wishes {
            match wish {
                Wish::Send(send) => self.send(send),
                Wish::GiveUp { id } => {
                    let request = &mut self.requests[id as usize];
                    let was_started = request.first_event.is_some();
                    let end = if was_started { End::Failed } else { End::Refused };
                    request.end.get_or_insert(end);
                }
            }
        }
    }

    fn send(&mut self, send: Send) {
        let (number, attempt, engine) = (send.id as usize, send.attempt, send.engine);
        let request = &mut self.requests[number];
        request.attempt = attempt;
        let vm = request.vm;
        let kind = request.kind;
        self.repeated += u32::from(attempt > 1);
        let domains = self.fleet.failure_domains;
        if vm % domains != engine % domains {
            self.crossed_bytes += self.load.traffic[kind].body_bytes as u64;
        }
        if self.engines[engine].is_down {
            let at = self.now + REFUSED;
            self.schedule(at, Happening::NotSent { request: number, attempt });
            return;
        }
        self.requests[number].engine = Some(engine);
        let at = self.now + WAY;
        self.schedule(at, Happening::AtEngine(send));
        self.report_to_homes(vm, Some(engine));
    }

    fn on_engine(&mut self, send: Send) {
        let (number, attempt, engine) = (send.id as usize, send.attempt, send.engine);
        let request = &self.requests[number];
        if request.end.is_some() || request.attempt != attempt {
            return;
        }
        let tier = self.load.traffic[request.kind].tier;
        let copies_caches = self.fleet.copies_caches;
        let source = send.prefix_source.filter(|it| copies_caches && !self.engines[*it].is_down);
        let fetchable = source.map_or(0, |it| self.engines[it].cached_prefixes(&request.prompt));
        let prompt = request.prompt.clone();
        let job = Job { number, tier, prompt, tokens: request.tokens, fetchable };
        if self.engines[engine].is_down || !self.engines[engine].accept(job) {
            self.end_attempt(number, attempt, SendEnd::Refused { misdirected: false });
            return;
        }
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        if self.steps[engine].is_some() || self.engines[engine].is_idle() {
            return;
        }
        let (time, outputs) = self.engines[engine].step();
        self.count_read_again(engine);
        self.steps[engine] = Some(outputs);
        self.step_numbers[engine] += 1;
        let number = self.step_numbers[engine];
        self.schedule(self.now + time, Happening::Step { engine, number });
    }

    /// Counts prefixes that are read though some engine had them a short while ago.
    fn count_read_again(&mut self, engine: usize) {
        for part in std::mem::take(&mut self.engines[engine].used) {
            let last = self.last_use.insert(part.hash, self.now);
            let is_recent = last.is_some_and(|it| self.now - it < READ_AGAIN_WINDOW);
            if !part.is_hit && is_recent {
                self.read_again_tokens += u64::from(part.tokens);
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
        if request.end.is_some() {
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
            let wishes = self.vms[vm].answering(instant, number as RequestId, attempt);
            self.report_to_homes(vm, Some(engine));
            self.carry_out(wishes);
        }
    }

    fn on_complete(&mut self, number: usize, engine: usize) {
        let request = &mut self.requests[number];
        if request.end.is_some() {
            return;
        }
        request.end = Some(End::Whole);
        let (vm, attempt) = (request.vm, request.attempt);
        let now = self.start + self.now;
        let gaps = &mut request.gaps;
        if gaps.len() >= MIN_GAPS {
            let middle = gaps.len() / 2;
            let event_gap = *gaps.select_nth_unstable(middle).1;
            let paced = SchedulerEvent::Paced { upstream: engine_name(engine), event_gap };
            self.vms[vm].handle(now, paced);
        }
        let (running, waiting) = self.engines[engine].load();
        let load =
            ToldLoad { running: running as u32, waiting: waiting as u32, slots: SLOTS as u32 };
        let told = SchedulerEvent::LoadTold { upstream: engine_name(engine), load };
        self.vms[vm].handle(now, told);
        let wishes = self.vms[vm].ended(now, number as RequestId, attempt, SendEnd::Complete);
        self.carry_out(wishes);
    }

    fn end_attempt(&mut self, number: usize, attempt: Attempt, end: SendEnd) {
        let request = &mut self.requests[number];
        if request.end.is_some() || request.attempt != attempt {
            return;
        }
        request.engine = None;
        let vm = request.vm;
        let now = self.instant();
        let wishes = self.vms[vm].ended(now, number as RequestId, attempt, end);
        self.carry_out(wishes);
    }

    fn on_deadline(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.end.is_some() {
            return;
        }
        request.end = Some(End::Failed);
        let (vm, engine) = (request.vm, request.engine);
        if let Some(engine) = engine {
            self.engines[engine].cancel(number);
        }
        let now = self.instant();
        let wishes = self.vms[vm].left(now, number as RequestId);
        self.carry_out(wishes);
    }

    fn on_tick(&mut self) {
        let now = self.instant();
        for vm in 0..self.vms.len() {
            if self.vms[vm].scheduler().is_some_and(Scheduler::has_waiting) {
                let wishes = self.vms[vm].handle(now, SchedulerEvent::Tick);
                self.carry_out(wishes);
            }
        }
        self.schedule(self.now + TICK, Happening::Tick);
    }

    fn on_report(&mut self) {
        (0..self.vms.len()).for_each(|it| self.report_to_homes(it, None));
        (0..self.vms.len()).for_each(|it| self.tell_paces(it));
        self.schedule(self.now + REPORT, Happening::Report);
    }

    fn on_crash(&mut self, index: usize) {
        let engine = self.fleet.crashes[index].engine;
        self.steps[engine] = None;
        self.step_numbers[engine] += 1;
        for number in self.engines[engine].crash() {
            let attempt = self.requests[number].attempt;
            self.end_attempt(number, attempt, SendEnd::Broken);
        }
    }

    fn report(self) -> Report {
        let mut report = Report {
            read_tokens: self.engines.iter().map(|it| it.read_tokens).sum(),
            cached_tokens: self.engines.iter().map(|it| it.cached_tokens).sum(),
            crossed_bytes: self.crossed_bytes,
            messages: self.messages,
            repeated: self.repeated,
            read_again_tokens: self.read_again_tokens,
            fetched_tokens: self.engines.iter().map(|it| it.fetched_tokens).sum(),
            ..Report::default()
        };
        for (kind, traffic) in self.load.traffic.iter().enumerate() {
            let of_kind: Vec<&Request> =
                self.requests.iter().filter(|it| it.kind == kind).collect();
            let mut sizes: Vec<u32> = of_kind.iter().map(|it| it.prompt.input_tokens).collect();
            sizes.sort_unstable();
            let large = sizes.get(sizes.len() * 9 / 10).copied().unwrap_or(u32::MAX);
            let tally = report.kinds.entry(traffic.name).or_default();
            for request in of_kind {
                count(tally, traffic, request, large);
            }
        }
        report
    }
}

fn count(tally: &mut crate::report::Tally, traffic: &Traffic, request: &Request, large: u32) {
    tally.asked += 1;
    let wait = request.first_event.map(|it| it - request.arrived);
    tally.longest_wait = tally.longest_wait.max(wait.unwrap_or_default());
    let is_on_time =
        wait.is_some_and(|it| it <= traffic.target) && request.longest_gap <= traffic.event_gap;
    match request.end {
        Some(End::Whole) if is_on_time => tally.on_time += 1,
        Some(End::Whole) => tally.late += 1,
        Some(End::Refused) => tally.refused += 1,
        Some(End::Failed) | None => tally.failed += 1,
    }
    if request.prompt.input_tokens >= large {
        tally.large.0 += 1;
        tally.large.1 += u32::from(request.end == Some(End::Whole));
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

fn engine_of(name: &str) -> usize {
    name.trim_start_matches("engine-").parse().unwrap_or(0)
}

/// The engines as a directory; the port of an address is the engine's number.
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

fn home(fleet: &Fleet, record: &UpstreamRecord, names: &[VmId]) -> usize {
    let near = names.iter().enumerate();
    let near = near.filter(|(number, _)| domain_name(fleet, *number) == record.failure_domain);
    let near: Vec<VmId> = near.map(|(_, name)| name.clone()).collect();
    let home = home_of(&record.id, &near);
    names.iter().position(|it| Some(it) == home).unwrap_or(0)
}

fn route(traffic: &Traffic) -> RouteRule {
    RouteRule {
        id: traffic.name.into(),
        host: "model.example".into(),
        prefix: "/".into(),
        kind: CallKind::Stream,
        timeout: traffic.deadline,
        latency_target: traffic.target,
        event_gap_target: Some(traffic.event_gap),
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
    decider: Decider,
    number: usize,
    table: &Arc<RoutingTable>,
    records: &[UpstreamRecord],
    start: Instant,
) -> Vm {
    if decider == Decider::Plain {
        return Vm::Plain(PlainPlacement::new(fleet.engines, number));
    }
    let settings = SchedulerSettings {
        failure_domain: Some(domain_name(fleet, number)),
        ..SchedulerSettings::default()
    };
    let mut scheduler = Scheduler::new(settings);
    scheduler.put_in_force(table.clone());
    scheduler.handle(start, SchedulerEvent::DirectoryChanged(records.to_vec()));
    scheduler.handle(start, SchedulerEvent::VmsCounted(fleet.vms as u32));
    Vm::Scheduler(Box::new(scheduler))
}

/// Draws all requests of a run.
fn requests(fleet: &Fleet, load: &Load, seed: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut parts = HashMap::new();
    for (kind, traffic) in load.traffic.iter().enumerate() {
        let mut at = Duration::ZERO;
        loop {
            let rate = traffic.per_s * load.factor(traffic.name, at).max(f64::MIN_POSITIVE);
            let unit: f64 = rng.random();
            at += Duration::from_secs_f64(-(1.0 - unit).ln() / rate);
            if at >= load.length {
                break;
            }
            let number = requests.len();
            requests.push(Request {
                kind,
                vm: rng.random_range(0..fleet.vms),
                arrived: at,
                prompt: prompt(traffic, kind, number, load.hot_share, &mut rng, &mut parts),
                tokens: (draw_size(&mut rng, traffic.events) * TOKENS_PER_EVENT).max(1.0) as u32,
                attempt: 0,
                engine: None,
                first_event: None,
                last_event: None,
                longest_gap: Duration::ZERO,
                gaps: Vec::new(),
                end: None,
            });
        }
    }
    requests
}

/// Shared parts of a kind always follow the same part before them.
fn prompt(
    traffic: &Traffic,
    kind: usize,
    number: usize,
    hot_share: f64,
    rng: &mut Pcg64Mcg,
    parents: &mut HashMap<(usize, usize, u64), u64>,
) -> Prompt {
    let mut variants = Vec::new();
    // Without a hot beginning nothing is drawn, so that such loads stay what they are.
    let is_hot = hot_share > 0.0 && rng.random_bool(hot_share);
    for (level, shared) in traffic.shared.iter().enumerate().rev() {
        let drawn = if is_hot { 0 } else { rng.random_range(0..shared.variants) };
        let variant = match variants.last() {
            None => drawn,
            Some(child) => *parents.entry((kind, level, *child)).or_insert(drawn),
        };
        variants.push(variant);
    }
    variants.reverse();
    let shared = traffic.shared.iter().zip(&variants).enumerate();
    let mut parts: Vec<PromptPart> = shared
        .map(|(level, (part, variant))| PromptPart {
            id: (kind as u64 + 1) << 48 | (level as u64 + 1) << 40 | variant,
            tokens: part.tokens,
        })
        .collect();
    let own = draw_size(rng, traffic.own_tokens).max(1.0) as u32;
    parts.push(PromptPart { id: u64::MAX - number as u64, tokens: own });
    let input_tokens = parts.iter().map(|it| it.tokens).sum();
    Prompt { input_tokens, output_tokens: 0, parts }
}

/// A size with this mean, log-normally distributed (Box and Muller, 1958).
fn draw_size(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIZE_SPREAD * normal - SIZE_SPREAD * SIZE_SPREAD / 2.0).exp()
}
