//! Streams continue only at the software version that began them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::home::coordinators_of;
use cranberryvalve_coordination::membership::DEAD_AFTER;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::origins::ORIGIN_COORDINATORS;
use cranberryvalve_coordination::origins::OriginLog;
use cranberryvalve_coordination::origins::STREAM_LIFETIME;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::origins::copy_holders_of;
use cranberryvalve_coordination::origins::stream_key;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::versions::RecordMark;
use cranberryvalve_coordination::versions::VersionHistory;
use cranberryvalve_coordination::versions::VersionRecord;
use cranberryvalve_core::SoftwareVersion;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const POOL: &str = "engines";
const VMS: usize = 340;
const DOMAINS: usize = 8;
const STREAMS: usize = 2_700;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { pool: POOL.into(), software_version: version.into() }
}

fn record(revision: u64, versions: &[&str]) -> VersionRecord {
    let versions = versions.iter().map(|it| (*it).into()).collect();
    VersionRecord { pool: POOL.into(), versions, revision }
}

fn vms() -> Vec<PeerAddress> {
    let address = |number: usize| PeerAddress {
        vm: format!("vm-{number}").into(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_340).into(),
        failure_domain: format!("domain-{}", number % DOMAINS).into(),
    };
    (0..VMS).map(address).collect()
}

/// Begins streams on all VMs with lossy links, takes the VMs in `lost` away, and takes the streams up
/// at the others. Returns the share of the streams whose origin is found.
fn found_share(seed: u64, loss: f64, lost: impl Fn(usize) -> bool) -> f64 {
    let mut random = Pcg64::seed_from_u64(seed);
    let (now, vms) = (Instant::now(), vms());
    let mut logs: BTreeMap<&str, OriginLog> = BTreeMap::new();
    for stream in 0..STREAMS {
        let key = stream_key(&format!("request-{stream}"));
        for coordinator in coordinators_of(key, &vms, ORIGIN_COORDINATORS) {
            if random.random::<f64>() >= loss {
                let log = logs.entry(&coordinator.vm).or_default();
                log.record(now, key, origin(if stream % 2 == 0 { "v1" } else { "v2" }));
            }
        }
    }
    let left: Vec<PeerAddress> =
        vms.iter().enumerate().filter(|(i, _)| !lost(*i)).map(|(_, it)| it.clone()).collect();
    let found = (0..STREAMS).filter(|stream| {
        let key = stream_key(&format!("request-{stream}"));
        let replies = coordinators_of(key, &left, ORIGIN_COORDINATORS)
            .into_iter()
            .filter_map(|it| logs.get(&*it.vm)?.origin(now, key));
        let replies: BTreeSet<&str> = replies.map(|it| &*it.software_version).collect();
        let expected = if stream % 2 == 0 { "v1" } else { "v2" };
        assert!(replies.iter().all(|it| *it == expected));
        !replies.is_empty()
    });
    found.count() as f64 / STREAMS as f64
}

#[test]
fn origins_outlive_a_failure_domain() {
    for seed in 0..20 {
        assert!(found_share(seed, 0.05, |vm| vm % DOMAINS == 0) > 0.99);
    }
}

#[test]
fn origins_outlive_half_of_the_vms() {
    for seed in 0..20 {
        assert!(found_share(seed, 0.05, |vm| vm % 2 == 0 || vm % 16 == 1) > 0.8);
    }
}

/// The copy from which the store was restored may lack a version that was recorded later.
#[test]
fn records_that_are_not_trusted_prove_no_sole_version() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    history.observe(start, [(POOL.into(), "v1".into())]);
    history.merge(start, &[record(2, &["v1"])], false);
    assert_eq!(history.sole_version(start, POOL), None);
    assert!(history.is_incomplete(start) && !history.confirms_records(start));
    assert_eq!(history.due_records(start), []);
    // The VM has followed the directory for long enough, or another one has confirmed the records.
    let later = start + STREAM_LIFETIME;
    assert_eq!(history.sole_version(later, POOL), Some("v1".into()));
    assert!(!history.is_incomplete(later) && history.confirms_records(later));
    history.merge(start, &[record(2, &["v1"])], true);
    assert_eq!(history.sole_version(start, POOL), Some("v1".into()));
    assert!(history.confirms_records(start));
}

#[test]
fn only_records_of_the_present_era_are_trusted() {
    let mark = |confirmed_era| RecordMark { store_era: 3, confirmed_era, revision: 1 };
    assert!(mark(Some(3)).is_trusted() && mark(Some(3)).is_current());
    assert!(!mark(Some(2)).is_trusted() && !mark(Some(4)).is_trusted());
    // VMs of earlier builds leave no mark.
    assert!(mark(None).is_trusted() && !mark(None).is_current());
}

/// The origin was sent before the upstream turned out to have started again, and may arrive later.
#[test]
fn an_origin_in_doubt_is_not_replaced_by_an_earlier_one() {
    let (now, key, mut log) = (Instant::now(), stream_key("request"), OriginLog::default());
    for sent in [origin("v1"), StreamOrigin::uncertain(POOL.into()), origin("v1")] {
        log.record(now, key, sent);
    }
    assert!(log.origin(now, key).is_some_and(|it| !it.is_certain()));
}

#[test]
fn origins_fit_into_the_bytes_of_a_vm() {
    let message = PeerMessage::StreamOrigins {
        from: vms()[0].clone(),
        streams: vec![(stream_key("request"), origin("v1.12.3"))],
    };
    let bytes = postcard::to_stdvec(&message).expect("a message").len();
    // Sent and received, with what a frame and its signature take.
    let bytes_per_s = 2 * (bytes + 64) * ORIGIN_COORDINATORS * STREAMS / VMS;
    // The target gives control 8 KB a second on a VM.
    assert!(bytes_per_s < 8_000, "{bytes_per_s} bytes a second");
}

/// VMs send what is new twice a second to two others, while one version serves.
#[test]
fn copies_fit_into_the_bytes_of_a_vm() {
    let streams = (0..STREAMS / VMS / 2 + 1).map(|it| (it as u64, origin("v1.12.3"))).collect();
    let message = PeerMessage::OriginCopies { from: vms()[0].clone(), streams, are_told: false };
    let bytes = postcard::to_stdvec(&message).expect("a message").len();
    let own = &vms()[0].vm;
    let holders = copy_holders_of(own, &vms()[1..]).len();
    // Sent and received, with what a frame and its signature take.
    let bytes_per_s = 2 * 2 * (bytes + 64) * holders;
    // A quarter of what the target gives control on a VM, since this goes on all the time.
    assert!(bytes_per_s < 2_000, "{bytes_per_s} bytes a second");
}

#[test]
fn forgets_streams_that_are_over() {
    let (now, mut log) = (Instant::now(), OriginLog::default());
    log.record(now, 1, origin("v1"));
    log.record(now + STREAM_LIFETIME / 2, 2, origin("v1"));
    let later = now + STREAM_LIFETIME;
    assert_eq!((log.origin(later, 1), log.origin(later, 2)), (None, Some(&origin("v1"))));
    assert_eq!(log.streams_of(later, POOL), [(2, origin("v1"))]);
}

#[test]
fn a_continued_stream_is_remembered_from_then_on() {
    let (now, mut log) = (Instant::now(), OriginLog::default());
    log.record(now, 1, origin("v1"));
    log.record(now + STREAM_LIFETIME / 2, 1, origin("v1"));
    log.record(now + STREAM_LIFETIME, 2, origin("v1"));
    assert_eq!(log.origin(now + STREAM_LIFETIME, 1), Some(&origin("v1")));
}

#[test]
fn tells_when_a_pool_becomes_mixed() {
    let (now, mut history) = (Instant::now(), VersionHistory::new(Instant::now()));
    let directory = |versions: &[&str]| -> Vec<_> {
        versions.iter().map(|it| (POOL.into(), (*it).into())).collect()
    };
    assert!(history.observe(now, directory(&["v1"])).is_empty());
    assert_eq!(history.observe(now, directory(&["v1", "v2"])), [POOL.into()]);
    assert!(history.observe(now, directory(&["v2"])).is_empty());
    assert!(history.is_mixed(now, POOL));
    assert!(!history.is_mixed(now + STREAM_LIFETIME, POOL));
}

#[test]
fn a_vm_that_hears_from_nobody_is_in_a_minority() {
    let (now, vms) = (Instant::now(), vms());
    let mut membership = Membership::new(vms[0].clone(), 1);
    vms[1..3].iter().for_each(|it| membership.add_seed(now, it.clone()));
    membership.on_direct_message(now + DEAD_AFTER / 2, &vms[1], 0);
    membership.on_tick(now + DEAD_AFTER);
    assert!(!membership.is_minority());
    membership.on_tick(now + DEAD_AFTER * 2);
    assert!(membership.is_minority());
}

#[test]
fn a_version_that_came_back_unseen_is_in_the_record() {
    let (now, mut history) = (Instant::now(), VersionHistory::new(Instant::now()));
    history.observe(now, [(POOL.into(), "v1".into()), (POOL.into(), "v2".into())]);
    history.observe(now, [(POOL.into(), "v1".into())]);
    history.merge(now, &[record(2, &["v1"])], true);
    let later = now + STREAM_LIFETIME;
    let confirmed = |records: &[_]| history.confirmed_sole_version(later, POOL, records);
    assert_eq!(confirmed(&[record(2, &["v1"])]), Some("v1".into()));
    assert_eq!(confirmed(&[record(3, &["v1", "v2"])]), None);
    assert_eq!(confirmed(&[]), None);
}

/// What happens to the VMs, the store and the upstreams.
#[derive(Debug, Clone)]
enum Step {
    Appear(u8),
    Leave(u8),
    Restart(u8),
    RestartAll,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let number = u8::arbitrary(random);
        match u8::arbitrary(random) % 8 {
            0 | 1 => Self::Appear(number % 3),
            2 | 3 => Self::Leave(number % 3),
            4 => Self::Restart(number % 3),
            5 => Self::RestartAll,
            _ => Self::Wait(number),
        }
    }
}

/// Three VMs that keep the versions of one pool in a row of a store.
struct Fleet {
    now: Instant,
    histories: [VersionHistory; 3],
    /// Whether a version that comes back has another name.
    has_new_names: bool,
    generations: BTreeMap<u8, u32>,
    /// VMs that read neither the directory nor, unless they are asked, the row.
    parted: BTreeSet<usize>,
    /// VMs that were parted since they started: they may have missed versions.
    doubting: BTreeSet<usize>,
    row: VersionRecord,
    present: BTreeSet<SoftwareVersion>,
    /// When each version was last in service.
    last_seen: BTreeMap<SoftwareVersion, Instant>,
}

impl Fleet {
    fn new() -> Self {
        let row = VersionRecord { pool: POOL.into(), versions: BTreeSet::new(), revision: 0 };
        let (present, last_seen) = (BTreeSet::new(), BTreeMap::new());
        let now = Instant::now();
        let histories = [(); 3].map(|()| {
            let mut history = VersionHistory::new(now);
            history.set_first_start(now);
            history
        });
        Self {
            now,
            histories,
            has_new_names: false,
            generations: BTreeMap::new(),
            parted: BTreeSet::new(),
            doubting: BTreeSet::new(),
            row,
            present,
            last_seen,
        }
    }

    /// Lets a VM stand still or be cut off, or be in step again.
    fn toggle(&mut self, vm: usize) {
        self.doubting.insert(vm);
        if !self.parted.remove(&vm) {
            self.parted.insert(vm);
        }
    }

    fn apply(&mut self, step: &Step) {
        let generations = &self.generations;
        let version = |number: u8| -> SoftwareVersion {
            let generation = generations.get(&number).unwrap_or(&0);
            if self.has_new_names {
                format!("v{number}.{generation}").into()
            } else {
                format!("v{number}").into()
            }
        };
        match step {
            Step::Appear(number) => drop(self.present.insert(version(*number))),
            Step::Leave(number) => {
                self.present.remove(&version(*number));
                if self.has_new_names {
                    *self.generations.entry(*number).or_default() += 1;
                }
            }
            Step::Restart(vm) => {
                let vm = usize::from(*vm);
                self.histories[vm] = VersionHistory::new(self.now);
                if !self.parted.contains(&vm) {
                    self.doubting.remove(&vm);
                }
            }
            Step::RestartAll => {
                self.histories = [(); 3].map(|()| VersionHistory::new(self.now));
            }
            Step::Wait(seconds) => self.now += Duration::from_secs((*seconds).into()) / 2,
        }
        let now = self.now;
        self.last_seen.extend(self.present.iter().map(|it| (it.clone(), now)));
        for vm in
            (0..self.histories.len()).filter(|it| !self.parted.contains(it)).collect::<Vec<_>>()
        {
            self.synchronize(vm);
        }
    }

    /// Lets a VM read the directory and the row, and write what is due.
    fn synchronize(&mut self, vm: usize) {
        let (now, history) = (self.now, &mut self.histories[vm]);
        history.observe(now, self.present.iter().map(|it| (POOL.into(), it.clone())));
        if history.lacks_records() && self.row.revision > 0 {
            history.merge(now, std::slice::from_ref(&self.row), true);
        }
        // The first write fails if another VM has written since this one read the row.
        for _ in 0..2 {
            for record in history.due_records(now) {
                if record.revision == self.row.revision {
                    self.row = VersionRecord { revision: record.revision + 1, ..record };
                }
                history.merge(now, std::slice::from_ref(&self.row), true);
            }
        }
    }

    /// Returns the version at which a VM continues a stream of unknown origin. One that is or was out of
    /// step reads the row first.
    fn sole_version(&mut self, vm: usize) -> Option<SoftwareVersion> {
        let (now, history) = (self.now, &mut self.histories[vm]);
        if !self.doubting.contains(&vm) {
            return history.sole_version(now, POOL);
        }
        history.confirmed_sole_version(now, POOL, std::slice::from_ref(&self.row))
    }

    /// Returns the versions that may have open streams.
    fn possible(&self) -> BTreeSet<SoftwareVersion> {
        let is_recent = |at: &Instant| self.now.saturating_duration_since(*at) < STREAM_LIFETIME;
        let recent = self.last_seen.iter().filter(|(_, at)| is_recent(at));
        recent.map(|(version, _)| version.clone()).collect()
    }
}

/// Returns an error if a VM would continue streams at a version although another may have begun them.
fn check_sole_versions(fleet: &mut Fleet) -> Result<(), String> {
    for vm in 0..fleet.histories.len() {
        let Some(sole) = fleet.sole_version(vm) else { continue };
        if !fleet.possible().iter().all(|it| *it == sole) {
            return Err(format!("VM {vm}: {sole} of {:?}", fleet.possible()));
        }
    }
    Ok(())
}

quickcheck! {
    fn a_sole_version_began_all_open_streams(steps: Vec<Step>) -> Result<(), String> {
        let mut fleet = Fleet::new();
        steps.iter().try_for_each(|step| {
            fleet.apply(step);
            check_sole_versions(&mut fleet)
        })
    }

    fn a_sole_version_at_parted_vms_began_all_open_streams(
        steps: Vec<(u8, Step)>
    ) -> Result<(), String> {
        let mut fleet = Fleet { has_new_names: true, ..Fleet::new() };
        // The pool has a row from here on.
        fleet.apply(&Step::Appear(0));
        steps.iter().try_for_each(|(vm, step)| {
            // One VM stays in step and keeps the row.
            match vm % 8 {
                1 => fleet.toggle(1),
                2 => fleet.toggle(2),
                _ => {}
            }
            fleet.apply(step);
            check_sole_versions(&mut fleet)
        })
    }

    fn one_version_is_recognized_after_a_restart(versions: u8) -> bool {
        let mut fleet = Fleet::new();
        let version = versions % 3;
        [Step::Appear(version), Step::RestartAll].iter().for_each(|it| fleet.apply(it));
        let sole = format!("v{version}").into();
        fleet.histories.iter().all(|it| it.sole_version(fleet.now, POOL) == Some(SoftwareVersion::clone(&sole)))
    }
}
