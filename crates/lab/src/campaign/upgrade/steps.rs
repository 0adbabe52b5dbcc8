//! The steps of an upgrade, drawn from a seed.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

/// Time before the first step, in milliseconds.
const FIRST_STEP_MS: u64 = 1_000;

/// Time after the start of the last step for which the workload goes on, in milliseconds.
const SETTLING_MS: u64 = 3_000;

/// Range of the time for which an upgrade stops halfway, in milliseconds.
const HALT_MS: Range<u64> = 5_000..9_000;

/// A program of an upgrade.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Program {
    Old,
    New,
}

/// How a VM ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    Kill,
    Stop,
    /// It is killed this time after SIGTERM.
    KillWhileStopping(Duration),
}

/// How an upgrade goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Course {
    /// All VMs, one after the other.
    Forward,
    /// It stops halfway.
    Halted,
    /// Halfway it goes back, and then forward again.
    Returned,
    /// After all VMs it goes back halfway, stops there, and goes forward again.
    Withdrawn,
}

impl Course {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Forward => "forward",
            Self::Halted => "halted",
            Self::Returned => "returned",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// The end of a VM, and the start of a program in its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Step {
    pub(super) at: Duration,
    pub(super) vm: usize,
    pub(super) ending: Ending,
    /// Time between the end and the start.
    pub(super) down: Duration,
    pub(super) program: Program,
}

/// An upgrade.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Steps {
    pub(super) course: Course,
    /// The steps in the order of their times.
    pub(super) list: Vec<Step>,
    /// When the store is away.
    pub(super) store_outage: Range<Duration>,
    /// Time for which the workload goes on.
    pub(super) length: Duration,
}

/// Steps while they are drawn.
struct Draft {
    rng: Pcg64Mcg,
    at_ms: u64,
    interval_ms: u64,
    list: Vec<Step>,
}

impl Draft {
    fn replace(&mut self, vms: &[usize], program: Program) {
        for vm in vms {
            let ending = match self.rng.random_range(0..6) {
                0 => Ending::Kill,
                1 => Ending::KillWhileStopping(self.random_ms(0..600)),
                _ => Ending::Stop,
            };
            let down = self.random_ms(0..1_000);
            let at = Duration::from_millis(self.at_ms);
            self.list.push(Step { at, vm: *vm, ending, down, program });
            self.at_ms += self.interval_ms + self.rng.random_range(0..=self.interval_ms / 2);
        }
    }

    fn halt(&mut self) {
        self.at_ms += self.rng.random_range(HALT_MS);
    }

    fn random_ms(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Adds a crash, after which the VM runs what it ran before.
    fn crash(&mut self, vms: usize) {
        let vm = self.rng.random_range(0..vms);
        let first = Duration::from_millis(FIRST_STEP_MS / 2);
        let at = first + self.random_ms(0..self.at_ms);
        let before = self.list.iter().rfind(|it| it.vm == vm && it.at <= at);
        let program = before.map_or(Program::Old, |it| it.program);
        let down = self.random_ms(0..1_000);
        self.list.push(Step { at, vm, ending: Ending::Kill, down, program });
        self.list.sort_by_key(|it| it.at);
    }
}

impl Steps {
    /// Draws the upgrade of a seed, at whose end all VMs run the new program.
    pub(super) fn from_seed(seed: u64, vms: usize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut order: Vec<usize> = (0..vms).collect();
        order.shuffle(&mut rng);
        let halfway = rng.random_range(1..vms.max(2));
        let first = &order[..halfway];
        let interval_ms = [0, 400, 1_000, 2_000][rng.random_range(0..4)];
        let courses = [Course::Forward, Course::Halted, Course::Returned, Course::Withdrawn];
        let course = courses[(seed % 4) as usize];
        let mut draft = Draft { rng, at_ms: FIRST_STEP_MS, interval_ms, list: Vec::new() };
        match course {
            Course::Forward => draft.replace(&order, Program::New),
            Course::Halted => {
                draft.replace(first, Program::New);
                draft.halt();
                draft.replace(&order[halfway..], Program::New);
            }
            Course::Returned => {
                draft.replace(first, Program::New);
                draft.replace(first, Program::Old);
                draft.replace(&order, Program::New);
            }
            Course::Withdrawn => {
                draft.replace(&order, Program::New);
                draft.replace(first, Program::Old);
                draft.halt();
                draft.replace(first, Program::New);
            }
        }
        draft.crash(vms);
        let outage = draft.random_ms(0..draft.at_ms);
        let store_outage = outage..outage + draft.random_ms(300..2_500);
        let length = Duration::from_millis(draft.at_ms + SETTLING_MS);
        Self { course, list: draft.list, store_outage, length }
    }
}

#[cfg(test)]
mod tests;
