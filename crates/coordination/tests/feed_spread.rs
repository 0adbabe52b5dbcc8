//! A directory spreads within a failure domain of the target size, in virtual time.
//!
//! 340 VMs in 8 failure domains are 43 VMs in each; the domains do not depend on each other.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::feed::Changes;
use cranberryvalve_coordination::feed::FeedDelta;
use cranberryvalve_coordination::feed::FeedLog;
use cranberryvalve_coordination::feed::Merge;
use cranberryvalve_coordination::feed::Row;
use cranberryvalve_coordination::feed::RowChange;
use cranberryvalve_coordination::feed::Snapshot;
use cranberryvalve_coordination::watch::REPORT_DELAY_AFTER_CHANGE;
use cranberryvalve_coordination::watch::REPORT_INTERVAL;
use cranberryvalve_coordination::watch::WATCHERS;
use cranberryvalve_coordination::watch::WatchDuty;
use cranberryvalve_core::StorePosition;
use cranberryvalve_core::VmId;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const VMS: usize = 43;
const STEP: Duration = Duration::from_millis(20);
/// Time after which the members of a failure domain drop a dead one.
const DEAD_AFTER: Duration = Duration::from_secs(3);
/// Time that a reader waits before it polls again, as the relay does after a change or a failure.
const POLL_DELAY: Duration = Duration::from_millis(240);

struct Vm {
    id: VmId,
    duty: WatchDuty,
    log: FeedLog,
    polled_at: Instant,
    report_due_at: Instant,
    is_alive: bool,
    /// Whether the source turns this VM away.
    is_turned_away: bool,
    died_at: Option<Instant>,
}

enum Message {
    Report { from: usize, reaches_source: bool, delta: Option<FeedDelta>, position: StorePosition },
    Request { from: usize, position: Option<StorePosition> },
}

struct Domain {
    now: Instant,
    rng: Pcg64,
    loss: f64,
    source: FeedLog,
    vms: Vec<Vm>,
    in_flight: Vec<(usize, Message)>,
    reads: usize,
    messages: usize,
}

impl Domain {
    fn new(seed: u64, loss: f64) -> Self {
        let now = Instant::now();
        let mut source = FeedLog::default();
        let position = StorePosition { era: 1, version: 1 };
        source.replace(&Snapshot { rows: Vec::new(), position });
        let vm = |number: usize| Vm {
            id: format!("vm-{number}").into(),
            duty: WatchDuty::new(now),
            log: FeedLog::default(),
            polled_at: now,
            report_due_at: now,
            is_alive: true,
            is_turned_away: false,
            died_at: None,
        };
        let mut vms: Vec<Vm> = (0..VMS).map(vm).collect();
        // Each VM reads the table once when it starts.
        vms.iter_mut()
            .for_each(|it| drop(it.log.merge(source.since(None).expect("the table was read"))));
        let rng = Pcg64::seed_from_u64(seed);
        Self { now, rng, loss, source, vms, in_flight: Vec::new(), reads: 0, messages: 0 }
    }

    fn write(&mut self, key: &str) {
        let base = self.source.position().expect("the table was read");
        let position = StorePosition { version: base.version + 1, ..base };
        let row = Row { key: key.into(), value: position.version.to_le_bytes().to_vec() };
        let changes = vec![RowChange::Put(row)];
        assert!(self.source.apply(base, &Changes { changes, position }));
    }

    /// Returns the VMs that the others believe to be alive.
    fn members(&self) -> Vec<VmId> {
        let is_listed = |it: &&Vm| it.died_at.is_none_or(|at| self.now < at + DEAD_AFTER);
        self.vms.iter().filter(is_listed).map(|it| it.id.clone()).collect()
    }

    fn readers(&self) -> Vec<usize> {
        let members = self.members();
        let is_reader = |it: &usize| {
            let vm = &self.vms[*it];
            vm.is_alive && vm.duty.is_reader(self.now, &vm.id, &members)
        };
        (0..VMS).filter(is_reader).collect()
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for reader in self.readers() {
            self.read(reader);
        }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.step();
        }
    }

    fn read(&mut self, reader: usize) {
        let vm = &mut self.vms[reader];
        if self.now < vm.polled_at + POLL_DELAY {
            return;
        }
        let is_report_due = self.now >= vm.report_due_at;
        let delta = if vm.is_turned_away { None } else { self.source.since(vm.log.position()) };
        if delta.is_none() && !vm.is_turned_away && !is_report_due {
            // The poll is still waiting for a change.
            return;
        }
        vm.polled_at = self.now;
        self.reads += usize::from(delta.is_some() || vm.is_turned_away);
        let is_changed = delta.is_some();
        let delay = if is_changed { REPORT_DELAY_AFTER_CHANGE } else { REPORT_INTERVAL };
        vm.report_due_at = self.now + delay;
        if let Some(delta) = delta.clone() {
            assert_ne!(vm.log.merge(delta), Merge::Gap);
        }
        let (position, reaches_source) =
            (vm.log.position().expect("the table was read"), !vm.is_turned_away);
        for to in (0..VMS).filter(|it| *it != reader) {
            let delta = delta.clone();
            self.send(to, Message::Report { from: reader, reaches_source, delta, position });
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        self.messages += 1;
        if self.rng.random::<f64>() >= self.loss {
            self.in_flight.push((to, message));
        }
    }

    fn deliver(&mut self) {
        for (to, message) in std::mem::take(&mut self.in_flight) {
            if !self.vms[to].is_alive {
                continue;
            }
            match message {
                Message::Report { from, reaches_source, delta, position } => {
                    let sender = self.vms[from].id.clone();
                    let vm = &mut self.vms[to];
                    vm.duty.on_report(self.now, &sender, reaches_source);
                    let before = vm.log.position();
                    let merge = delta.map_or(Merge::Known, |it| vm.log.merge(it));
                    assert!(vm.log.position() >= before);
                    if merge == Merge::Gap || vm.log.position() < Some(position) {
                        let position = vm.log.position();
                        self.send(from, Message::Request { from: to, position });
                    }
                }
                Message::Request { from, position } => {
                    let vm = &self.vms[to];
                    let Some(delta) = vm.log.since(position) else { continue };
                    let position = vm.log.position().expect("the table was read");
                    let report = Message::Report {
                        from: to,
                        reaches_source: true,
                        delta: Some(delta),
                        position,
                    };
                    self.send(from, report);
                }
            }
        }
    }

    /// Returns the time until all living VMs know the present state of the source.
    fn time_to_spread(&mut self) -> Duration {
        let start = self.now;
        let target = self.source.position();
        while self.vms.iter().any(|it| it.is_alive && it.log.position() < target) {
            self.step();
            assert!(self.now < start + Duration::from_secs(30), "a change does not spread");
        }
        self.now - start
    }

    fn kill(&mut self, vm: usize) {
        self.vms[vm].is_alive = false;
        self.vms[vm].died_at = Some(self.now);
    }
}

/// A quarter of the platform's time for an upstream to drain, on large deployments.
const LEAVING_BOUND: Duration = Duration::from_millis(1_000);

#[test]
fn change_reaches_all_vms_in_time_over_loss() {
    for seed in 0..20 {
        let mut domain = Domain::new(seed, 0.02);
        domain.run(Duration::from_secs(5));
        for change in 0..20 {
            domain.write(&format!("engine-{}", change % 7));
            let time = domain.time_to_spread();
            assert!(time <= LEAVING_BOUND, "seed {seed}: {time:?}");
            domain.run(Duration::from_millis(700));
        }
    }
}

#[test]
fn few_vms_read_the_source() {
    let mut domain = Domain::new(1, 0.0);
    domain.run(Duration::from_secs(5));
    assert_eq!(domain.readers().len(), WATCHERS);
    domain.reads = 0;
    for change in 0..10 {
        domain.write(&format!("engine-{change}"));
        domain.run(Duration::from_secs(1));
    }
    assert_eq!(domain.reads, 10 * WATCHERS);
}

#[test]
fn change_spreads_while_watchers_die_one_after_another() {
    for seed in 0..20 {
        let mut domain = Domain::new(seed, 0.02);
        domain.run(Duration::from_secs(5));
        for change in 0..6 {
            let watcher = domain.readers()[0];
            domain.kill(watcher);
            domain.run(Duration::from_millis(500));
            domain.write(&format!("engine-{change}"));
            let time = domain.time_to_spread();
            assert!(time <= LEAVING_BOUND, "seed {seed}: {time:?}");
            domain.run(DEAD_AFTER);
        }
    }
}

#[test]
fn vms_that_reach_the_source_feed_the_others() {
    for seed in 0..20 {
        let mut domain = Domain::new(seed, 0.02);
        domain.run(Duration::from_secs(5));
        for vm in 0..VMS {
            domain.vms[vm].is_turned_away = domain.rng.random::<f64>() < 0.33;
        }
        let watchers = domain.readers();
        // In the worst case all watchers are among them.
        watchers.iter().for_each(|it| domain.vms[*it].is_turned_away = true);
        domain.run(Duration::from_secs(3));
        for change in 0..5 {
            domain.write(&format!("engine-{change}"));
            let time = domain.time_to_spread();
            assert!(time <= LEAVING_BOUND, "seed {seed}: {time:?}");
            domain.run(Duration::from_millis(700));
        }
    }
}

#[test]
fn outage_and_return_of_the_source_are_not_met_by_all_vms() {
    let mut domain = Domain::new(3, 0.0);
    domain.run(Duration::from_secs(5));
    domain.vms.iter_mut().for_each(|it| it.is_turned_away = true);
    let mut most = 0;
    for _ in 0..8_000 / STEP.as_millis() {
        domain.step();
        most = most.max(domain.readers().len());
    }
    assert!(most <= 12, "{most} readers");
    domain.vms.iter_mut().for_each(|it| it.is_turned_away = false);
    domain.write("engine-1");
    domain.run(Duration::from_secs(2));
    assert_eq!(domain.readers().len(), WATCHERS);
}

#[test]
fn logs_agree_with_the_source_after_any_history() {
    for seed in 0..200 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut position = StorePosition { era: 1, version: 10 };
        let mut rows: HashMap<String, u8> = HashMap::new();
        let mut readers = [FeedLog::default(), FeedLog::default()];
        let mut follower = FeedLog::default();
        for _ in 0..60 {
            match rng.random_range(0..10) {
                0 => {
                    // Restored from a copy: an earlier version of a later era.
                    position = StorePosition { era: position.era + 1, version: 5 };
                    rows.retain(|_, _| rng.random());
                }
                1..6 => {
                    let key = format!("k{}", rng.random_range(0..6));
                    if rng.random::<f64>() < 0.3 {
                        rows.remove(&key);
                    } else {
                        rows.insert(key, rng.random());
                    }
                    position.version += rng.random_range(1..4);
                }
                _ => {
                    let reader = &mut readers[rng.random_range(0..2)];
                    let table = rows.iter();
                    let table = table
                        .map(|(key, value)| Row { key: key.as_str().into(), value: vec![*value] });
                    let delta = reader.replace(&Snapshot { rows: table.collect(), position });
                    let is_lost = rng.random::<f64>() < 0.3;
                    let merge = delta.filter(|_| !is_lost).map(|it| follower.merge(it));
                    if merge == Some(Merge::Gap) || rng.random::<f64>() < 0.2 {
                        let missing = reader.since(follower.position());
                        assert_ne!(missing.map(|it| follower.merge(it)), Some(Merge::Gap));
                    }
                    if follower.position() == reader.position() {
                        let state = |log: &FeedLog| log.since(None);
                        assert_eq!(state(&follower), state(reader), "seed {seed}");
                    }
                }
            }
        }
    }
}
