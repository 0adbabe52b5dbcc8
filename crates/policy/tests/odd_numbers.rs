//! Numbers at the ends of their types, from rows, responses and other VMs, stop no decision.

#[path = "support/calls.rs"]
mod calls;

use std::time::Duration;

use cranberryvalve_core::Departure;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::TierBacklog;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::UpstreamRefusal;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::PromptPart;
use cranberryvalve_policy::scheduler::ReportedLoad;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::UpstreamNotice;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use calls::CallState;
use calls::ENGINES;
use calls::Harness;
use calls::SERVICES;
use calls::two_services;
use calls::upstream;

const SEED: u64 = 17;
const SIZE: usize = 60;
const RUNS: u64 = 3_000;

const UPSTREAMS: [&str; 4] = ["e-1", "e-2", "p-1", "p-2"];

/// Returns a number that is often at an end of its type.
fn extreme(draw: u64) -> u64 {
    let ends = [0, 1, 2, 1 << 15, 1 << 16, 1 << 30, 1 << 31, u64::from(u32::MAX), 1 << 53, 1 << 63];
    match draw % 14 {
        kind @ 0..10 => ends[kind as usize],
        10 => u64::MAX,
        11 => u64::MAX - 1,
        _ => draw,
    }
}

fn extreme_u32(draw: u64) -> u32 {
    u32::try_from(extreme(draw)).unwrap_or(u32::MAX)
}

fn extreme_u16(draw: u64) -> u16 {
    u16::try_from(extreme(draw)).unwrap_or(u16::MAX)
}

fn extreme_duration(draw: u64) -> Duration {
    if draw.is_multiple_of(5) { Duration::MAX } else { Duration::from_millis(extreme(draw / 5)) }
}

fn extreme_prompt(draw: u64, other: u64) -> Prompt {
    let part = |id: u64| PromptPart { id, tokens: extreme_u32(draw / (id + 1)) };
    Prompt {
        input_tokens: extreme_u32(draw),
        output_tokens: extreme_u32(other),
        parts: (0..other % 4).map(part).collect(),
    }
}

fn directory(draw: u64, other: u64) -> Vec<UpstreamRecord> {
    let records = UPSTREAMS.iter().enumerate().map(|(index, id)| {
        let pool = if id.starts_with('e') { ENGINES } else { SERVICES };
        let mut record = upstream(id, pool, if index % 2 == 0 { "near" } else { "far" });
        record.slots = extreme_u32(draw >> index);
        record.incarnation = extreme(other >> index);
        record.is_leaving = other % 7 == index as u64;
        record
    });
    records.collect()
}

/// Feeds one event, chosen and filled by the numbers.
fn feed(harness: &mut Harness, (kind, draw, other): (u8, u64, u64)) {
    let id = UPSTREAMS[(draw % 4) as usize];
    let incarnation = harness.scheduler.upstream(&id.into()).map_or(0, |it| it.incarnation);
    let notice =
        |notice| SchedulerEvent::NoticeReceived { upstream: id.into(), incarnation, notice };
    let load = || {
        let backlog = vec![TierBacklog { tier: other as u8, prefill_ms: extreme_u16(other) }; 3];
        UpstreamLoad { upstream: id.into(), in_flight: extreme_u16(draw / 4), backlog }
    };
    let event = match kind % 16 {
        0 => SchedulerEvent::DirectoryChanged(directory(draw, other)),
        1 => SchedulerEvent::CoordinatorLoads(vec![load()]),
        2 => SchedulerEvent::PeerLoads {
            vm: format!("vm-{}", other % 5).into(),
            loads: vec![load()],
        },
        3 => {
            let load = ReportedLoad {
                running: extreme_u32(draw / 4),
                waiting: extreme_u32(other),
                slots: extreme_u32(other / 3),
                work_time_percent: other.is_multiple_of(2).then(|| extreme_u32(draw / 3)),
            };
            SchedulerEvent::LoadReported { upstream: id.into(), load }
        }
        4 => notice(UpstreamNotice::Pause(extreme_duration(other))),
        5 => notice(UpstreamNotice::RateLimit(f64::from_bits(other).abs())),
        6 => notice(UpstreamNotice::Brittle(extreme_u32(other))),
        7 => SchedulerEvent::PermitDecided {
            upstream: id.into(),
            incarnation,
            verdict: match other % 3 {
                0 => PermitVerdict::Granted(extreme_duration(draw / 4)),
                1 => PermitVerdict::NotBefore(extreme_duration(draw / 4)),
                _ => PermitVerdict::Lifted,
            },
        },
        8 => {
            // The hash of an upstream is known from its own paces.
            let known = harness.scheduler.paces().first().map_or(other as u32, |it| it.upstream);
            let step = extreme_u16(draw / 4);
            SchedulerEvent::PeerPaces(vec![UpstreamPace { upstream: known, step }])
        }
        9 => SchedulerEvent::StreamMeasured {
            upstream: id.into(),
            event_gap: extreme_duration(other),
        },
        10 => {
            let pause_ms = extreme_u32(other);
            let refusal = UpstreamRefusal { upstream: id.into(), incarnation, pause_ms };
            SchedulerEvent::PeerRefusals(vec![refusal])
        }
        11 => {
            let departure = Departure { upstream: id.into(), incarnation: extreme(other) };
            SchedulerEvent::PeerDepartures(vec![departure])
        }
        12 => SchedulerEvent::VmCountChanged(extreme_u32(other)),
        13 => {
            let id = harness.next_id;
            SchedulerEvent::ResponseStarted { id, attempt: 1 }
        }
        _ => {
            let (pool, prompt) = match other % 3 {
                0 => (SERVICES, None),
                1 => (SERVICES, Some(extreme_prompt(draw, other / 3))),
                _ => (ENGINES, Some(extreme_prompt(draw, other / 3))),
            };
            let kind = if draw.is_multiple_of(2) { CallKind::Stream } else { CallKind::Idempotent };
            harness.submit(kind, pool, other as u8, prompt);
            return;
        }
    };
    harness.scheduler.handle(harness.now, event);
}

#[test]
fn no_number_stops_a_decision() {
    fn property(events: Vec<(u8, u64, u64)>) -> bool {
        let mut harness = Harness::new(directory(3, 1));
        for (index, event) in events.into_iter().enumerate() {
            feed(&mut harness, event);
            harness.advance(Duration::from_millis(event.1 % 300));
            let _ = harness.scheduler.take_permit_requests();
            let _ = harness.scheduler.take_pace_updates(4);
            let ids: Vec<_> = UPSTREAMS.iter().map(|it| (*it).into()).collect();
            let _ = harness.scheduler.loads_excluding(harness.now, &"vm-1".into(), &ids);
            let _ = harness.scheduler.snapshot(harness.now);
            let id = 1 + index as u64 % (harness.next_id + 1);
            harness.end(id, 1, AttemptEnd::Complete);
        }
        // Another directory with sound numbers serves calls again.
        harness.scheduler.handle(harness.now, SchedulerEvent::VmCountChanged(1));
        let sound = two_services();
        harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(sound));
        harness.advance(Duration::from_secs(700));
        matches!(harness.submit(CallKind::Idempotent, SERVICES, 0, None), CallState::Sent(_))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<(u8, u64, u64)>) -> bool);
}

#[test]
fn largest_number_of_slots_is_room_for_calls() {
    for slots in [u32::MAX, 1 << 31, (1 << 31) + 1] {
        let mut records = two_services();
        records[0].slots = slots;
        let mut harness = Harness::new(records);
        let state = harness.submit(CallKind::Idempotent, SERVICES, 0, None);
        assert_eq!(state, CallState::Sent("p-near".to_owned()), "{slots} slots");
    }
}

#[test]
fn longest_pace_of_a_peer_stops_no_measurement() {
    let mut harness = Harness::new(vec![upstream("e-1", ENGINES, "near")]);
    let measure = |harness: &mut Harness| {
        let event_gap = Duration::from_millis(40);
        let event = SchedulerEvent::StreamMeasured { upstream: "e-1".into(), event_gap };
        harness.scheduler.handle(harness.now, event)
    };
    measure(&mut harness);
    let known = harness.scheduler.paces();
    let mut harness = Harness::new(vec![upstream("e-1", ENGINES, "near")]);
    let paces = vec![UpstreamPace { upstream: known[0].upstream, step: u16::MAX }];
    harness.scheduler.handle(harness.now, SchedulerEvent::PeerPaces(paces));
    measure(&mut harness);
    assert_eq!(harness.scheduler.paces(), known);
}

#[test]
fn longest_permit_stops_no_decision() {
    for verdict in [PermitVerdict::Granted(Duration::MAX), PermitVerdict::NotBefore(Duration::MAX)]
    {
        let mut harness = Harness::new(two_services());
        let notice = UpstreamNotice::RateLimit(1.0);
        let event =
            SchedulerEvent::NoticeReceived { upstream: "p-near".into(), incarnation: 1, notice };
        harness.scheduler.handle(harness.now, event);
        harness.submit(CallKind::Idempotent, SERVICES, 0, None);
        assert_eq!(harness.scheduler.take_permit_requests().len(), 1);
        let (upstream, incarnation) = ("p-near".into(), 1);
        let event = SchedulerEvent::PermitDecided { upstream, incarnation, verdict };
        harness.scheduler.handle(harness.now, event);
        harness.advance(Duration::from_secs(20));
        harness.submit(CallKind::Idempotent, SERVICES, 0, None);
        // The verdict did not stop the exchange of permits for good.
        assert_eq!(harness.scheduler.take_permit_requests().len(), 1);
    }
}
