//! Explores all interleavings of two concurrent plans, one of them confirmed twice, and of store
//! faults.

use std::collections::HashSet;
use std::sync::Arc;

use cranberryvalve_coordination::plan::ConfirmOutcome;
use cranberryvalve_coordination::plan::ConfirmStep;
use cranberryvalve_coordination::plan::Confirmation;
use cranberryvalve_coordination::plan::HEAD_KEY;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_coordination::plan::body_key;
use cranberryvalve_coordination::store::Delivery;
use cranberryvalve_coordination::store::MemoryStore;
use cranberryvalve_coordination::store::StoreCommand;
use cranberryvalve_core::Config;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::Digest;
use cranberryvalve_core::PlanId;

/// Maximum number of faults in one interleaving.
const MAX_FAULTS: u32 = 2;

/// Number of failed operations after which a confirmation ends.
///
/// Small enough that [`MAX_FAULTS`] faults can lead to every outcome.
const MAX_FAILURES: u32 = 2;

#[derive(Debug, Clone)]
enum Stage {
    Running(Box<Confirmation>, StoreCommand),
    Ended(ConfirmOutcome),
}

#[derive(Debug, Clone)]
struct Simulation {
    store: MemoryStore,
    stages: Vec<Stage>,
    plans: Vec<PlanId>,
    faults: u32,
}

fn plan(id: &str, base: &ConfigDocument) -> Plan {
    Plan::new(id.into(), id.into(), base, Arc::new(Config::default()))
}

/// Confirms `plan` without faults.
fn confirm(store: &mut MemoryStore, plan: &Plan) -> ConfirmOutcome {
    let (mut confirmation, mut command) = Confirmation::new(plan, 1, Some(0));
    loop {
        match confirmation.on_reply(store.execute(&command, Delivery::Answered)) {
            ConfirmStep::Command(next) => command = next,
            ConfirmStep::Done(outcome) => return outcome,
        }
    }
}

impl Simulation {
    /// Creates a simulation in which plan `a` is confirmed twice and plan `b` once, both with the
    /// same base.
    fn new() -> Self {
        let mut store = MemoryStore::default();
        let initial = ConfigDocument::initial();
        assert_eq!(
            confirm(&mut store, &plan("first", &initial)),
            ConfirmOutcome::Applied { version: 1 }
        );
        let base = history(&store).remove(0);
        let plans = [plan("a", &base), plan("a", &base), plan("b", &base)];
        let stages = plans.iter().enumerate().map(|(number, plan)| {
            let (confirmation, command) = Confirmation::new(plan, number as u64, Some(0));
            Stage::Running(Box::new(confirmation.max_failures(MAX_FAILURES)), command)
        });
        Self {
            store,
            stages: stages.collect(),
            plans: plans.iter().map(|it| it.id.clone()).collect(),
            faults: 0,
        }
    }

    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        for (number, stage) in self.stages.iter().enumerate() {
            let Stage::Running(..) = stage else { continue };
            successors.push(self.step(number, Delivery::Answered));
            if self.faults < MAX_FAULTS {
                successors.extend(Delivery::FAULTS.map(|delivery| self.step(number, delivery)));
            }
        }
        if self.store.has_delayed() {
            let mut simulation = self.clone();
            simulation.store.execute_delayed();
            successors.push(simulation);
        }
        successors
    }

    fn step(&self, number: usize, delivery: Delivery) -> Self {
        let mut simulation = self.clone();
        simulation.faults += u32::from(delivery != Delivery::Answered);
        let Stage::Running(confirmation, command) = &mut simulation.stages[number] else {
            panic!("an ended confirmation has no next step")
        };
        let reply = simulation.store.execute(command, delivery);
        let stage = match confirmation.on_reply(reply) {
            ConfirmStep::Command(next) => Stage::Running(confirmation.clone(), next),
            ConfirmStep::Done(outcome) => Stage::Ended(outcome),
        };
        simulation.stages[number] = stage;
        simulation
    }

    fn outcomes(&self) -> Vec<&'static str> {
        let ended = self.stages.iter().filter_map(|stage| match stage {
            Stage::Running(..) => None,
            Stage::Ended(ConfirmOutcome::Applied { .. }) => Some("applied"),
            Stage::Ended(ConfirmOutcome::Stale { .. }) => Some("stale"),
            Stage::Ended(ConfirmOutcome::NotApplied { .. }) => Some("not applied"),
            Stage::Ended(ConfirmOutcome::BaseMissing { .. }) => Some("base missing"),
            Stage::Ended(ConfirmOutcome::Unknown) => Some("unknown"),
            Stage::Ended(ConfirmOutcome::Unsettled) => Some("unsettled"),
        });
        ended.collect()
    }

    /// Checks that each outcome agrees with the history of applied plans.
    fn check_outcomes(&self) {
        let history = history(&self.store);
        let versions: Vec<u64> = history.iter().map(|it| it.version).collect();
        let expected: Vec<u64> = (1..=history.len() as u64).rev().collect();
        assert_eq!(versions, expected, "{self:?}");
        assert!(history.len() <= 2, "two plans with the same base were applied: {self:?}");
        for (stage, plan) in self.stages.iter().zip(&self.plans) {
            let is_applied = history.iter().any(|it| it.plan == *plan);
            match stage {
                Stage::Ended(ConfirmOutcome::Applied { .. }) => assert!(is_applied, "{self:?}"),
                Stage::Ended(ConfirmOutcome::Stale { .. }) => assert!(!is_applied, "{self:?}"),
                Stage::Ended(ConfirmOutcome::BaseMissing { .. } | ConfirmOutcome::Unsettled) => {
                    panic!("the store was not restored: {self:?}")
                }
                // The plan `a` has a second confirmation, which may have applied it.
                Stage::Ended(ConfirmOutcome::NotApplied { .. }) if &**plan == "b" => {
                    assert!(!is_applied, "{self:?}");
                }
                Stage::Ended(ConfirmOutcome::NotApplied { .. } | ConfirmOutcome::Unknown)
                | Stage::Running(..) => {}
            }
        }
    }

    /// Checks that confirming a plan once more without faults resolves its outcome.
    fn check_resolvable(&mut self) {
        let first = history(&self.store).pop().expect("the first version");
        let outcome = confirm(&mut self.store, &plan("a", &first));
        let is_resolved =
            matches!(outcome, ConfirmOutcome::Applied { .. } | ConfirmOutcome::Stale { .. });
        assert!(is_resolved, "{outcome:?}");
    }
}

/// Returns all versions of the configuration, newest first.
fn history(store: &MemoryStore) -> Vec<ConfigDocument> {
    let head = store.row(HEAD_KEY).and_then(Head::from_bytes).expect("a valid head");
    let mut digest = Some(head.digest);
    let mut documents = Vec::new();
    while let Some(current) = digest {
        let body = store.object(&body_key(&current)).expect("the head refers to a stored document");
        let document = ConfigDocument::from_bytes(body).expect("a valid document");
        digest = document.previous.clone();
        documents.push(document);
    }
    documents
}

#[test]
fn at_most_one_of_two_concurrent_plans_is_applied() {
    let mut visited = HashSet::new();
    let mut unexplored = vec![Simulation::new()];
    let mut outcomes = HashSet::new();
    while let Some(mut simulation) = unexplored.pop() {
        if !visited.insert(Digest::of(format!("{simulation:?}").as_bytes())) {
            continue;
        }
        let successors = simulation.successors();
        if successors.is_empty() {
            outcomes.extend(simulation.outcomes());
            simulation.check_outcomes();
            simulation.check_resolvable();
        }
        unexplored.extend(successors);
    }
    assert!(visited.len() > 10_000, "only {} states", visited.len());
    let all = HashSet::from(["applied", "stale", "not applied", "unknown"]);
    assert_eq!(outcomes, all, "the search must reach every outcome");
}

#[test]
fn earlier_plan_is_resolved_from_history() {
    let mut store = MemoryStore::default();
    let initial = ConfigDocument::initial();
    let first = plan("first", &initial);
    confirm(&mut store, &first);
    for number in 2..5 {
        let base = history(&store).remove(0);
        confirm(&mut store, &plan(&format!("later-{number}"), &base));
    }
    assert_eq!(confirm(&mut store, &first), ConfirmOutcome::Applied { version: 1 });
    let overtaken = confirm(&mut store, &plan("overtaken", &initial));
    let expected = ConfirmOutcome::Stale {
        current_version: 4,
        overtaken_by: "first".into(),
        operator: "first".into(),
    };
    assert_eq!(overtaken, expected);
}
