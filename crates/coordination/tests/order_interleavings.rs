//! Explores interleavings of two VMs that order an engine under a lease, with restorations of the
//! store, store faults, crashes and the passing of time.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::lease::CLOCK_DRIFT_MARGIN;
use cranberryvalve_coordination::lease::LEASE_DURATION;
use cranberryvalve_coordination::lease::Lease;
use cranberryvalve_coordination::lease::LeaseAcquisition;
use cranberryvalve_coordination::lease::LeaseStep;
use cranberryvalve_coordination::orders::ORDER_TIMEOUT;
use cranberryvalve_coordination::orders::lease_key;
use cranberryvalve_coordination::orders::parse_completed_orders;
use cranberryvalve_coordination::orders::remaining_orders;
use cranberryvalve_coordination::orders::serialize_completed_orders;
use cranberryvalve_coordination::store::Delivery;
use cranberryvalve_coordination::store::MemoryStore;
use cranberryvalve_coordination::store::StoreCommand;
use cranberryvalve_core::Digest;
use cranberryvalve_core::EngineOrder;
use cranberryvalve_core::FencingToken;
use cranberryvalve_core::ModelAction;

/// Maximum number of store faults and crashes in one interleaving.
const MAX_FAULTS: u32 = 1;

/// Faults of the store; the others leave the same state as one of these.
const FAULTS: [Delivery; 2] = [Delivery::ReplyLost, Delivery::Delayed];

/// Maximum number of restorations in one interleaving.
const MAX_RESTORATIONS: u32 = 1;

/// Times that may pass at once: less than a lease, and the time after which it is taken over.
const TICKS: [Duration; 2] =
    [Duration::from_secs(2), LEASE_DURATION.saturating_add(CLOCK_DRIFT_MARGIN)];

/// Time at which an interleaving ends: a lease is taken over, and the next one is used for a while.
const END: Duration = Duration::from_secs(9);

/// One transition of the simulated system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// A VM sends a command to the store, with the given delivery.
    Store(usize, Delivery),
    /// A VM that waits tries again, or one that holds the lease continues with the next order.
    Continue(usize),
    /// A VM crashes.
    Crash(usize),
    /// The engine carries out the order that it received.
    CarryOut,
    /// Time passes.
    Tick(Duration),
    /// The store comes back from a copy that lacks this number of writes.
    Restoration(usize),
    /// The store executes the oldest delayed command.
    DelayedCommand,
}

#[derive(Debug)]
enum Stage {
    Acquiring(LeaseAcquisition, StoreCommand),
    Waiting(LeaseAcquisition, Instant),
    Holding(Lease),
    /// An order was sent, whose outcome is known until this time.
    Sent(Lease, Vec<EngineOrder>, Instant),
    Renewing(Lease, Vec<EngineOrder>, StoreCommand),
    Releasing(StoreCommand),
    Finished,
    Crashed,
}

#[derive(Debug)]
struct InFlight {
    position: usize,
    until: Instant,
}

#[derive(Debug)]
struct Simulation {
    start: Instant,
    now: Instant,
    store: MemoryStore,
    stages: [Stage; 2],
    /// Number of acquisitions, for their tokens.
    acquisitions: u32,
    /// Fencing tokens in the order in which they were given out.
    tokens: Vec<FencingToken>,
    in_flight: Vec<InFlight>,
    /// How often the engine carried out each order.
    carried_out: [u32; 1],
    faults: u32,
    restorations: u32,
}

fn declared_orders() -> [EngineOrder; 1] {
    [EngineOrder { action: ModelAction::Load, subject: "base".into() }]
}

impl Simulation {
    fn new(start: Instant) -> Self {
        let mut simulation = Self {
            start,
            now: start,
            store: MemoryStore::default(),
            stages: [Stage::Finished, Stage::Finished],
            acquisitions: 0,
            tokens: Vec::new(),
            in_flight: Vec::new(),
            carried_out: [0],
            faults: 0,
            restorations: 0,
        };
        simulation.stages = [simulation.acquire(), simulation.acquire()];
        simulation
    }

    fn acquire(&mut self) -> Stage {
        self.acquisitions += 1;
        let token = format!("token-{}", self.acquisitions).into();
        let acquisition = LeaseAcquisition::new(lease_key("engine-1"), token);
        let command = acquisition.start();
        Stage::Acquiring(acquisition, command)
    }

    fn steps(&self) -> Vec<Step> {
        let may_fail = self.faults < MAX_FAULTS;
        let mut steps = Vec::new();
        for (vm, stage) in self.stages.iter().enumerate() {
            match stage {
                Stage::Acquiring(..) | Stage::Renewing(..) | Stage::Releasing(_) => {
                    steps.push(Step::Store(vm, Delivery::Answered));
                    if may_fail {
                        steps.extend(FAULTS.map(|it| Step::Store(vm, it)));
                    }
                }
                Stage::Holding(_) => steps.push(Step::Continue(vm)),
                Stage::Waiting(_, since) if *since < self.now => steps.push(Step::Continue(vm)),
                Stage::Sent(_, orders, until) => {
                    if self.carried_out[orders.len()] > 0 || *until <= self.now {
                        steps.push(Step::Continue(vm));
                    }
                    if may_fail {
                        steps.push(Step::Crash(vm));
                    }
                }
                Stage::Waiting(..) | Stage::Finished | Stage::Crashed => {}
            }
        }
        if !self.in_flight.is_empty() {
            steps.push(Step::CarryOut);
        }
        let in_time = TICKS.into_iter().filter(|it| self.now + *it <= self.start + END);
        steps.extend(in_time.map(Step::Tick));
        if self.restorations < MAX_RESTORATIONS {
            let lost = (1..=self.store.version()).filter(|it| *it <= 2);
            steps.extend(lost.map(Step::Restoration));
        }
        if self.store.has_delayed() {
            steps.push(Step::DelayedCommand);
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Store(vm, delivery) => {
                self.faults += u32::from(delivery != Delivery::Answered);
                let stage = std::mem::replace(&mut self.stages[vm], Stage::Finished);
                self.stages[vm] = self.on_store(stage, delivery);
            }
            Step::Continue(vm) => {
                let stage = std::mem::replace(&mut self.stages[vm], Stage::Finished);
                self.stages[vm] = self.on_continue(stage);
            }
            Step::Crash(vm) => {
                self.faults += 1;
                self.stages[vm] = Stage::Crashed;
            }
            Step::CarryOut => {
                let order = self.in_flight.remove(0);
                self.carried_out[order.position] += 1;
            }
            Step::Tick(time) => {
                self.now += time;
                self.in_flight.retain(|it| it.until > self.now);
            }
            Step::Restoration(lost) => {
                self.restorations += 1;
                self.store.restore(self.store.version() - lost);
            }
            Step::DelayedCommand => self.store.execute_delayed(),
        }
    }

    fn on_store(&mut self, stage: Stage, delivery: Delivery) -> Stage {
        match stage {
            Stage::Acquiring(mut acquisition, command) => {
                let reply = self.store.execute(&command, delivery);
                match acquisition.on_reply(self.now, reply) {
                    LeaseStep::Command(next) => Stage::Acquiring(acquisition, next),
                    LeaseStep::Held(lease) => {
                        self.tokens.push(lease.fencing());
                        Stage::Holding(lease)
                    }
                    LeaseStep::Wait(_) | LeaseStep::Failed(_) => {
                        Stage::Waiting(acquisition, self.now)
                    }
                }
            }
            Stage::Renewing(lease, orders, command) => {
                let reply = self.store.execute(&command, delivery);
                let notes = serialize_completed_orders(&orders);
                let lease = lease.on_renewed(self.now, notes, &reply);
                lease.map_or_else(|| self.acquire(), Stage::Holding)
            }
            Stage::Releasing(command) => {
                self.store.execute(&command, delivery);
                Stage::Finished
            }
            other => panic!("no command is pending in {other:?}"),
        }
    }

    fn on_continue(&mut self, stage: Stage) -> Stage {
        match stage {
            Stage::Waiting(acquisition, _) => {
                let command = acquisition.start();
                Stage::Acquiring(acquisition, command)
            }
            Stage::Holding(lease) => self.send_next(lease),
            Stage::Sent(lease, orders, _) if self.carried_out[orders.len()] > 0 => {
                Self::renew(lease, orders)
            }
            // The outcome is in doubt, and the lease is left to expire.
            Stage::Sent(..) => self.acquire(),
            other => panic!("{other:?} cannot continue"),
        }
    }

    /// Sends the next order if the engine has not carried it out and the lease is long enough.
    fn send_next(&mut self, lease: Lease) -> Stage {
        let declared = declared_orders();
        let mut done = parse_completed_orders(lease.notes());
        let (position, left) = remaining_orders(&declared, &done);
        if left.is_empty() {
            return Stage::Releasing(lease.release());
        }
        done.truncate(position);
        if self.carried_out[position] > 0 {
            return Self::renew(lease, done);
        }
        if !lease.covers_action(self.now, ORDER_TIMEOUT) {
            return Stage::Releasing(lease.release());
        }
        let until = self.now + ORDER_TIMEOUT;
        self.in_flight.push(InFlight { position, until });
        Stage::Sent(lease, done, until)
    }

    fn renew(lease: Lease, mut orders: Vec<EngineOrder>) -> Stage {
        orders.push(declared_orders()[orders.len()].clone());
        let command = lease.renew(serialize_completed_orders(&orders));
        Stage::Renewing(lease, orders, command)
    }

    fn check_state(&self, path: &[Step]) {
        let tokens = &self.tokens;
        assert!(tokens.is_sorted_by(|a, b| a < b), "token given out twice, {tokens:?}: {path:?}");
        assert!(self.in_flight.len() <= 1, "two orders at a time: {path:?}");
        let counts = self.carried_out;
        assert!(counts.iter().all(|it| *it <= 1), "order carried out twice, {counts:?}: {path:?}");
    }
}

fn replay(start: Instant, path: &[Step]) -> Simulation {
    let mut simulation = Simulation::new(start);
    path.iter().for_each(|it| simulation.apply(*it));
    simulation
}

#[test]
fn no_interleaving_sends_two_orders_at_a_time_or_one_twice() {
    let start = Instant::now();
    let mut visited = HashSet::new();
    let mut unexplored = vec![Vec::new()];
    let mut taken_over = 0_u32;
    while let Some(path) = unexplored.pop() {
        let simulation = replay(start, &path);
        if !visited.insert(Digest::of(format!("{simulation:?}").as_bytes())) {
            continue;
        }
        simulation.check_state(&path);
        taken_over += u32::from(simulation.tokens.len() > 1 && simulation.restorations > 0);
        for step in simulation.steps() {
            let mut extended = path.clone();
            extended.push(step);
            unexplored.push(extended);
        }
    }
    assert!(visited.len() > 10_000, "only {} states", visited.len());
    assert!(taken_over > 100, "only {taken_over} states with a second holder after a restoration");
}
