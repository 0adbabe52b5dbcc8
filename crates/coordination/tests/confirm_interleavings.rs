//! Every interleaving of two operators' plans, one of them confirmed twice, and the store's faults.

use std::collections::HashSet;
use std::sync::Arc;

use cranberryvalve_coordination::plan::ConfirmOutcome;
use cranberryvalve_coordination::plan::ConfirmStep;
use cranberryvalve_coordination::plan::Confirmation;
use cranberryvalve_coordination::plan::HEAD_KEY;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_coordination::plan::body_key;
use cranberryvalve_coordination::store::Fate;
use cranberryvalve_coordination::store::MemoryStore;
use cranberryvalve_coordination::store::StoreCommand;
use cranberryvalve_core::Config;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::Digest;
use cranberryvalve_core::PlanId;

/// Faults in one run, at most.
const MAX_FAULTS: u32 = 2;

/// Failed operations after which a confirmation ends; few, so that the faults reach every verdict.
const MAX_FAILURES: u32 = 2;

#[derive(Debug, Clone)]
enum Stage {
    Running(Box<Confirmation>, StoreCommand),
    Ended(ConfirmOutcome),
}

#[derive(Debug, Clone)]
struct World {
    store: MemoryStore,
    stages: Vec<Stage>,
    plans: Vec<PlanId>,
    faults: u32,
}

fn plan(id: &str, base: &ConfigDocument) -> Plan {
    Plan::new(id.into(), id.into(), base, Arc::new(Config::default()))
}

/// Runs a confirmation to its end without faults.
fn run(store: &mut MemoryStore, plan: &Plan) -> ConfirmOutcome {
    let (mut confirmation, mut command) = Confirmation::new(plan, 1);
    loop {
        match confirmation.on_reply(store.execute(&command, Fate::Answered)) {
            ConfirmStep::Command(next) => command = next,
            ConfirmStep::Done(outcome) => return outcome,
        }
    }
}

impl World {
    /// The plans `a`, again `a`, and `b`, made for the same base.
    fn new() -> Self {
        let mut store = MemoryStore::default();
        let genesis = ConfigDocument::genesis();
        assert_eq!(
            run(&mut store, &plan("first", &genesis)),
            ConfirmOutcome::Applied { version: 1 }
        );
        let base = history(&store).remove(0);
        let plans = [plan("a", &base), plan("a", &base), plan("b", &base)];
        let stages = plans.iter().enumerate().map(|(number, plan)| {
            let (confirmation, command) = Confirmation::new(plan, number as u64);
            Stage::Running(Box::new(confirmation.max_failures(MAX_FAILURES)), command)
        });
        Self {
            store,
            stages: stages.collect(),
            plans: plans.iter().map(|it| it.id.clone()).collect(),
            faults: 0,
        }
    }

    fn next(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        for (number, stage) in self.stages.iter().enumerate() {
            let Stage::Running(..) = stage else { continue };
            worlds.push(self.step(number, Fate::Answered));
            if self.faults < MAX_FAULTS {
                worlds.extend(Fate::FAULTS.map(|fate| self.step(number, fate)));
            }
        }
        if self.store.has_late() {
            let mut world = self.clone();
            world.store.deliver_late();
            worlds.push(world);
        }
        worlds
    }

    fn step(&self, number: usize, fate: Fate) -> Self {
        let mut world = self.clone();
        world.faults += u32::from(fate != Fate::Answered);
        let Stage::Running(confirmation, command) = &mut world.stages[number] else {
            panic!("an ended confirmation takes no step")
        };
        let reply = world.store.execute(command, fate);
        let stage = match confirmation.on_reply(reply) {
            ConfirmStep::Command(next) => Stage::Running(confirmation.clone(), next),
            ConfirmStep::Done(outcome) => Stage::Ended(outcome),
        };
        world.stages[number] = stage;
        world
    }

    fn verdicts(&self) -> Vec<&'static str> {
        let ended = self.stages.iter().filter_map(|stage| match stage {
            Stage::Running(..) => None,
            Stage::Ended(ConfirmOutcome::Applied { .. }) => Some("applied"),
            Stage::Ended(ConfirmOutcome::Stale { .. }) => Some("stale"),
            Stage::Ended(ConfirmOutcome::NotApplied { .. }) => Some("not applied"),
            Stage::Ended(ConfirmOutcome::Unknown) => Some("unknown"),
        });
        ended.collect()
    }

    /// At the end each answer must agree with the history.
    fn check_end(&self) {
        let history = history(&self.store);
        let versions: Vec<u64> = history.iter().map(|it| it.version).collect();
        let expected: Vec<u64> = (1..=history.len() as u64).rev().collect();
        assert_eq!(versions, expected, "{self:?}");
        assert!(history.len() <= 2, "two plans for one base are applied: {self:?}");
        for (stage, plan) in self.stages.iter().zip(&self.plans) {
            let is_applied = history.iter().any(|it| it.plan == *plan);
            match stage {
                Stage::Ended(ConfirmOutcome::Applied { .. }) => assert!(is_applied, "{self:?}"),
                Stage::Ended(ConfirmOutcome::Stale { .. }) => assert!(!is_applied, "{self:?}"),
                // The plan `a` has a second confirmation, which may have applied it.
                Stage::Ended(ConfirmOutcome::NotApplied { .. }) if &**plan == "b" => {
                    assert!(!is_applied, "{self:?}");
                }
                Stage::Ended(ConfirmOutcome::NotApplied { .. } | ConfirmOutcome::Unknown)
                | Stage::Running(..) => {}
            }
        }
    }

    /// Confirming once more, without faults, tells what became of a plan.
    fn check_resolvable(&mut self) {
        let first = history(&self.store).pop().expect("the first version");
        let outcome = run(&mut self.store, &plan("a", &first));
        let is_verdict =
            matches!(outcome, ConfirmOutcome::Applied { .. } | ConfirmOutcome::Stale { .. });
        assert!(is_verdict, "{outcome:?}");
    }
}

/// All versions, the newest first.
fn history(store: &MemoryStore) -> Vec<ConfigDocument> {
    let head = store.row(HEAD_KEY).and_then(Head::from_bytes).expect("a head");
    let mut digest = Some(head.digest);
    let mut documents = Vec::new();
    while let Some(present) = digest {
        let body = store.object(&body_key(&present)).expect("a head never names a missing body");
        let document = ConfigDocument::from_bytes(body).expect("a document");
        digest = document.previous.clone();
        documents.push(document);
    }
    documents
}

#[test]
fn no_interleaving_applies_both() {
    let mut visited = HashSet::new();
    let mut open = vec![World::new()];
    let mut verdicts = HashSet::new();
    while let Some(mut world) = open.pop() {
        if !visited.insert(Digest::of(format!("{world:?}").as_bytes())) {
            continue;
        }
        let next = world.next();
        if next.is_empty() {
            verdicts.extend(world.verdicts());
            world.check_end();
            world.check_resolvable();
        }
        open.extend(next);
    }
    assert!(visited.len() > 10_000, "only {} states", visited.len());
    let all = HashSet::from(["applied", "stale", "not applied", "unknown"]);
    assert_eq!(verdicts, all, "the search must reach every verdict");
}

#[test]
fn earlier_plan_is_found_in_history() {
    let mut store = MemoryStore::default();
    let genesis = ConfigDocument::genesis();
    let first = plan("first", &genesis);
    run(&mut store, &first);
    for number in 2..5 {
        let base = history(&store).remove(0);
        run(&mut store, &plan(&format!("later-{number}"), &base));
    }
    assert_eq!(run(&mut store, &first), ConfirmOutcome::Applied { version: 1 });
    let overtaken = run(&mut store, &plan("overtaken", &genesis));
    let expected = ConfirmOutcome::Stale {
        current_version: 4,
        overtaken_by: "first".into(),
        operator: "first".into(),
    };
    assert_eq!(overtaken, expected);
}
