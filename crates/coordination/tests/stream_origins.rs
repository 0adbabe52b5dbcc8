//! Streams continue only at the software version that began them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::home::coordinators_of;
use cranberryvalve_coordination::origins::ORIGIN_COORDINATORS;
use cranberryvalve_coordination::origins::OriginLog;
use cranberryvalve_coordination::origins::STREAM_LIFETIME;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::origins::stream_key;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::versions::VersionHistory;
use cranberryvalve_coordination::versions::VersionRecord;
use cranberryvalve_core::SoftwareVersion;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::TestResult;
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
        Self { now, histories, row, present, last_seen }
    }

    fn apply(&mut self, step: &Step) {
        let version = |number: u8| -> SoftwareVersion { format!("v{number}").into() };
        match step {
            Step::Appear(number) => drop(self.present.insert(version(*number))),
            Step::Leave(number) => drop(self.present.remove(&version(*number))),
            Step::Restart(vm) => {
                self.histories[usize::from(*vm)] = VersionHistory::new(self.now);
            }
            Step::RestartAll => {
                self.histories = [(); 3].map(|()| VersionHistory::new(self.now));
            }
            Step::Wait(seconds) => self.now += Duration::from_secs((*seconds).into()) / 2,
        }
        let now = self.now;
        self.last_seen.extend(self.present.iter().map(|it| (it.clone(), now)));
        for vm in 0..self.histories.len() {
            self.synchronize(vm);
        }
    }

    /// Lets a VM read the directory and the row, and write what is due.
    fn synchronize(&mut self, vm: usize) {
        let (now, history) = (self.now, &mut self.histories[vm]);
        history.observe(now, self.present.iter().map(|it| (POOL.into(), it.clone())));
        if history.lacks_records() && self.row.revision > 0 {
            history.merge(now, std::slice::from_ref(&self.row));
        }
        for record in history.due_records(now) {
            if record.revision == self.row.revision {
                self.row = VersionRecord { revision: record.revision + 1, ..record };
            }
            history.merge(now, std::slice::from_ref(&self.row));
        }
    }

    /// Returns the versions that may have open streams.
    fn possible(&self) -> BTreeSet<SoftwareVersion> {
        let is_recent = |at: &Instant| self.now.saturating_duration_since(*at) < STREAM_LIFETIME;
        let recent = self.last_seen.iter().filter(|(_, at)| is_recent(at));
        recent.map(|(version, _)| version.clone()).collect()
    }
}

quickcheck! {
    fn a_sole_version_began_all_open_streams(steps: Vec<Step>) -> TestResult {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
            for history in &fleet.histories {
                let Some(sole) = history.sole_version(fleet.now, POOL) else { continue };
                if !fleet.possible().iter().all(|it| *it == sole) {
                    return TestResult::error(format!("{sole} of {:?}", fleet.possible()));
                }
            }
        }
        TestResult::passed()
    }

    fn one_version_is_recognized_after_a_restart(versions: u8) -> bool {
        let mut fleet = Fleet::new();
        let version = versions % 3;
        [Step::Appear(version), Step::RestartAll].iter().for_each(|it| fleet.apply(it));
        let sole = format!("v{version}").into();
        fleet.histories.iter().all(|it| it.sole_version(fleet.now, POOL) == Some(SoftwareVersion::clone(&sole)))
    }
}
