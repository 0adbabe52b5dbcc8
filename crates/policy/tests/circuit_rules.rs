//! What opens and closes the circuit of an upstream.

#[path = "support/harness.rs"]
mod harness;

use std::time::Duration;

use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::CircuitState;

use crate::harness::RouterHarness;

fn circuit(harness: &RouterHarness, id: &str) -> CircuitState {
    let snapshot = harness.router().snapshot(harness.now);
    let upstream = snapshot.upstreams.into_iter().find(|it| &*it.id == id);
    upstream.expect("a configured upstream").circuit
}

#[test]
fn failures_while_it_is_open_do_not_extend_the_open_time() {
    let mut harness = RouterHarness::new(1, 16);
    (1..=12).for_each(|id| harness.arrive_non_repeatable(id, "tide-check"));
    assert_eq!(harness.in_flight().len(), 12);
    (1..=12).for_each(|id| harness.end(id, AttemptEnd::Interrupted { tokens: 0 }));
    assert_eq!(circuit(&harness, "engine-0"), CircuitState::Open);
    harness.now += Duration::from_millis(1_100);
    assert_eq!(circuit(&harness, "engine-0"), CircuitState::HalfOpen);
}
