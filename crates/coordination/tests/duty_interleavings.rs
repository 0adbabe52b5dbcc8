//! Random interleavings of three VMs that report usage under a lease, with restorations of the store,
//! lost and delayed writes, crashes, suspensions, jumps of wall clocks and reports that arrive late.
//!
//! Guards against two different reports of a window, tokens that go down, a token of two holders, and
//! a holder that is back too soon. Each holder has other counts of a window.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::duties::AcquiringDuty;
use cranberryvalve_coordination::duties::DutyReply;
use cranberryvalve_coordination::duties::DutyRow;
use cranberryvalve_coordination::duties::DutySnapshot;
use cranberryvalve_coordination::duties::DutyStep;
use cranberryvalve_coordination::duties::DutyWrite;
use cranberryvalve_coordination::duties::HeldDuty;
use cranberryvalve_coordination::duties::IdleDuty;
use cranberryvalve_coordination::duties::LeaseTiming;
use cranberryvalve_coordination::duties::Moment;
use cranberryvalve_coordination::duties::StoredDuty;
use cranberryvalve_coordination::duties::WatchStep;
use cranberryvalve_coordination::usage::ReportPlan;
use cranberryvalve_coordination::usage::UsageReport;
use cranberryvalve_coordination::usage::UsageRules;
use cranberryvalve_coordination::usage::WindowState;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const VMS: usize = 3;
const WALKS: u64 = 10_000;
const STEPS: usize = 400;
const EPOCH_MS: u64 = 1_000_000_000;
const LEASE_MS: u64 = 3_000;
const POST_TIMEOUT_MS: u64 = 1_500;

/// Largest error of a VM's estimate of the true time, in milliseconds.
const MAX_CLOCK_ERROR_MS: u64 = 900;

const RULES: UsageRules =
    UsageRules { window: Duration::from_secs(5), due: Duration::from_secs(10), tolerance: 0.05 };

/// Rows with their revisions, by key.
type Rows = BTreeMap<String, (u64, DutyRow)>;

/// A store that checks revisions only, and assigns them again after a restoration.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    rows: Rows,
    history: Vec<(u64, Rows)>,
}

impl Store {
    fn read(&self) -> DutySnapshot {
        let rows = self.rows.values();
        let rows = rows.map(|it| StoredDuty { revision: it.0, row: Some(it.1.clone()) });
        DutySnapshot { era: self.era, rows: rows.collect() }
    }

    fn write(&mut self, write: &DutyWrite) -> DutyReply {
        if self.rows.get(&write.key()).map_or(0, |it| it.0) != write.revision {
            return DutyReply::Conflict;
        }
        self.history.push((self.version, self.rows.clone()));
        self.version += 1;
        self.rows.insert(write.key(), (self.version, write.row.clone()));
        DutyReply::Written(self.era, self.version)
    }

    fn restore(&mut self, lost: usize) {
        let kept = self.history.len() - lost;
        if let Some((version, rows)) = self.history.get(kept).cloned() {
            (self.version, self.rows) = (version, rows);
        }
        self.history.truncate(kept);
        self.era += 1;
    }
}

enum Stage {
    Idle(IdleDuty, u64),
    Acquiring(AcquiringDuty),
    Holding(HeldDuty),
    /// The reports from this one on are still to be sent.
    Posting(HeldDuty, usize),
    InDoubt(HeldDuty),
}

struct Vm {
    stage: Option<Stage>,
    /// Time that the monotonic clock has not counted.
    suspended_ms: u64,
    wall_error_ms: i64,
    clock_error_ms: u64,
    confirmed: BTreeSet<u64>,
}

struct Post {
    arrives_ms: u64,
    vm: usize,
    fencing: u64,
    report: UsageReport,
}

struct Walk {
    random: Pcg64,
    start: Instant,
    now_ms: u64,
    store: Store,
    delayed: Vec<DutyWrite>,
    vms: Vec<Vm>,
    posts: Vec<Post>,
    nonces: u64,
    accepted: BTreeMap<u64, UsageReport>,
    calls: Vec<(u64, usize, u64)>,
}

impl Walk {
    fn new(seed: u64, start: Instant) -> Self {
        let mut walk = Self {
            random: Pcg64::seed_from_u64(seed),
            start,
            now_ms: 0,
            store: Store::default(),
            delayed: Vec::new(),
            vms: Vec::new(),
            posts: Vec::new(),
            nonces: 0,
            accepted: BTreeMap::new(),
            calls: Vec::new(),
        };
        for number in 0..VMS {
            let vm = walk.fresh_vm(number);
            walk.vms.push(vm);
        }
        walk
    }

    fn fresh_vm(&mut self, number: usize) -> Vm {
        let name: Arc<str> = format!("vm-{number}").into();
        let timing = LeaseTiming { lease: Duration::from_millis(LEASE_MS) };
        Vm {
            stage: Some(Stage::Idle(IdleDuty::new(name, timing, RULES), 0)),
            suspended_ms: 0,
            wall_error_ms: 0,
            clock_error_ms: self.random.random_range(0..=2 * MAX_CLOCK_ERROR_MS),
            confirmed: BTreeSet::new(),
        }
    }

    fn moment(&self, vm: usize) -> Moment {
        let it = &self.vms[vm];
        let wall_ms = (EPOCH_MS + self.now_ms).saturating_add_signed(it.wall_error_ms);
        let at = self.start + Duration::from_millis(self.now_ms - it.suspended_ms);
        Moment { at, wall_ms }
    }

    fn true_ms(&self, vm: usize) -> u64 {
        EPOCH_MS + self.now_ms + self.vms[vm].clock_error_ms - MAX_CLOCK_ERROR_MS
    }

    fn step(&mut self) {
        let vm = self.random.random_range(0..VMS);
        match self.random.random_range(0..100) {
            0..=64 => self.act(vm),
            65..=81 => self.pass_up_to(500),
            82..=85 => self.pass_up_to(4_000),
            86 => self.vms[vm] = self.fresh_vm(vm),
            87..=88 => {
                let ms = self.random_up_to(8_000);
                self.pass(ms);
                self.vms[vm].suspended_ms += ms;
            }
            89 => self.vms[vm].wall_error_ms = self.random.random_range(-6_000..=6_000),
            90..=91 if !self.store.history.is_empty() => {
                let lost = self.random.random_range(1..=self.store.history.len().min(6));
                self.store.restore(lost);
            }
            92..=95 if !self.delayed.is_empty() => {
                let write = self.delayed.remove(0);
                self.store.write(&write);
            }
            _ => self.act(vm),
        }
    }

    fn pass_up_to(&mut self, max_ms: u64) {
        let ms = self.random_up_to(max_ms);
        self.pass(ms);
    }

    fn random_up_to(&mut self, max: u64) -> u64 {
        self.random.random_range(1..=max)
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.posts.sort_by_key(|it| it.arrives_ms);
        let late = self.posts.partition_point(|it| it.arrives_ms <= self.now_ms);
        for post in self.posts.drain(..late).collect::<Vec<_>>() {
            self.arrive(&post);
        }
    }

    /// Checks the rules when the endpoint receives a report.
    fn arrive(&mut self, post: &Post) {
        let (window, fencing) = (post.report.window, post.fencing);
        let known = self.accepted.entry(window).or_insert_with(|| post.report.clone());
        assert_eq!(*known, post.report, "two reports of window {window}");
        for (at_ms, vm, earlier) in &self.calls {
            assert!(*earlier <= fencing, "token {fencing} after {earlier}");
            assert!(*earlier != fencing || *vm == post.vm, "token {fencing} of two holders");
            let is_recent = at_ms + LEASE_MS > post.arrives_ms;
            let others = self.calls.iter().any(|it| it.0 >= *at_ms && it.1 != post.vm);
            assert!(!(is_recent && *vm == post.vm && others), "holder is back too soon");
        }
        self.calls.push((post.arrives_ms, post.vm, fencing));
        if self.random.random() {
            self.vms[post.vm].confirmed.insert(window);
        }
    }

    fn act(&mut self, vm: usize) {
        let stage = self.vms[vm].stage.take().expect("each VM has a stage");
        let now = self.moment(vm);
        let next = match stage {
            Stage::Idle(idle, read_at_ms) if read_at_ms > self.now_ms => {
                Stage::Idle(idle, read_at_ms)
            }
            Stage::Idle(idle, _) => {
                self.nonces += 1;
                let nonce = format!("n{}", self.nonces).into();
                match idle.on_snapshot(now, self.true_ms(vm), nonce, &self.store.read()) {
                    WatchStep::Wait(idle, delay) => {
                        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(0);
                        Stage::Idle(idle, self.now_ms + delay_ms)
                    }
                    WatchStep::Acquire(acquiring) => Stage::Acquiring(acquiring),
                }
            }
            Stage::Acquiring(acquiring) => {
                let reply = self.send(acquiring.write());
                match acquiring.on_reply(now, reply) {
                    DutyStep::Held(held) => Stage::Holding(held),
                    DutyStep::InDoubt(held) => Stage::InDoubt(held),
                    DutyStep::Lost(idle) => Stage::Idle(idle, 0),
                }
            }
            Stage::Holding(held) => self.renew(vm, now, held),
            Stage::Posting(held, next) if next < held.row().intended.len() => {
                self.post(vm, &held, next);
                Stage::Posting(held, next + 1)
            }
            Stage::Posting(held, _) => Stage::Holding(held),
            Stage::InDoubt(held) => match held.on_snapshot(&self.store.read()) {
                DutyStep::Held(held) => Stage::Holding(held),
                DutyStep::InDoubt(held) => Stage::InDoubt(held),
                DutyStep::Lost(idle) => Stage::Idle(idle, 0),
            },
        };
        self.vms[vm].stage = Some(next);
    }

    fn renew(&mut self, vm: usize, now: Moment, held: HeldDuty) -> Stage {
        // Each holder has other counts.
        let counts = self.random.random_range(0..1_000_000);
        let customer: Arc<str> = "a".into();
        let ready = |window| {
            let counts = BTreeMap::from([(customer.clone(), counts)]);
            WindowState::Ready(UsageReport { window, counts })
        };
        let row = (held.row().concluded, &*held.row().intended);
        let plan = ReportPlan::next(&RULES, self.true_ms(vm), row, &self.vms[vm].confirmed, ready);
        let write = held.renewal(plan.concluded, plan.intended);
        let reply = self.send(&write);
        // The reply takes a while.
        self.pass_up_to(600);
        match held.on_renewed(now, write, reply) {
            DutyStep::Held(held) => Stage::Posting(held, 0),
            DutyStep::InDoubt(held) => Stage::InDoubt(held),
            DutyStep::Lost(idle) => Stage::Idle(idle, 0),
        }
    }

    fn post(&mut self, vm: usize, held: &HeldDuty, next: usize) {
        if held.covers_action(self.moment(vm), Duration::from_millis(POST_TIMEOUT_MS)) {
            let arrives_ms = self.now_ms + self.random_up_to(POST_TIMEOUT_MS);
            let (fencing, report) = (held.row().fencing, held.row().intended[next].clone());
            self.posts.push(Post { arrives_ms, vm, fencing, report });
        }
    }

    fn send(&mut self, write: &DutyWrite) -> DutyReply {
        match self.random.random_range(0..20) {
            0 => DutyReply::InDoubt,
            1 => {
                self.delayed.push(write.clone());
                DutyReply::InDoubt
            }
            2 => {
                self.store.write(write);
                DutyReply::InDoubt
            }
            _ => self.store.write(write),
        }
    }
}

#[test]
fn interleavings_keep_the_rules_of_reports() {
    let start = Instant::now();
    let (mut reports, mut takeovers, mut eras) = (0, 0, 0);
    for seed in 0..WALKS {
        let mut walk = Walk::new(seed, start);
        for _ in 0..STEPS {
            walk.step();
        }
        reports += walk.accepted.len();
        let holders: BTreeSet<u64> = walk.calls.iter().map(|it| it.2).collect();
        takeovers += holders.len().saturating_sub(1);
        eras += usize::from(holders.iter().any(|it| it >> 32 > 0));
    }
    assert!(reports > 10_000, "only {reports} reports");
    assert!(takeovers > 1_000, "only {takeovers} takeovers");
    assert!(eras > 100, "only {eras} walks with a holder after a restoration");
}
