//! Selection of upstreams: load, circuit breakers, stragglers, prefix affinity and subsets.

#[path = "support/harness.rs"]
mod harness;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cranberryvalve_core::UpstreamId;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::CircuitState;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::LoadReport;
use cranberryvalve_policy::Request;

use crate::harness::POOL;
use crate::harness::RouterHarness;

fn circuit_state(harness: &RouterHarness, id: &str) -> CircuitState {
    let snapshot = harness.router().snapshot(harness.now);
    let upstream = snapshot.upstreams.into_iter().find(|it| &*it.id == id);
    upstream.expect("a configured upstream").circuit
}

/// Sends requests until `count` attempts at `engine` have ended with `end`.
///
/// Requests that go to other engines complete.
fn end_at(
    harness: &mut RouterHarness,
    engine: &str,
    count: usize,
    end: AttemptEnd,
    next_id: &mut u64,
) {
    let mut remaining = count;
    let last_id = *next_id + 10_000;
    while remaining > 0 {
        *next_id += 1;
        assert!(*next_id < last_id, "no request was sent to {engine}");
        harness.arrive(*next_id, "tide-check");
        let order = harness.in_flight().into_iter().find(|it| it.id == *next_id);
        if order.is_some_and(|it| &*it.upstream == engine) {
            harness.end(*next_id, end);
            remaining -= 1;
        }
        harness.complete(*next_id);
    }
}

#[test]
fn circuit_opens_and_allows_one_probe() {
    let mut harness = RouterHarness::new(2, 8);
    let mut id = 0;
    end_at(&mut harness, "engine-0", 3, AttemptEnd::Interrupted { tokens: 0 }, &mut id);
    assert_eq!(circuit_state(&harness, "engine-0"), CircuitState::Open);
    harness.advance(Duration::from_millis(1_100));
    assert_eq!(circuit_state(&harness, "engine-0"), CircuitState::HalfOpen);
    for _ in 0..30 {
        id += 1;
        harness.arrive(id, "tide-check");
    }
    let probes = harness.in_flight().iter().filter(|it| &*it.upstream == "engine-0").count();
    assert_eq!(probes, 1, "a half-open circuit allows one request");
}

#[test]
fn failed_probe_doubles_the_open_time() {
    let mut harness = RouterHarness::new(2, 8);
    let mut id = 0;
    end_at(&mut harness, "engine-0", 3, AttemptEnd::Interrupted { tokens: 0 }, &mut id);
    harness.advance(Duration::from_millis(1_100));
    end_at(&mut harness, "engine-0", 1, AttemptEnd::Interrupted { tokens: 0 }, &mut id);
    harness.advance(Duration::from_millis(1_500));
    assert_eq!(circuit_state(&harness, "engine-0"), CircuitState::Open);
    harness.advance(Duration::from_millis(700));
    assert_eq!(circuit_state(&harness, "engine-0"), CircuitState::HalfOpen);
}

#[test]
fn failed_load_reports_do_not_hold_a_request_to_its_limit() {
    let mut harness = RouterHarness::new(1, 8);
    let report_failed = || Event::LoadReportFailed { upstream: "engine-0".into() };
    harness.arrive(1, "commentary");
    harness.end(1, AttemptEnd::Interrupted { tokens: 10 });
    harness.handle(report_failed());
    // Its engine is down, and rejects each attempt and each query for its load.
    for _ in 0..20 {
        if harness.is_in_flight(1) {
            harness.end(1, AttemptEnd::Interrupted { tokens: 0 });
        }
        harness.advance(Duration::from_millis(500));
        harness.handle(report_failed());
    }
    assert_eq!(harness.sent_to(1).len(), 4);
    assert!(harness.given_up(1).is_some(), "the request waits for a probe");
}

#[test]
fn circuit_opens_for_a_straggler() {
    let mut harness = RouterHarness::new(4, 8);
    let mut id = 0;
    for engine in ["engine-0", "engine-1", "engine-3"] {
        let token_interval = Some(Duration::from_millis(20));
        end_at(&mut harness, engine, 5, AttemptEnd::Complete { token_interval }, &mut id);
    }
    let token_interval = Some(Duration::from_millis(200));
    let slow = AttemptEnd::Complete { token_interval };
    end_at(&mut harness, "engine-2", 3, slow, &mut id);
    assert_eq!(circuit_state(&harness, "engine-2"), CircuitState::Open);
    harness.advance(Duration::from_millis(1_100));
    assert_eq!(circuit_state(&harness, "engine-2"), CircuitState::HalfOpen);
    end_at(&mut harness, "engine-2", 1, slow, &mut id);
    harness.advance(Duration::from_millis(1_100));
    assert_eq!(
        circuit_state(&harness, "engine-2"),
        CircuitState::Open,
        "a slow probe doubles the open time"
    );
}

#[test]
fn token_interval_is_recorded_before_the_attempt_ends() {
    let mut harness = RouterHarness::new(4, 8);
    let mut id = 0;
    for engine in ["engine-0", "engine-1", "engine-3"] {
        let token_interval = Some(Duration::from_millis(20));
        end_at(&mut harness, engine, 3, AttemptEnd::Complete { token_interval }, &mut id);
    }
    let mut reported = 0;
    while reported < 3 {
        id += 1;
        assert!(id < 10_000, "no request was sent to engine-2");
        harness.arrive(id, "tide-check");
        let order = harness.in_flight().into_iter().find(|it| it.id == id).expect("a free slot");
        if &*order.upstream == "engine-2" {
            let token_interval = Duration::from_millis(200);
            harness.handle(Event::TokenIntervalMeasured {
                id,
                attempt: order.attempt,
                token_interval,
            });
            reported += 1;
        } else {
            harness.complete(id);
        }
    }
    assert_eq!(circuit_state(&harness, "engine-2"), CircuitState::Open);
}

#[test]
fn at_most_a_third_of_a_pool_is_unavailable_for_slowness() {
    let mut harness = RouterHarness::new(6, 8);
    let mut id = 0;
    for round in 0..8 {
        for engine in 0..6 {
            let name = format!("engine-{engine}");
            if circuit_state(&harness, &name) != CircuitState::Closed {
                continue;
            }
            let interval_ms = if engine < 3 { 20 } else { 400 + round };
            let token_interval = Some(Duration::from_millis(interval_ms));
            end_at(&mut harness, &name, 1, AttemptEnd::Complete { token_interval }, &mut id);
        }
    }
    let open =
        (0..6).filter(|it| circuit_state(&harness, &format!("engine-{it}")) == CircuitState::Open);
    assert!(open.count() <= 2);
}

#[test]
fn reported_load_of_other_vms_counts_until_it_expires() {
    let mut harness = RouterHarness::new(2, 4);
    let report = LoadReport { by_tier: BTreeMap::from([(0, 4)]) };
    harness.handle(Event::LoadReported { upstream: "engine-0".into(), report });
    for id in 1..=4 {
        harness.arrive(id, "tide-check");
    }
    assert!(harness.sent().iter().all(|it| &*it.upstream == "engine-1"), "{:?}", harness.sent());
    harness.arrive(5, "tide-check");
    assert!(!harness.is_in_flight(5));
    harness.advance(Duration::from_secs(5));
    assert!(harness.is_in_flight(5), "the reported load did not decay");
}

#[test]
fn same_prefix_goes_to_the_same_engine_until_it_is_busy() {
    let mut harness = RouterHarness::new(6, 8);
    let arrive = |harness: &mut RouterHarness, id: u64| {
        let request = Request::new(id, "tide-check".into(), "tasman".into(), POOL.into());
        harness.handle(Event::Arrived(request.prefix_hash(Some(77))));
    };
    for id in 1..=10 {
        arrive(&mut harness, id);
        harness.complete(id);
    }
    let engines: BTreeSet<UpstreamId> =
        harness.sent().iter().map(|it| it.upstream.clone()).collect();
    assert_eq!(engines.len(), 1, "requests with one prefix went to several idle engines");
    for id in 11..=40 {
        arrive(&mut harness, id);
    }
    let mut loads = BTreeMap::<UpstreamId, usize>::new();
    for order in harness.in_flight() {
        *loads.entry(order.upstream).or_default() += 1;
    }
    assert!(loads.values().all(|it| *it <= 8), "{loads:?}");
    assert!(loads.len() >= 4, "requests with one prefix did not spread: {loads:?}");
}

#[test]
fn subset_is_limited_and_stable() {
    let mut config = harness::config(100, 8);
    let mut harness = RouterHarness::with_config(config.clone(), 1);
    let before: BTreeSet<UpstreamId> =
        harness.router().subset_upstreams().into_iter().map(|it| it.id).collect();
    assert_eq!(before.len(), 24);
    let removed = before.first().cloned().expect("a subset");
    config.upstreams.retain(|it| it.id != removed);
    harness.handle(Event::ConfigChanged(config.into()));
    let after: BTreeSet<UpstreamId> =
        harness.router().subset_upstreams().into_iter().map(|it| it.id).collect();
    assert_eq!(
        before.intersection(&after).count(),
        23,
        "removing one engine changes one entry of the subset"
    );
}

#[test]
fn request_for_a_pool_that_is_shutting_down_fails_at_once() {
    let mut harness = RouterHarness::new(1, 4);
    harness.handle(Event::LeavingChanged { upstream: "engine-0".into(), leaving: true });
    harness.arrive(1, "tide-check");
    assert!(
        harness.given_up(1).is_some(),
        "the request stayed queued for a pool that is shutting down"
    );
    harness.handle(Event::LeavingChanged { upstream: "engine-0".into(), leaving: false });
    harness.arrive(2, "tide-check");
    assert!(harness.is_in_flight(2));
}
