//! Requests that a stopping VM ends are concluded by what their attempts have shown.

#[path = "support/harness.rs"]
mod harness;

use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Event;

use crate::harness::RouterHarness;

fn is_not_run(outcome: Option<&Outcome>) -> bool {
    matches!(outcome, Some(Outcome::NotRun { reason: NotRunReason::VmStopping, .. }))
}

#[test]
fn queued_and_new_requests_are_not_run() {
    let mut harness = RouterHarness::new(1, 1);
    (1..=3).for_each(|id| harness.arrive(id, "tide-check"));
    let running = harness.in_flight().len();
    harness.handle(Event::Stopping);
    harness.arrive(4, "tide-check");
    let ended = (1..=4).filter(|id| is_not_run(harness.given_up(*id).as_ref()));
    assert_eq!(ended.count(), 4 - running);
    assert_eq!(harness.in_flight().len(), running);
}

#[test]
fn no_attempt_follows_the_one_in_flight() {
    let cases = [
        (AttemptEnd::NotSent, None),
        (AttemptEnd::Refused { leaving: false }, None),
        (AttemptEnd::TimedOut, Some(Outcome::Unknown)),
        (AttemptEnd::Interrupted { tokens: 0 }, Some(Outcome::Unknown)),
        (AttemptEnd::Interrupted { tokens: 3 }, Some(Outcome::Partial)),
    ];
    for (end, expected) in cases {
        let mut harness = RouterHarness::new(3, 8);
        harness.arrive(1, "tide-check");
        harness.handle(Event::Stopping);
        assert!(harness.is_in_flight(1));
        harness.end(1, end);
        assert_eq!(harness.sent_to(1).len(), 1);
        let outcome = harness.given_up(1);
        assert!(
            outcome == expected || expected.is_none() && is_not_run(outcome.as_ref()),
            "{end:?}"
        );
    }
}

#[test]
fn earlier_attempts_count() {
    let mut harness = RouterHarness::new(3, 8);
    harness.arrive(1, "tide-check");
    harness.end(1, AttemptEnd::Interrupted { tokens: 0 });
    harness.handle(Event::Stopping);
    harness.end(1, AttemptEnd::NotSent);
    assert_eq!(harness.given_up(1), Some(Outcome::Unknown));
}
