//! Messages of peers with damaged bytes or extreme numbers are dropped or taken without a panic.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::feed::Changes;
use cranberryvalve_coordination::feed::FeedDelta;
use cranberryvalve_coordination::feed::FeedLog;
use cranberryvalve_coordination::feed::Row;
use cranberryvalve_coordination::feed::RowChange;
use cranberryvalve_coordination::feed::Snapshot;
use cranberryvalve_coordination::membership::MemberState;
use cranberryvalve_coordination::membership::MemberUpdate;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::peer::FeedReport;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::permits::PermitIssuer;
use cranberryvalve_coordination::quarantine::CrashReport;
use cranberryvalve_coordination::quarantine::Quarantine;
use cranberryvalve_coordination::quarantine::SuspectUpdate;
use cranberryvalve_coordination::transfer::Fetch;
use cranberryvalve_coordination::transfer::Part;
use cranberryvalve_coordination::transfer::TransferId;
use cranberryvalve_coordination::transfer::part_of;
use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::RateLimitNotice;
use cranberryvalve_core::StorePosition;
use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::UpstreamStart;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 29;
const SIZE: usize = 40;
const RUNS: u64 = 20_000;

const ENDS: [u64; 6] = [0, 1, 1 << 31, u32::MAX as u64, u64::MAX - 1, u64::MAX];

fn address(vm: &str) -> PeerAddress {
    let address = SocketAddr::from(([10, 1, 0, 1], 7340));
    PeerAddress { vm: vm.into(), address, failure_domain: "a".into() }
}

fn member(vm: &str, incarnation: u64, state: MemberState) -> MemberUpdate {
    MemberUpdate { member: address(vm), incarnation, state }
}

fn key() -> SuspectKey {
    SuspectKey::PromptPart { pool: "p".into(), part: 7 }
}

fn suspect(trials: u32, age_ms: u32) -> SuspectUpdate {
    let crash = |upstream: &str| {
        let start = UpstreamStart { upstream: upstream.into(), incarnation: u64::MAX };
        CrashReport { start, age_ms }
    };
    SuspectUpdate {
        key: key(),
        position: u16::MAX,
        crashes: vec![crash("e-1"), crash("e-2"), crash("e-3")],
        response_age_ms: Some(u32::MAX),
        trials,
        trial_age_ms: Some(age_ms),
    }
}

fn samples() -> Vec<PeerMessage> {
    let from = address("vm-2");
    let position = StorePosition { era: 3, version: 700 };
    let base = StorePosition { era: 3, version: 650 };
    let row = Row { key: "i-1".into(), value: b"{}".to_vec() };
    let changes = vec![RowChange::Put(row.clone()), RowChange::Removed("i-2".into())];
    let deltas = [
        FeedDelta::Snapshot(Snapshot { rows: vec![row], position }),
        FeedDelta::Changes { base, changes: Changes { changes, position } },
    ];
    let reports = deltas.map(|delta| PeerMessage::FeedReport {
        from: from.clone(),
        report: FeedReport {
            reaches_source: true,
            position: Some(position),
            recovered_ms: Some(9),
            delta: Some(delta),
        },
    });
    let members = vec![member("vm-1", 4, MemberState::Dead), member("vm-3", 4, MemberState::Left)];
    let notice = RateLimitNotice { limit_per_s: Some(2.0), age: Duration::from_millis(7) };
    let request = PermitRequest { upstream: "e-1".into(), incarnation: 4, notice };
    let id = TransferId { version: 9, base: None, checksum: 1 };
    let part = Part { id, total_bytes: 90, offset: 0, bytes: vec![7; 30] };
    let mut samples = vec![
        PeerMessage::Members { from: from.clone(), members },
        PeerMessage::PermitRequest { from: from.clone(), request },
        PeerMessage::TablePart { from: from.clone(), part },
        PeerMessage::Suspects { from, suspects: vec![suspect(1, 80)] },
    ];
    samples.extend(reports);
    samples
}

/// Applies a message as a VM does.
fn apply(vm: &mut Vm, message: PeerMessage) {
    let now = vm.now;
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            vm.membership.on_heartbeat(now, &heartbeat);
            vm.fetch.on_announced(now, &heartbeat.from, heartbeat.config_version);
        }
        PeerMessage::Members { members, .. } => {
            members.iter().for_each(|it| vm.membership.on_update(now, it));
        }
        PeerMessage::PermitRequest { request, .. } => {
            for fraction in [0.0, 0.5, 1.0, f64::NAN] {
                let _ = vm.permits.decide(now, &request, fraction);
            }
        }
        PeerMessage::TablePart { from, part } => {
            vm.fetch.on_announced(now, &from, part.id.version);
            let _ = vm.fetch.on_part(now, &from, &part);
            let _ = vm.fetch.on_unusable(now, part.id);
            let _ = part_of(part.id, &part.bytes, part.offset);
        }
        PeerMessage::FeedReport { report, .. } => {
            let _ = report.delta.map(|it| vm.feed.merge(it));
            let _ = vm.feed.since(report.position);
        }
        PeerMessage::Suspects { suspects, .. } => {
            let _ = vm.quarantine.merge(now, &suspects);
            for suspect in &suspects {
                let keys = [suspect.key.clone()];
                let _ = vm.quarantine.check(now, &keys);
                let _ = vm.quarantine.claim(now + Duration::from_secs(3_600), &keys);
            }
            let _ = vm.quarantine.take_updates(now);
        }
        _ => {}
    }
    vm.membership.on_tick(now);
    let _ = vm.membership.updates_for("vm-2");
    let _ = vm.fetch.on_tick(now);
    vm.quarantine.on_tick(now);
}

struct Vm {
    now: Instant,
    membership: Membership,
    fetch: Fetch,
    feed: FeedLog,
    permits: PermitIssuer,
    quarantine: Quarantine,
}

impl Vm {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            membership: Membership::new(address("vm-1"), 4),
            fetch: Fetch::default(),
            feed: FeedLog::default(),
            permits: PermitIssuer::default(),
            quarantine: Quarantine::default(),
        }
    }
}

#[test]
fn damaged_messages_stop_no_vm() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
    fn property(alterations: Vec<(u8, u16, u8)>) -> bool {
        let mut vm = Vm::new();
        for sample in samples() {
            let mut bytes = postcard::to_stdvec(&sample).expect("a message can be encoded");
            for (kind, index, byte) in &alterations {
                let index = usize::from(*index) % bytes.len();
                match kind % 4 {
                    0 => bytes[index] = *byte,
                    1 => bytes[index] = 0xff,
                    2 => bytes.insert(index, 0xff),
                    _ => bytes.truncate(index.max(4)),
                }
            }
            if let Ok(message) = postcard::from_bytes(&bytes) {
                apply(&mut vm, message);
            }
        }
        vm.now += Duration::from_secs(3_600);
        samples().into_iter().for_each(|it| apply(&mut vm, it));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<(u8, u16, u8)>) -> bool);
}

#[test]
fn arbitrary_bytes_are_no_message_or_a_harmless_one() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
    fn property(bytes: Vec<u8>) -> bool {
        if let Ok(message) = postcard::from_bytes(&bytes) {
            apply(&mut Vm::new(), message);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn last_incarnation_in_a_claim_of_death_stops_no_vm() {
    for incarnation in ENDS {
        let mut membership = Membership::new(address("vm-1"), 4);
        membership.on_update(Instant::now(), &member("vm-1", incarnation, MemberState::Dead));
        // A claim about a start that cannot be is dropped.
        let is_possible = incarnation < u64::MAX / 2;
        let expected = if is_possible && incarnation > 4 { incarnation + 1 } else { 4 };
        assert_eq!(membership.incarnation(), expected);
    }
}

#[test]
fn last_version_of_a_table_stops_no_transfer() {
    for version in ENDS {
        let (now, peer) = (Instant::now(), address("vm-2"));
        let mut fetch = Fetch::default();
        fetch.record_version(version);
        let id = TransferId { version: u64::MAX, base: None, checksum: 1 };
        let request = fetch.on_announced(now, &peer, u64::MAX);
        assert_eq!(request.is_some(), version < u64::MAX);
        let part = Part { id, total_bytes: u32::MAX, offset: u32::MAX, bytes: vec![1] };
        let _ = fetch.on_part(now, &peer, &part);
        let _ = fetch.on_tick(now + Duration::from_secs(1));
    }
}

#[test]
fn largest_number_of_trials_stops_no_claim() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut quarantine = Quarantine::default();
    let mut update = suspect(u32::MAX, 60_000);
    // Crashes at three moments condemn the key.
    update.response_age_ms = None;
    for (index, crash) in update.crashes.iter_mut().enumerate() {
        crash.age_ms = 30_000 + 10_000 * index as u32;
    }
    quarantine.merge(now, &[update]);
    let keys = [key()];
    let later = now + Duration::from_secs(100_000);
    let _ = quarantine.claim(later, &keys);
    let _ = quarantine.claim(later + Duration::from_secs(100_000), &keys);
}
