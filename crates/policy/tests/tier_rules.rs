//! Rules for priorities between tiers, some of them checked for random sequences of events.

#[path = "support/harness.rs"]
mod harness;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::PressureEntry;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Event;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::harness::POOL;
use crate::harness::PROMOTE_AFTER;
use crate::harness::RouterHarness;

/// Seed of the generated values.
const SEED: u64 = 20_261_204;
/// Size of the generated values.
const SIZE: usize = 100;

const CLASSES: [(&str, Tier); 3] = [("tide-check", 0), ("commentary", 1), ("replan", 3)];

/// Number of runs of each property.
const RUNS: u64 = 300;

/// A step of a generated scenario.
#[derive(Debug, Clone)]
enum Step {
    Arrive(u8),
    End(u8, u8),
    CallerLeaves(u8),
    Advance(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=4 => Self::Arrive(u8::arbitrary(g) % 3),
            5..=7 => Self::End(u8::arbitrary(g), u8::arbitrary(g) % 6),
            8 => Self::CallerLeaves(u8::arbitrary(g)),
            _ => Self::Advance(u8::arbitrary(g)),
        }
    }
}

fn end(kind: u8) -> AttemptEnd {
    match kind {
        0..=1 => AttemptEnd::Complete { token_interval: Some(Duration::from_millis(20)) },
        2 => AttemptEnd::Interrupted { tokens: 3 },
        3 => AttemptEnd::NotSent,
        4 => AttemptEnd::Refused { leaving: false },
        _ => AttemptEnd::TimedOut,
    }
}

/// Record of what the callers and upstreams observed.
#[derive(Default)]
struct Observed {
    classes: BTreeMap<RequestId, usize>,
    arrived_at: BTreeMap<RequestId, Instant>,
    may_have_run: Vec<RequestId>,
}

fn run_steps(harness: &mut RouterHarness, steps: Vec<Step>) -> Observed {
    let mut observed = Observed::default();
    let mut next_id = 1;
    for step in steps {
        match step {
            Step::Arrive(class) => {
                observed.classes.insert(next_id, class.into());
                observed.arrived_at.insert(next_id, harness.now);
                harness.arrive(next_id, CLASSES[class as usize].0);
                next_id += 1;
            }
            Step::End(index, kind) => {
                let in_flight = harness.in_flight();
                let Some(order) = in_flight.get(index as usize % in_flight.len().max(1)) else {
                    continue;
                };
                let end = end(kind);
                if !matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused { .. }) {
                    observed.may_have_run.push(order.id);
                }
                harness.end(order.id, end);
            }
            Step::CallerLeaves(index) => {
                let id = u64::from(index) % next_id;
                harness.handle(Event::CallerDisconnected { id });
            }
            Step::Advance(ticks) => harness.advance(Duration::from_millis(u64::from(ticks) * 20)),
        }
    }
    observed
}

#[test]
fn requests_reported_as_not_run_never_ran() {
    fn property(steps: Vec<Step>) -> bool {
        let mut harness = RouterHarness::new(2, 2);
        let observed = run_steps(&mut harness, steps);
        harness.all_given_up().iter().all(|(id, outcome)| {
            !matches!(outcome, Outcome::NotRun { .. }) || !observed.may_have_run.contains(id)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn only_overdue_requests_are_promoted() {
    fn property(steps: Vec<Step>) -> bool {
        let mut harness = RouterHarness::new(2, 2);
        let observed = run_steps(&mut harness, steps);
        harness.sent().iter().zip(harness.sent_at()).all(|(order, sent_at)| {
            let class_tier = CLASSES[observed.classes[&order.id]].1;
            let is_overdue = *sent_at - observed.arrived_at[&order.id] >= PROMOTE_AFTER;
            order.priority == class_tier || (is_overdue && order.priority == 0)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn every_request_ends() {
    fn property(steps: Vec<Step>) -> bool {
        let mut harness = RouterHarness::new(2, 2);
        run_steps(&mut harness, steps);
        // Complete every attempt and let all time limits expire.
        for _ in 0..2_000 {
            let in_flight = harness.in_flight();
            in_flight.iter().for_each(|order| harness.complete(order.id));
            harness.advance(Duration::from_millis(200));
        }
        harness.router().live_requests() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(20)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn lower_tiers_do_not_use_up_slots_for_higher_tiers() {
    let mut harness = RouterHarness::new(1, 4);
    for id in 1..=4 {
        harness.arrive(id, "replan");
    }
    harness.arrive(5, "replan");
    assert!(!harness.is_in_flight(5), "a replan request was sent to a full engine");
    harness.arrive(6, "tide-check");
    assert!(harness.is_in_flight(6), "a tide check was queued behind replan requests");
}

#[test]
fn lower_tiers_leave_slots_free_for_higher_tiers() {
    let mut harness = RouterHarness::new(1, 8);
    for id in 1..=8 {
        harness.arrive(id, "replan");
    }
    assert_eq!(
        harness.in_flight().len(),
        4,
        "two slots stay free for each of the two higher tiers"
    );
    for id in 9..=16 {
        harness.arrive(id, "commentary");
    }
    assert_eq!(harness.in_flight().len(), 6, "two slots stay free for the higher tier");
    for id in 17..=24 {
        harness.arrive(id, "tide-check");
    }
    assert_eq!(harness.in_flight().len(), 14, "the highest tier may use all eight slots");
}

#[test]
fn shedding_starts_at_the_lowest_tier() {
    let mut harness = RouterHarness::new(1, 1);
    let mut id = 0;
    let mut arrive = |harness: &mut RouterHarness, class: &str, count: u64| {
        for _ in 0..count {
            id += 1;
            harness.arrive(id, class);
        }
    };
    arrive(&mut harness, "replan", 2_100);
    arrive(&mut harness, "commentary", 2_200);
    // There are 4,096 shared places and 64 reserved for each tier; one request of each tier is in
    // flight.
    assert_eq!(harness.all_given_up().len(), 2_100 + 2_200 - 4_096 - 2 * 65);
    arrive(&mut harness, "tide-check", 5_000);
    let shed_of = |first: u64, last: u64| harness.all_given_up().range(first..=last).count();
    assert_eq!(
        shed_of(1, 2_100) + 65,
        2_100,
        "all but the replan in flight and the reserved places are shed"
    );
    assert_eq!(
        shed_of(2_101, 4_300) + 65,
        2_200,
        "then all but one commentary and the reserved places"
    );
    let all_have_retry_delay = harness.all_given_up().values().all(
        |it| matches!(it, Outcome::NotRun { reason: NotRunReason::QueueFull, retry_after_ms } if *retry_after_ms > 0),
    );
    assert!(all_have_retry_delay, "the outcome of a shed request must have a retry delay");
}

#[test]
fn overdue_request_is_promoted_within_the_bound() {
    let mut harness = RouterHarness::new(1, 4);
    let mut id = 1;
    harness.arrive(id, "replan");
    harness.complete(1);
    for _ in 0..8 {
        id += 1;
        harness.arrive(id, "tide-check");
    }
    let replan = 1_000_000;
    harness.arrive(replan, "replan");
    let arrived_at = harness.now;
    // Every 100 ms a tide check ends and two more arrive, so the highest tier is never idle.
    while !harness.is_in_flight(replan) {
        harness.advance(Duration::from_millis(100));
        let first = harness.in_flight()[0].id;
        harness.complete(first);
        for _ in 0..2 {
            id += 1;
            harness.arrive(id, "tide-check");
        }
        let waited = harness.now - arrived_at;
        // It is overdue after 10 s and is then promoted within 1 s.
        assert!(waited <= Duration::from_secs(12), "the replan request was queued for {waited:?}");
    }
}

#[test]
fn peer_pressure_blocks_lower_tiers_until_it_expires() {
    let mut harness = RouterHarness::new(1, 4);
    let entry = PressureEntry { pool: POOL.into(), tier: 0, age_ms: 0 };
    harness.handle(Event::PeerPressure(PressureDigest { entries: vec![entry] }));
    harness.arrive(1, "replan");
    assert!(
        !harness.is_in_flight(1),
        "a replan request was sent while a tide check was queued on another VM"
    );
    harness.arrive(2, "tide-check");
    assert!(harness.is_in_flight(2));
    harness.advance(Duration::from_secs(2));
    assert!(harness.is_in_flight(1), "expired pressure still blocked the replan request");
}

#[test]
fn constant_peer_pressure_does_not_starve_lower_tiers() {
    let mut harness = RouterHarness::new(1, 4);
    harness.arrive(1, "replan");
    harness.complete(1);
    let report_pressure = |harness: &mut RouterHarness| {
        let entry = PressureEntry { pool: POOL.into(), tier: 0, age_ms: 0 };
        harness.handle(Event::PeerPressure(PressureDigest { entries: vec![entry] }));
    };
    report_pressure(&mut harness);
    harness.arrive(2, "replan");
    let arrived_at = harness.now;
    while !harness.is_in_flight(2) {
        report_pressure(&mut harness);
        harness.advance(Duration::from_millis(100));
        assert!(harness.now - arrived_at <= Duration::from_secs(12));
    }
}

#[test]
fn forwarded_pressure_keeps_its_age() {
    let mut harness = RouterHarness::new(1, 1);
    let entry = PressureEntry { pool: POOL.into(), tier: 0, age_ms: 400 };
    harness.handle(Event::PeerPressure(PressureDigest { entries: vec![entry] }));
    harness.now += Duration::from_millis(300);
    let forwarded = harness.router().pressure(harness.now).entries;
    assert_eq!(forwarded, [PressureEntry { pool: POOL.into(), tier: 0, age_ms: 700 }]);
    harness.now += Duration::from_secs(1);
    assert_eq!(harness.router().pressure(harness.now).entries, []);
}
