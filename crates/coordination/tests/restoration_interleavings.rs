//! Explores all interleavings of restorations of the store, of VMs that write a lost configuration
//! again, of confirmations, and of store faults.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::plan::ConfirmOutcome;
use cranberryvalve_coordination::plan::ConfirmStep;
use cranberryvalve_coordination::plan::Confirmation;
use cranberryvalve_coordination::plan::HEAD_KEY;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_coordination::plan::Restoration;
use cranberryvalve_coordination::plan::body_key;
use cranberryvalve_coordination::replica::FetchFrom;
use cranberryvalve_coordination::replica::Replica;
use cranberryvalve_coordination::replica::ReplicaAction;
use cranberryvalve_coordination::replica::ReplicaEvent;
use cranberryvalve_coordination::store::Delivery;
use cranberryvalve_coordination::store::MemoryStore;
use cranberryvalve_coordination::store::StoreCommand;
use cranberryvalve_coordination::store::StoreReply;
use cranberryvalve_core::Config;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::Digest;
use cranberryvalve_core::PlanId;
use cranberryvalve_core::StoreEra;

/// Maximum number of faults in one interleaving.
const MAX_FAULTS: u32 = 1;

/// Maximum number of restorations in one interleaving.
const MAX_RESTORATIONS: u64 = 2;

/// Number of failed operations after which a confirmation ends.
const MAX_FAILURES: u32 = 2;

/// Number of polls of a VM in one interleaving, before those that end it.
const MAX_POLLS: u32 = 2;

/// Interval between polls of a VM, longer than the interval between two requests for a document.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Vm {
    replica: Replica,
    now: Instant,
    polls: u32,
    activity: Activity,
    /// Latest era in which this VM has finished a poll.
    polled_era: Option<StoreEra>,
}

#[derive(Debug, Clone)]
enum Activity {
    Idle,
    Reading,
    Restoring(StoreEra, Restoration, StoreCommand),
    Fetching(StoreEra, StoreCommand),
}

/// A confirmation at one of the VMs.
#[derive(Debug, Clone)]
struct Operator {
    vm: usize,
    plan: Plan,
    stage: Stage,
}

#[derive(Debug, Clone)]
enum Stage {
    Waiting,
    Running(Box<Confirmation>, StoreCommand),
    Ended(ConfirmOutcome),
}

impl Operator {
    /// Returns the name of the outcome.
    fn outcome(&self) -> String {
        let Stage::Ended(outcome) = &self.stage else { panic!("the confirmation has ended") };
        format!("{outcome:?}").split(' ').next().expect("a name").to_owned()
    }
}

#[derive(Debug, Clone)]
struct Simulation {
    store: MemoryStore,
    vms: Vec<Vm>,
    operators: Vec<Operator>,
    faults: u32,
    restorations: u64,
    /// Number of writes that restorations keep.
    copied_writes: usize,
    /// Documents that restorations lose.
    lost_objects: Vec<Digest>,
    /// Plans that have been confirmed and are in use at a VM.
    confirmed: Vec<PlanId>,
}

fn plan(id: &str, base: &ConfigDocument) -> Plan {
    Plan::new(id.into(), id.into(), base, Arc::new(Config::default()))
}

fn read_head() -> StoreCommand {
    StoreCommand::Read { key: HEAD_KEY.into() }
}

/// Confirms a plan without faults, and returns the document that it writes.
fn confirmed(store: &mut MemoryStore, plan: &Plan) -> ConfigDocument {
    let (mut confirmation, mut command) = Confirmation::new(plan, 1, Some(0));
    loop {
        match confirmation.on_reply(store.execute(&command, Delivery::Answered)) {
            ConfirmStep::Command(next) => command = next,
            ConfirmStep::Done(outcome) => {
                let document = confirmation.document().clone();
                assert_eq!(outcome, ConfirmOutcome::Applied { version: document.version });
                return document;
            }
        }
    }
}

impl Vm {
    fn new(start: Instant, document: &ConfigDocument) -> Self {
        let mut replica = Replica::new(start);
        replica.handle(start, ReplicaEvent::Document(Arc::new(document.clone())));
        Self { replica, now: start, polls: 0, activity: Activity::Idle, polled_era: None }
    }

    /// Carries out one step of a poll of the head row.
    fn step(&mut self, store: &mut MemoryStore, delivery: Delivery) {
        self.activity = match std::mem::replace(&mut self.activity, Activity::Idle) {
            Activity::Idle => {
                self.polls += 1;
                self.now += POLL_INTERVAL;
                Activity::Reading
            }
            Activity::Reading => match store.execute(&read_head(), delivery) {
                StoreReply::Read(snapshot) => {
                    let (era, unchanged) = (snapshot.era, snapshot.unchanged());
                    let head = snapshot.row.and_then(|it| Head::from_bytes(&it.value));
                    let event = ReplicaEvent::StoreHead { head, unchanged };
                    self.perform(era, event)
                }
                _ => Activity::Idle,
            },
            Activity::Restoring(era, restoration, command) => {
                let reply = store.execute(&command, delivery);
                match (restoration.on_reply(&reply), reply) {
                    (Some(next), _) => Activity::Restoring(era, restoration, next),
                    (None, StoreReply::Write(_)) => self.end_poll(era),
                    (None, _) => Activity::Idle,
                }
            }
            Activity::Fetching(era, command) => match store.execute(&command, delivery) {
                StoreReply::FetchObject(Some(body)) => {
                    let document = ConfigDocument::from_bytes(&body).expect("a valid document");
                    self.perform(era, ReplicaEvent::Document(Arc::new(document)))
                }
                _ => Activity::Idle,
            },
        };
    }

    fn perform(&mut self, era: StoreEra, event: ReplicaEvent) -> Activity {
        let version = self.replica.version();
        let action = self.replica.handle(self.now, event).pop();
        assert!(self.replica.version() >= version, "the version went back: {self:?}");
        match action {
            Some(ReplicaAction::Restore { document, condition }) => {
                let (restoration, command) = Restoration::new(&document, condition);
                Activity::Restoring(era, restoration, command)
            }
            Some(ReplicaAction::Fetch(FetchFrom::Store(digest))) => {
                Activity::Fetching(era, StoreCommand::FetchObject { key: body_key(&digest) })
            }
            Some(ReplicaAction::Activate(_)) | None => self.end_poll(era),
            Some(other) => panic!("{other:?}"),
        }
    }

    const fn end_poll(&mut self, era: StoreEra) -> Activity {
        self.polled_era = Some(era);
        Activity::Idle
    }

    const fn is_idle(&self) -> bool {
        matches!(self.activity, Activity::Idle)
    }
}

impl Simulation {
    /// Starts with version 1 on all VMs, and version 2 on those of `ahead`, before the store is
    /// restored from a copy with version 1. `operators` confirm plans based on what their VM uses.
    fn new(ahead: &[bool], operators: &[(usize, &str)]) -> Self {
        let start = Instant::now();
        let mut store = MemoryStore::default();
        let first = confirmed(&mut store, &plan("first", &ConfigDocument::initial()));
        let copied_writes = store.version();
        let lost = confirmed(&mut store, &plan("lost", &first));
        let used = |is_ahead: bool| if is_ahead { &lost } else { &first };
        let operators = operators.iter().map(|(vm, id)| Operator {
            vm: *vm,
            plan: plan(id, used(ahead[*vm])),
            stage: Stage::Waiting,
        });
        Self {
            vms: ahead.iter().map(|it| Vm::new(start, used(*it))).collect(),
            operators: operators.collect(),
            store,
            faults: 0,
            restorations: 0,
            copied_writes,
            lost_objects: Vec::new(),
            confirmed: vec!["first".into(), "lost".into()],
        }
    }

    /// Returns the era if all VMs have polled in it.
    fn settled_era(&self) -> Option<StoreEra> {
        let is_settled = self.restorations == 0
            || self.vms.iter().all(|it| it.polled_era == Some(self.restorations));
        is_settled.then_some(self.restorations)
    }

    fn successors(&self) -> Vec<Self> {
        let mut deliveries = vec![Delivery::Answered];
        if self.faults < MAX_FAULTS {
            deliveries.extend(Delivery::FAULTS);
        }
        let mut successors = Vec::new();
        for (number, vm) in self.vms.iter().enumerate() {
            if vm.is_idle() && vm.polls < MAX_POLLS {
                successors.push(self.with(|it| it.step_vm(number, Delivery::Answered)));
            } else if !vm.is_idle() {
                let step = |delivery: &Delivery| self.with(|it| it.step_vm(number, *delivery));
                successors.extend(deliveries.iter().map(step));
            }
        }
        for (number, operator) in self.operators.iter().enumerate() {
            match operator.stage {
                Stage::Waiting => successors.push(self.with(|it| it.start_confirmation(number))),
                Stage::Running(..) => {
                    let step = |delivery: &Delivery| {
                        self.with(|it| it.step_confirmation(number, *delivery))
                    };
                    successors.extend(deliveries.iter().map(step));
                }
                Stage::Ended(_) => {}
            }
        }
        if self.store.has_delayed() {
            successors.push(self.with(|it| it.store.execute_delayed()));
        }
        if self.restorations < MAX_RESTORATIONS && self.store.version() > self.copied_writes {
            successors.push(self.with(|it| {
                it.restorations += 1;
                it.store.restore(it.copied_writes);
                it.lost_objects.iter().for_each(|lost| it.store.lose_object(&body_key(lost)));
            }));
        }
        successors
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut simulation = self.clone();
        change(&mut simulation);
        simulation
    }

    fn step_vm(&mut self, number: usize, delivery: Delivery) {
        self.faults += u32::from(delivery != Delivery::Answered);
        self.vms[number].step(&mut self.store, delivery);
    }

    fn start_confirmation(&mut self, number: usize) {
        let settled_era = self.settled_era();
        let operator = &mut self.operators[number];
        let (confirmation, command) = Confirmation::new(&operator.plan, 1, settled_era);
        let confirmation = confirmation.max_failures(MAX_FAILURES);
        operator.stage = Stage::Running(Box::new(confirmation), command);
    }

    fn step_confirmation(&mut self, number: usize, delivery: Delivery) {
        self.faults += u32::from(delivery != Delivery::Answered);
        let operator = &mut self.operators[number];
        let Stage::Running(confirmation, command) = &mut operator.stage else {
            panic!("no confirmation is running")
        };
        match confirmation.on_reply(self.store.execute(command, delivery)) {
            ConfirmStep::Command(next) => *command = next,
            ConfirmStep::Done(outcome) => {
                if confirmation.is_document_active() {
                    let document = Arc::new(confirmation.document().clone());
                    let vm = &mut self.vms[operator.vm];
                    vm.replica.handle(vm.now, ReplicaEvent::Document(document));
                    self.confirmed.push(operator.plan.id.clone());
                }
                operator.stage = Stage::Ended(outcome);
            }
        }
    }

    /// Checks that the head row refers to a stored document, so that no reader is left without one.
    fn check_reader(&self) {
        let head = self.store.row(HEAD_KEY).and_then(Head::from_bytes).expect("a valid head");
        assert!(self.store.object(&body_key(&head.digest)).is_some(), "{self:?}");
    }

    /// Lets all VMs poll without faults, and checks that they agree with the store on a configuration
    /// that contains all confirmed plans.
    fn check_final_state(mut self) {
        for _ in 0..3 {
            for vm in &mut self.vms {
                vm.step(&mut self.store, Delivery::Answered);
                while !vm.is_idle() {
                    vm.step(&mut self.store, Delivery::Answered);
                }
            }
        }
        let head = self.store.row(HEAD_KEY).and_then(Head::from_bytes).expect("a valid head");
        let agrees = |vm: &Vm| *vm.replica.digest() == head.digest;
        assert!(self.vms.iter().all(agrees), "VMs disagree: {self:?}");
        let history = history(&self.store, &head);
        let is_kept = |it: &PlanId| history.contains(it);
        assert!(self.confirmed.iter().all(is_kept), "a plan is lost, {history:?}: {self:?}");
        for operator in &self.operators {
            let is_applied = history.contains(&operator.plan.id);
            match operator.stage {
                Stage::Ended(ConfirmOutcome::Applied { .. }) => assert!(is_applied, "{self:?}"),
                Stage::Ended(ConfirmOutcome::Stale { .. }) => assert!(!is_applied, "{self:?}"),
                _ => {}
            }
        }
    }
}

/// Returns the plans that led to a head.
fn history(store: &MemoryStore, head: &Head) -> Vec<PlanId> {
    let mut digest = Some(head.digest.clone());
    let mut plans = Vec::new();
    while let Some(current) = digest {
        let body = store.object(&body_key(&current)).expect("a stored document");
        let document = ConfigDocument::from_bytes(body).expect("a valid document");
        digest = document.previous.clone();
        plans.push(document.plan);
    }
    plans
}

/// Explores all interleavings, and returns the number of states and the outcomes of confirmations.
fn explore(start: Simulation) -> (usize, BTreeSet<String>) {
    let mut outcomes = BTreeSet::new();
    let mut visited = HashSet::new();
    let mut unexplored = vec![start];
    while let Some(simulation) = unexplored.pop() {
        if !visited.insert(Digest::of(format!("{simulation:?}").as_bytes())) {
            continue;
        }
        simulation.check_reader();
        let successors = simulation.successors();
        if successors.is_empty() {
            outcomes.extend(simulation.operators.iter().map(Operator::outcome));
            simulation.check_final_state();
        }
        unexplored.extend(successors);
    }
    (visited.len(), outcomes)
}

#[test]
fn vms_that_restore_at_once_agree_on_one_stored_document() {
    let mut simulation = Simulation::new(&[true, true, false], &[]);
    simulation.lost_objects.push(simulation.vms[0].replica.digest().clone());
    let (states, _) = explore(simulation);
    assert!(states > 10_000, "only {states} states");
}

#[test]
fn confirmed_plan_is_not_overtaken_at_a_vm_that_has_not_heard_of_it() {
    let (states, outcomes) = explore(Simulation::new(&[true, false], &[(1, "unaware")]));
    assert!(states > 10_000, "only {states} states");
    let expected = ["Stale", "Unsettled"].map(str::to_owned);
    assert_eq!(outcomes, expected.into());
}

#[test]
fn plan_on_a_lost_base_is_applied_once_or_not_at_all() {
    let (states, outcomes) = explore(Simulation::new(&[true, false], &[(0, "next")]));
    assert!(states > 10_000, "only {states} states");
    let expected =
        ["Applied", "BaseMissing", "NotApplied", "Unknown", "Unsettled"].map(str::to_owned);
    assert_eq!(outcomes, expected.into());
}
