//! Explores all interleavings of two claimants of one call, with store faults and crashes.

use std::collections::HashSet;

use cranberryvalve_coordination::ledger::Claim;
use cranberryvalve_coordination::ledger::ClaimStep;
use cranberryvalve_coordination::ledger::LedgerRow;
use cranberryvalve_coordination::ledger::RecordedResponse;
use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::ledger::SendPermit;
use cranberryvalve_coordination::store::Delivery;
use cranberryvalve_coordination::store::MemoryStore;
use cranberryvalve_coordination::store::Row;
use cranberryvalve_coordination::store::StoreCommand;
use cranberryvalve_coordination::store::StoreReply;
use cranberryvalve_coordination::store::WriteResult;
use cranberryvalve_core::Digest;

/// Maximum number of faults in one interleaving.
const MAX_FAULTS: u32 = 3;

/// One transition of the simulated system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// A claimant sends a command to the store, with the given delivery.
    Store(usize, Delivery),
    /// A claimant with a permit sends the call, and the upstream runs it.
    Send(usize),
    /// A claimant with a permit sends the call, and the upstream confirms that it refused it.
    SendRefused(usize),
    /// A claimant with a permit releases it.
    Release(usize),
    /// A claimant crashes.
    Crash(usize),
    /// The store executes the oldest delayed command.
    DelayedCommand,
}

#[derive(Debug)]
enum Stage {
    Claiming(Claim, StoreCommand),
    Granted(SendPermit),
    Releasing(Release, StoreCommand),
    Recording(StoreCommand),
    Ended,
    Crashed,
}

/// Behaviour of one claimant as observed by its caller and by upstreams.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Observations {
    runs: u32,
    reported_not_run: bool,
    reported_unknown: bool,
}

#[derive(Debug)]
struct Simulation {
    store: MemoryStore,
    stages: Vec<Stage>,
    observed: Vec<Observations>,
    faults: u32,
}

const KEY: &str = "ledger/tasman/booking-1";

impl Simulation {
    fn new() -> Self {
        let claimants = ["token-a", "token-b"].map(|token| {
            let (claim, command) = Claim::new(KEY.into(), token.into(), Digest::of(b"request"));
            Stage::Claiming(claim, command)
        });
        Self {
            store: MemoryStore::default(),
            stages: claimants.into_iter().collect(),
            observed: vec![Observations::default(); 2],
            faults: 0,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let may_fail = self.faults < MAX_FAULTS;
        let mut steps = Vec::new();
        for (claimant, stage) in self.stages.iter().enumerate() {
            match stage {
                Stage::Claiming(..) | Stage::Releasing(..) | Stage::Recording(_) => {
                    steps.push(Step::Store(claimant, Delivery::Answered));
                    if may_fail {
                        steps.extend(
                            Delivery::FAULTS.map(|delivery| Step::Store(claimant, delivery)),
                        );
                        steps.push(Step::Crash(claimant));
                    }
                }
                Stage::Granted(_) => {
                    steps.extend([Step::Send(claimant), Step::Release(claimant)]);
                    if may_fail {
                        steps.extend([Step::SendRefused(claimant), Step::Crash(claimant)]);
                    }
                }
                Stage::Ended | Stage::Crashed => {}
            }
        }
        if self.store.has_delayed() {
            steps.push(Step::DelayedCommand);
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        let (Step::Store(claimant, _)
        | Step::Send(claimant)
        | Step::SendRefused(claimant)
        | Step::Release(claimant)
        | Step::Crash(claimant)) = step
        else {
            self.store.execute_delayed();
            return;
        };
        let stage = std::mem::replace(&mut self.stages[claimant], Stage::Ended);
        self.stages[claimant] = match (step, stage) {
            (Step::Store(_, delivery), stage) => self.on_store(claimant, stage, delivery),
            (Step::Crash(_), _) => {
                self.faults += 1;
                Stage::Crashed
            }
            (Step::Send(_), Stage::Granted(permit)) => {
                self.observed[claimant].runs += 1;
                Stage::Recording(permit.send().record(response()))
            }
            (Step::SendRefused(_), Stage::Granted(permit)) => {
                self.faults += 1;
                Stage::Granted(permit.send().refused())
            }
            (Step::Release(_), Stage::Granted(permit)) => {
                self.observed[claimant].reported_not_run = true;
                start_release(permit.release())
            }
            (step, stage) => panic!("{step:?} is not possible in {stage:?}"),
        };
    }

    fn on_store(&mut self, claimant: usize, stage: Stage, delivery: Delivery) -> Stage {
        match stage {
            Stage::Claiming(mut claim, command) => {
                let reply = self.reply(&command, delivery);
                match claim.on_reply(reply) {
                    ClaimStep::Command(next) => Stage::Claiming(claim, next),
                    ClaimStep::Granted(permit) => Stage::Granted(permit),
                    ClaimStep::Replay(_) => Stage::Ended,
                    ClaimStep::HeldByOther => {
                        self.observed[claimant].reported_unknown = true;
                        Stage::Ended
                    }
                    ClaimStep::KeyReused => panic!("both claimants send the same request"),
                    ClaimStep::GivenUp(release) => {
                        self.observed[claimant].reported_not_run = true;
                        if release.is_done() { Stage::Ended } else { start_release(release) }
                    }
                }
            }
            Stage::Releasing(mut release, command) => {
                let reply = self.reply(&command, delivery);
                match release.on_reply(&reply) {
                    Some(next) => Stage::Releasing(release, next),
                    None if release.is_done() => Stage::Ended,
                    None => start_release(release),
                }
            }
            Stage::Recording(command) => {
                self.reply(&command, delivery);
                Stage::Ended
            }
            other => other,
        }
    }

    fn reply(&mut self, command: &StoreCommand, delivery: Delivery) -> StoreReply {
        if delivery != Delivery::Answered {
            self.faults += 1;
        }
        self.store.execute(command, delivery)
    }

    fn runs(&self) -> u32 {
        self.observed.iter().map(|it| it.runs).sum()
    }

    fn check_state(&self, path: &[Step]) {
        assert!(self.runs() <= 1, "call was run {} times: {path:?}", self.runs());
        for observed in &self.observed {
            let contradictory = observed.reported_not_run && observed.runs > 0;
            assert!(!contradictory, "reported as not run, but run: {path:?}");
        }
    }

    /// Checks that a new claim is granted if all claimants ended without running the call.
    fn check_final_state(&mut self, path: &[Step]) {
        let crashed = self.stages.iter().any(|it| matches!(it, Stage::Crashed));
        if crashed || self.runs() > 0 {
            return;
        }
        let (mut claim, mut command) =
            Claim::new(KEY.into(), "token-c".into(), Digest::of(b"request"));
        loop {
            let reply = self.store.execute(&command, Delivery::Answered);
            match claim.on_reply(reply) {
                ClaimStep::Command(next) => command = next,
                ClaimStep::Granted(_) => return,
                other => panic!("the key cannot be claimed again, got {other:?}: {path:?}"),
            }
        }
    }
}

fn start_release(release: Release) -> Stage {
    let command = release.start();
    Stage::Releasing(release, command)
}

fn response() -> RecordedResponse {
    RecordedResponse { status: 200, content_type: "text/plain".into(), body: "booked".into() }
}

fn replay(path: &[Step]) -> Simulation {
    let mut simulation = Simulation::new();
    for step in path {
        simulation.apply(*step);
    }
    simulation
}

#[test]
fn no_interleaving_runs_the_call_twice() {
    let mut visited = HashSet::new();
    let mut unexplored = vec![Vec::new()];
    let mut final_states = 0_u32;
    while let Some(path) = unexplored.pop() {
        let mut simulation = replay(&path);
        if !visited.insert(Digest::of(format!("{simulation:?}").as_bytes())) {
            continue;
        }
        simulation.check_state(&path);
        let steps = simulation.steps();
        if steps.is_empty() {
            final_states += 1;
            simulation.check_final_state(&path);
        }
        for step in steps {
            let mut extended = path.clone();
            extended.push(step);
            unexplored.push(extended);
        }
    }
    assert!(visited.len() > 10_000, "only {} states", visited.len());
    assert!(final_states > 100, "only {final_states} final states");
}

#[test]
fn reused_key_is_reported() {
    let request = Digest::of(b"request");
    let row = LedgerRow::Answered { token: "token-a".into(), request, response: response() };
    let (mut claim, _) = Claim::new(KEY.into(), "token-b".into(), Digest::of(b"other"));
    claim.on_reply(StoreReply::Write(WriteResult::Conflict));
    let step = claim.on_reply(StoreReply::Read(Some(Row { version: 2, value: row.to_bytes() })));
    assert_eq!(step, ClaimStep::KeyReused);
}
