//! Bytes that no VM of this build sends never end a process and never change state wrongly.

#[path = "support/landed/all.rs"]
mod landed;

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::builds::BuildLog;
use cranberryvalve_coordination::duties::DutyRow;
use cranberryvalve_coordination::feed::FeedLog;
use cranberryvalve_coordination::lease::LeaseRow;
use cranberryvalve_coordination::ledger::LedgerRow;
use cranberryvalve_coordination::limits::LimitCoordinator;
use cranberryvalve_coordination::membership::MemberState;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::origins::OriginLog;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::permits::PermitIssuer;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_coordination::quarantine::Quarantine;
use cranberryvalve_coordination::transfer::Fetch;
use cranberryvalve_coordination::usage::ClockVotes;
use cranberryvalve_coordination::usage::MergedUsage;
use cranberryvalve_coordination::usage::UsageMessage;
use cranberryvalve_coordination::usage::UsageRules;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::Digest;
use cranberryvalve_core::StorePosition;
use cranberryvalve_core::table::TableDelta;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use landed::Sample;
use landed::builds;
use landed::copies;
use landed::first;
use landed::origins;
use landed::usage;

/// Seed of the generated values.
const SEED: u64 = 20_261_205;

/// Maximum size of a generated value.
const MAX_SIZE: usize = 300;

/// Number of generated inputs per property.
const RUNS: u64 = 20_000;

/// Number of variants that a later build may have after those of this one.
const LATER_VARIANTS: u8 = 40;

const USAGE_RULES: UsageRules =
    UsageRules { window: Duration::from_secs(5), due: Duration::from_secs(10), tolerance: 0.05 };

/// One VM's state, as far as messages of peers change it.
struct Vm {
    membership: Membership,
    feed: FeedLog,
    fetch: Fetch,
    permits: PermitIssuer,
    quarantine: Quarantine,
    origins: OriginLog,
    limits: LimitCoordinator,
    builds: BuildLog,
    usage: MergedUsage,
    votes: ClockVotes,
}

impl Vm {
    fn new() -> Self {
        let local = PeerAddress {
            vm: "front-chc-b-1".into(),
            address: ([10, 2, 0, 1], 7_340).into(),
            failure_domain: "chc-b".into(),
        };
        Self {
            membership: Membership::new(local, 1),
            feed: FeedLog::default(),
            fetch: Fetch::default(),
            permits: PermitIssuer::default(),
            quarantine: Quarantine::default(),
            origins: OriginLog::default(),
            limits: LimitCoordinator::default(),
            builds: BuildLog::default(),
            usage: MergedUsage::default(),
            votes: ClockVotes::default(),
        }
    }

    /// Handles a message like the relay, and uses the state afterwards.
    fn handle(&mut self, now: Instant, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.membership.on_heartbeat(now, &heartbeat);
                self.fetch.on_announced(now, &heartbeat.from, heartbeat.config_version);
            }
            PeerMessage::Members { members, .. } => {
                members.iter().for_each(|it| self.membership.on_update(now, it));
            }
            PeerMessage::FeedReport { report, .. } => {
                report.delta.map(|it| self.feed.merge(it));
            }
            PeerMessage::FeedRequest { position, .. } => {
                self.feed.since(position);
            }
            PeerMessage::TablePart { from, part } => {
                self.fetch.on_part(now, &from, &part);
            }
            PeerMessage::PermitRequest { request, .. } => {
                self.permits.decide(now, &request, 0.5);
            }
            PeerMessage::Suspects { suspects, .. } => {
                self.quarantine.merge(now, &suspects);
            }
            PeerMessage::StreamOrigins { streams, .. }
            | PeerMessage::OriginCopies { streams, .. } => {
                streams.into_iter().for_each(|(key, origin)| self.origins.record(now, key, origin));
            }
            PeerMessage::LimitReport { from, demands } => {
                for demand in &demands {
                    self.limits.on_report(now, &from.vm, demand, &customer(), 1.0);
                }
            }
            PeerMessage::Builds { builds, .. } => {
                self.builds.merge(builds, |vm| self.membership.is_known(vm));
                self.builds.take_updates();
                self.builds.next_repeated(4);
            }
            PeerMessage::Usage { message: UsageMessage::Counts(counts, reading), from } => {
                let window = USAGE_RULES.window_at(reading.estimate_ms);
                self.usage.merge(&USAGE_RULES, reading.estimate_ms, counts);
                self.usage.state(&USAGE_RULES, reading.estimate_ms, window, &[from.vm]);
                self.votes.record(now, &"a".into(), reading);
                self.votes.agreed_ms(now);
            }
            _ => {}
        }
    }
}

fn customer() -> CustomerSpec {
    CustomerSpec {
        id: "tasman".into(),
        key_sha256: Digest::of(b"k1"),
        classes: vec!["chat".into()],
        weight: 1,
        requests_per_s: Some(10.0),
        max_in_flight: Some(100),
    }
}

fn messages() -> Vec<Sample> {
    let landed = first::messages().into_iter().chain(origins::messages());
    landed.chain(builds::messages()).chain(usage::messages()).chain(copies::messages()).collect()
}

fn check(property: fn(Vec<u8>, usize, u8, u8) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<u8>, usize, u8, u8) -> bool);
}

/// Decodes bytes, handles the message if there is one, and uses the state afterwards.
fn receive(bytes: &[u8]) -> Option<PeerMessage> {
    let message: PeerMessage = postcard::from_bytes(bytes).ok()?;
    let mut now = Instant::now();
    let mut vm = Vm::new();
    for sample in messages() {
        vm.handle(now, postcard::from_bytes(&sample.bytes).expect("a message"));
    }
    vm.handle(now, message.clone());
    for _ in 0..4 {
        vm.membership.on_tick(now);
        vm.membership.updates_for("front-chc-b-2");
        vm.fetch.on_tick(now);
        vm.quarantine.on_tick(now);
        vm.quarantine.updates(now, 100);
        now += Duration::from_secs(1);
    }
    Some(message)
}

#[test]
fn arbitrary_bytes_end_nothing() {
    check(|bytes, _, _, _| {
        receive(&bytes);
        let _ = postcard::from_bytes::<TableDelta>(&bytes).map(|it| it.apply(None));
        let _ = Head::from_bytes(&bytes);
        let _ = LedgerRow::from_bytes(&bytes);
        let _ = LeaseRow::from_bytes(&bytes);
        let _ = DutyRow::from_bytes(&bytes);
        let _ = ConfigDocument::from_bytes(&bytes);
        true
    });
}

#[test]
fn cut_messages_are_dropped() {
    for sample in messages() {
        for end in 0..sample.bytes.len() {
            let read: Result<PeerMessage, _> = postcard::from_bytes(&sample.bytes[..end]);
            assert!(read.is_err(), "{} cut at {end} is {read:?}", sample.name);
        }
    }
}

#[test]
fn cut_tables_and_rows_are_not_read() {
    let samples = [
        first::tables(),
        first::rows(),
        first::operator_messages(),
        origins::rows(),
        usage::rows(),
        copies::rows(),
    ];
    for sample in samples.into_iter().flatten() {
        for end in 0..sample.bytes.len() {
            assert!(!(sample.is_read_from)(&sample.bytes[..end]), "{} cut at {end}", sample.text);
        }
    }
}

#[test]
fn changed_messages_end_nothing() {
    let samples = messages();
    for sample in &samples {
        for index in 0..sample.bytes.len() {
            for value in [0, 1, 2, 127, 128, 254, 255] {
                let mut bytes = sample.bytes.clone();
                bytes[index] = value;
                receive(&bytes);
            }
        }
    }
    check(|inserted, index, count, value| {
        let samples = messages();
        let mut bytes = samples[index % samples.len()].bytes.clone();
        let at = usize::from(value) % bytes.len();
        let end = (at + usize::from(count % 8)).min(bytes.len());
        bytes.splice(at..end, inserted.into_iter().take(12));
        receive(&bytes);
        true
    });
}

#[test]
fn variants_of_later_builds_are_dropped() {
    let last = messages().into_iter().map(|it| it.bytes[0]).max().expect("a message");
    for sample in messages() {
        for variant in last + 1..=last + LATER_VARIANTS {
            let mut bytes = sample.bytes.clone();
            bytes[0] = variant;
            assert_eq!(postcard::from_bytes::<PeerMessage>(&bytes).ok(), None, "{variant}");
        }
    }
}

#[test]
fn bytes_after_the_end_of_a_message_are_ignored() {
    check(|appended, index, _, _| {
        let samples = messages();
        let sample = &samples[index % samples.len()];
        let bytes = [&sample.bytes[..], &appended[..]].concat();
        (sample.is_read_from)(&bytes)
    });
}

#[test]
fn odd_membership_of_this_vm_does_not_wrap_its_incarnation() {
    let now = Instant::now();
    let mut membership = Vm::new().membership;
    let mut update = membership.updates_for("front-chc-b-2").remove(0);
    update.state = MemberState::Dead;
    let own = membership.incarnation();
    // An incarnation that is no time is dropped; the highest one that may be is refuted.
    update.incarnation = u64::MAX;
    membership.on_update(now, &update);
    assert_eq!(membership.incarnation(), own);
    update.incarnation = u64::MAX / 2;
    membership.on_update(now, &update);
    assert_eq!(membership.incarnation(), u64::MAX / 2 + 1);
}

#[test]
fn known_position_is_not_replaced_by_an_older_one() {
    let now = Instant::now();
    let mut vm = Vm::new();
    let mut position = None::<StorePosition>;
    for sample in messages().into_iter().chain(messages()) {
        vm.handle(now, postcard::from_bytes(&sample.bytes).expect("a message"));
        assert!(vm.feed.position() >= position, "{}", sample.name);
        position = vm.feed.position();
    }
}
