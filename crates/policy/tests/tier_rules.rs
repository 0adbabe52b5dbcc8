//! Rules between tiers, for any sequence of events.

#[path = "support/bench.rs"]
mod bench;

use std::collections::BTreeMap;
use std::time::Duration;

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

use crate::bench::Bench;
use crate::bench::POOL;

/// Seed and size of the generated values.
const SEED: u64 = 20_261_204;
const SIZE: usize = 100;

const CLASSES: [(&str, Tier); 3] = [("tide-check", 0), ("commentary", 1), ("replan", 3)];

/// Runs of a property.
const RUNS: u64 = 300;

#[derive(Debug, Clone)]
enum Move {
    Arrive(u8),
    End(u8, u8),
    Leave(u8),
    Pass(u8),
}

impl Arbitrary for Move {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=4 => Self::Arrive(u8::arbitrary(g) % 3),
            5..=7 => Self::End(u8::arbitrary(g), u8::arbitrary(g) % 6),
            8 => Self::Leave(u8::arbitrary(g)),
            _ => Self::Pass(u8::arbitrary(g)),
        }
    }
}

fn end(kind: u8) -> AttemptEnd {
    match kind {
        0..=1 => AttemptEnd::Complete { token_interval: Some(Duration::from_millis(20)) },
        2 => AttemptEnd::Broken { tokens: 3 },
        3 => AttemptEnd::NotSent,
        4 => AttemptEnd::Refused { leaving: false },
        _ => AttemptEnd::Stalled,
    }
}

/// What callers and upstreams saw.
#[derive(Default)]
struct Seen {
    classes: BTreeMap<RequestId, usize>,
    byte_sent: Vec<RequestId>,
}

fn play(bench: &mut Bench, moves: Vec<Move>) -> Seen {
    let mut seen = Seen::default();
    let mut next_id = 1;
    for step in moves {
        match step {
            Move::Arrive(class) => {
                seen.classes.insert(next_id, class.into());
                bench.arrive(next_id, CLASSES[class as usize].0);
                next_id += 1;
            }
            Move::End(which, kind) => {
                let in_flight = bench.in_flight();
                let Some(order) = in_flight.get(which as usize % in_flight.len().max(1)) else {
                    continue;
                };
                let end = end(kind);
                if !matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused { .. }) {
                    seen.byte_sent.push(order.id);
                }
                bench.end(order.id, end);
            }
            Move::Leave(which) => {
                let id = u64::from(which) % next_id;
                bench.handle(Event::CallerLeft { id });
            }
            Move::Pass(ticks) => bench.pass(Duration::from_millis(u64::from(ticks) * 20)),
        }
    }
    seen
}

#[test]
fn not_run_is_true() {
    fn property(moves: Vec<Move>) -> bool {
        let mut bench = Bench::new(2, 2);
        let seen = play(&mut bench, moves);
        bench.all_given_up().iter().all(|(id, outcome)| {
            !matches!(outcome, Outcome::NotRun { .. }) || !seen.byte_sent.contains(id)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<Move>) -> bool);
}

#[test]
fn lower_tier_goes_first_only_when_overdue() {
    fn property(moves: Vec<Move>) -> bool {
        let mut bench = Bench::new(2, 2);
        let seen = play(&mut bench, moves);
        // A request sent at a priority other than its own was overdue; it may then be the highest.
        bench.orders().iter().all(|order| {
            let own = CLASSES[seen.classes[&order.id]].1;
            order.priority == own || order.priority == 0
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<Move>) -> bool);
}

#[test]
fn nothing_is_lost() {
    fn property(moves: Vec<Move>) -> bool {
        let mut bench = Bench::new(2, 2);
        play(&mut bench, moves);
        // Let all time run out, with every attempt completed.
        for _ in 0..2_000 {
            let in_flight = bench.in_flight();
            in_flight.iter().for_each(|order| bench.complete(order.id));
            bench.pass(Duration::from_millis(200));
        }
        bench.router().live_requests() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(20)
        .quickcheck(property as fn(Vec<Move>) -> bool);
}

#[test]
fn slots_of_lower_tiers_do_not_count() {
    let mut bench = Bench::new(1, 4);
    for id in 1..=4 {
        bench.arrive(id, "replan");
    }
    bench.arrive(5, "replan");
    assert!(!bench.is_in_flight(5), "a replan went to a full engine");
    bench.arrive(6, "tide-check");
    assert!(bench.is_in_flight(6), "a tide check waits behind replans");
}

#[test]
fn lower_tiers_leave_slots_free() {
    let mut bench = Bench::new(1, 8);
    for id in 1..=8 {
        bench.arrive(id, "replan");
    }
    assert_eq!(bench.in_flight().len(), 4, "two slots for each of the two tiers above");
    for id in 9..=16 {
        bench.arrive(id, "commentary");
    }
    assert_eq!(bench.in_flight().len(), 6, "two slots for the tier above");
    for id in 17..=24 {
        bench.arrive(id, "tide-check");
    }
    assert_eq!(bench.in_flight().len(), 14, "the highest tier is not held back");
}

#[test]
fn shedding_starts_at_the_lowest_tier() {
    let mut bench = Bench::new(1, 1);
    let mut id = 0;
    let mut arrive = |bench: &mut Bench, class: &str, count: u64| {
        for _ in 0..count {
            id += 1;
            bench.arrive(id, class);
        }
    };
    arrive(&mut bench, "replan", 2_100);
    arrive(&mut bench, "commentary", 2_200);
    // 4,096 shared places, 64 of each tier's own, and one request of each tier in flight.
    assert_eq!(bench.all_given_up().len(), 2_100 + 2_200 - 4_096 - 2 * 65);
    arrive(&mut bench, "tide-check", 5_000);
    let shed_of = |first: u64, last: u64| bench.all_given_up().range(first..=last).count();
    assert_eq!(
        shed_of(1, 2_100) + 65,
        2_100,
        "all but a replan in flight and the reserve are shed"
    );
    assert_eq!(shed_of(2_101, 4_300) + 65, 2_200, "then all but one commentary and the reserve");
    let told = bench.all_given_up().values().all(
        |it| matches!(it, Outcome::NotRun { reason: NotRunReason::QueueFull, retry_after_ms } if *retry_after_ms > 0),
    );
    assert!(told, "a shed caller must be told when to come back");
}

#[test]
fn overdue_replan_is_served_within_the_bound() {
    let mut bench = Bench::new(1, 4);
    let mut id = 1;
    bench.arrive(id, "replan");
    bench.complete(1);
    for _ in 0..8 {
        id += 1;
        bench.arrive(id, "tide-check");
    }
    let replan = 1_000_000;
    bench.arrive(replan, "replan");
    let arrived_at = bench.now;
    // Every 100 ms a tide check ends and two more arrive, without end.
    while !bench.is_in_flight(replan) {
        bench.pass(Duration::from_millis(100));
        let first = bench.in_flight()[0].id;
        bench.complete(first);
        for _ in 0..2 {
            id += 1;
            bench.arrive(id, "tide-check");
        }
        let waited = bench.now - arrived_at;
        // Overdue after 10 s; then one turn, at the latest after 1 s.
        assert!(waited <= Duration::from_secs(12), "a replan waits for {waited:?}");
    }
}

#[test]
fn peers_pressure_holds_lower_tiers_back() {
    let mut bench = Bench::new(1, 4);
    let entry = PressureEntry { pool: POOL.into(), tier: 0, age_ms: 0 };
    bench.handle(Event::PeerPressure(PressureDigest { entries: vec![entry] }));
    bench.arrive(1, "replan");
    assert!(!bench.is_in_flight(1), "a replan is fed while a tide check waits elsewhere");
    bench.arrive(2, "tide-check");
    assert!(bench.is_in_flight(2));
    bench.pass(Duration::from_secs(2));
    assert!(bench.is_in_flight(1), "old evidence holds a replan back for good");
}

#[test]
fn endless_pressure_cannot_starve() {
    let mut bench = Bench::new(1, 4);
    bench.arrive(1, "replan");
    bench.complete(1);
    let press = |bench: &mut Bench| {
        let entry = PressureEntry { pool: POOL.into(), tier: 0, age_ms: 0 };
        bench.handle(Event::PeerPressure(PressureDigest { entries: vec![entry] }));
    };
    press(&mut bench);
    bench.arrive(2, "replan");
    let arrived_at = bench.now;
    while !bench.is_in_flight(2) {
        press(&mut bench);
        bench.pass(Duration::from_millis(100));
        assert!(bench.now - arrived_at <= Duration::from_secs(12));
    }
}

#[test]
fn digest_is_passed_on_and_ages() {
    let mut bench = Bench::new(1, 1);
    let entry = PressureEntry { pool: POOL.into(), tier: 0, age_ms: 400 };
    bench.handle(Event::PeerPressure(PressureDigest { entries: vec![entry] }));
    bench.now += Duration::from_millis(300);
    let passed_on = bench.router().pressure(bench.now).entries;
    assert_eq!(passed_on, [PressureEntry { pool: POOL.into(), tier: 0, age_ms: 700 }]);
    bench.now += Duration::from_secs(1);
    assert_eq!(bench.router().pressure(bench.now).entries, []);
}
