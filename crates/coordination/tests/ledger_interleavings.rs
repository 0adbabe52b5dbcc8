//! Every interleaving of two claimants, the store, its faults and crashes.

use std::collections::HashSet;

use cranberryvalve_coordination::ledger::Claim;
use cranberryvalve_coordination::ledger::ClaimStep;
use cranberryvalve_coordination::ledger::LedgerRow;
use cranberryvalve_coordination::ledger::RecordedAnswer;
use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::ledger::SendPermit;
use cranberryvalve_coordination::store::Fate;
use cranberryvalve_coordination::store::MemoryStore;
use cranberryvalve_coordination::store::Row;
use cranberryvalve_coordination::store::StoreCommand;
use cranberryvalve_coordination::store::StoreReply;
use cranberryvalve_coordination::store::WriteResult;
use cranberryvalve_core::Digest;

/// Faults in one run, at most.
const MAX_FAULTS: u32 = 3;

/// One step of the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// A claimant's command meets its fate.
    Store(usize, Fate),
    /// A claimant with the right sends the call, and the upstream runs it.
    Send(usize),
    /// A claimant with the right sends the call, and the upstream attests that it refuses it.
    SendRefused(usize),
    /// A claimant with the right gives it up.
    GiveUp(usize),
    /// A claimant dies.
    Crash(usize),
    /// The first late command is carried out.
    LateArrives,
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

/// What callers and upstreams see of one claimant.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Seen {
    runs: u32,
    told_not_run: bool,
    told_unknown: bool,
}

#[derive(Debug)]
struct World {
    store: MemoryStore,
    stages: Vec<Stage>,
    seen: Vec<Seen>,
    faults: u32,
}

const KEY: &str = "ledger/tasman/booking-1";

impl World {
    fn new() -> Self {
        let claimants = ["token-a", "token-b"].map(|token| {
            let (claim, command) = Claim::new(KEY.into(), token.into(), Digest::of(b"request"));
            Stage::Claiming(claim, command)
        });
        Self {
            store: MemoryStore::default(),
            stages: claimants.into_iter().collect(),
            seen: vec![Seen::default(); 2],
            faults: 0,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let may_fail = self.faults < MAX_FAULTS;
        let mut steps = Vec::new();
        for (claimant, stage) in self.stages.iter().enumerate() {
            match stage {
                Stage::Claiming(..) | Stage::Releasing(..) | Stage::Recording(_) => {
                    steps.push(Step::Store(claimant, Fate::Answered));
                    if may_fail {
                        steps.extend(Fate::FAULTS.map(|fate| Step::Store(claimant, fate)));
                        steps.push(Step::Crash(claimant));
                    }
                }
                Stage::Granted(_) => {
                    steps.extend([Step::Send(claimant), Step::GiveUp(claimant)]);
                    if may_fail {
                        steps.extend([Step::SendRefused(claimant), Step::Crash(claimant)]);
                    }
                }
                Stage::Ended | Stage::Crashed => {}
            }
        }
        if self.store.has_late() {
            steps.push(Step::LateArrives);
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        let (Step::Store(claimant, _)
        | Step::Send(claimant)
        | Step::SendRefused(claimant)
        | Step::GiveUp(claimant)
        | Step::Crash(claimant)) = step
        else {
            self.store.deliver_late();
            return;
        };
        let stage = std::mem::replace(&mut self.stages[claimant], Stage::Ended);
        self.stages[claimant] = match (step, stage) {
            (Step::Store(_, fate), stage) => self.on_store(claimant, stage, fate),
            (Step::Crash(_), _) => {
                self.faults += 1;
                Stage::Crashed
            }
            (Step::Send(_), Stage::Granted(permit)) => {
                self.seen[claimant].runs += 1;
                Stage::Recording(permit.send().record(answer()))
            }
            (Step::SendRefused(_), Stage::Granted(permit)) => {
                self.faults += 1;
                Stage::Granted(permit.send().refused())
            }
            (Step::GiveUp(_), Stage::Granted(permit)) => {
                self.seen[claimant].told_not_run = true;
                releasing(permit.release())
            }
            (step, stage) => panic!("{step:?} is no step of {stage:?}"),
        };
    }

    fn on_store(&mut self, claimant: usize, stage: Stage, fate: Fate) -> Stage {
        match stage {
            Stage::Claiming(mut claim, command) => {
                let reply = self.reply(&command, fate);
                match claim.on_reply(reply) {
                    ClaimStep::Command(next) => Stage::Claiming(claim, next),
                    ClaimStep::Granted(permit) => Stage::Granted(permit),
                    ClaimStep::Replay(_) => Stage::Ended,
                    ClaimStep::HeldByOther => {
                        self.seen[claimant].told_unknown = true;
                        Stage::Ended
                    }
                    ClaimStep::KeyReused => panic!("both claimants ask the same"),
                    ClaimStep::GivenUp(release) => {
                        self.seen[claimant].told_not_run = true;
                        if release.is_done() { Stage::Ended } else { releasing(release) }
                    }
                }
            }
            Stage::Releasing(mut release, command) => {
                let reply = self.reply(&command, fate);
                match release.on_reply(&reply) {
                    Some(next) => Stage::Releasing(release, next),
                    None if release.is_done() => Stage::Ended,
                    None => releasing(release),
                }
            }
            Stage::Recording(command) => {
                self.reply(&command, fate);
                Stage::Ended
            }
            other => other,
        }
    }

    fn reply(&mut self, command: &StoreCommand, fate: Fate) -> StoreReply {
        if fate != Fate::Answered {
            self.faults += 1;
        }
        self.store.execute(command, fate)
    }

    fn runs(&self) -> u32 {
        self.seen.iter().map(|it| it.runs).sum()
    }

    fn check(&self, path: &[Step]) {
        assert!(self.runs() <= 1, "run {} times: {path:?}", self.runs());
        for seen in &self.seen {
            let lied = seen.told_not_run && seen.runs > 0;
            assert!(!lied, "told not run, and run: {path:?}");
        }
    }

    /// A key whose claimants all ended without running it must be free for a new claim.
    fn check_end(&mut self, path: &[Step]) {
        let crashed = self.stages.iter().any(|it| matches!(it, Stage::Crashed));
        if crashed || self.runs() > 0 {
            return;
        }
        let (mut claim, mut command) =
            Claim::new(KEY.into(), "token-c".into(), Digest::of(b"request"));
        loop {
            let reply = self.store.execute(&command, Fate::Answered);
            match claim.on_reply(reply) {
                ClaimStep::Command(next) => command = next,
                ClaimStep::Granted(_) => return,
                other => panic!("the key is stuck with {other:?}: {path:?}"),
            }
        }
    }
}

fn releasing(release: Release) -> Stage {
    let command = release.start();
    Stage::Releasing(release, command)
}

fn answer() -> RecordedAnswer {
    RecordedAnswer { status: 200, content_type: "text/plain".into(), body: "booked".into() }
}

fn replay(path: &[Step]) -> World {
    let mut world = World::new();
    for step in path {
        world.apply(*step);
    }
    world
}

#[test]
fn no_interleaving_runs_twice() {
    let mut visited = HashSet::new();
    let mut open = vec![Vec::new()];
    let mut ends = 0_u32;
    while let Some(path) = open.pop() {
        let mut world = replay(&path);
        if !visited.insert(Digest::of(format!("{world:?}").as_bytes())) {
            continue;
        }
        world.check(&path);
        let steps = world.steps();
        if steps.is_empty() {
            ends += 1;
            world.check_end(&path);
        }
        for step in steps {
            let mut longer = path.clone();
            longer.push(step);
            open.push(longer);
        }
    }
    assert!(visited.len() > 10_000, "only {} states", visited.len());
    assert!(ends > 100, "only {ends} ends");
}

#[test]
fn reused_key_is_told() {
    let request = Digest::of(b"request");
    let row = LedgerRow::Answered { token: "token-a".into(), request, answer: answer() };
    let (mut claim, _) = Claim::new(KEY.into(), "token-b".into(), Digest::of(b"other"));
    claim.on_reply(StoreReply::Write(WriteResult::Conflict));
    let step = claim.on_reply(StoreReply::Read(Some(Row { version: 2, value: row.to_bytes() })));
    assert_eq!(step, ClaimStep::KeyReused);
}
