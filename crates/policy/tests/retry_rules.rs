//! Rules for retries, and the outcome reported when a request is not retried.

#[path = "support/harness.rs"]
mod harness;

use std::time::Duration;

use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Event;

use crate::harness::RouterHarness;

const INTERRUPTED: AttemptEnd = AttemptEnd::Interrupted { tokens: 0 };

fn not_run_reason(outcome: &Outcome) -> Option<NotRunReason> {
    match outcome {
        Outcome::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn non_repeatable_request_is_not_retried_after_a_byte_was_sent() {
    let mut harness = RouterHarness::new(3, 8);
    harness.arrive_non_repeatable(1, "tide-check");
    harness.end(1, INTERRUPTED);
    assert_eq!(harness.sent_to(1).len(), 1);
    assert_eq!(harness.given_up(1), Some(Outcome::Unknown));
}

#[test]
fn non_repeatable_request_is_retried_if_no_byte_was_sent() {
    let mut harness = RouterHarness::new(3, 8);
    harness.arrive_non_repeatable(1, "tide-check");
    harness.end(1, AttemptEnd::NotSent);
    harness.end(1, AttemptEnd::Refused { leaving: false });
    assert_eq!(harness.sent_to(1).len(), 3);
}

#[test]
fn retry_avoids_failed_upstreams() {
    for seed in 0..20 {
        let mut harness = RouterHarness::seeded(4, 8, seed);
        harness.arrive(1, "tide-check");
        harness.end(1, INTERRUPTED);
        harness.end(1, INTERRUPTED);
        let mut sent = harness.sent_to(1);
        sent.sort();
        sent.dedup();
        assert_eq!(sent.len(), 3, "a retry went to an upstream that had failed");
    }
}

#[test]
fn refusal_by_all_upstreams_is_reported_as_not_run() {
    let mut harness = RouterHarness::new(3, 8);
    harness.arrive(1, "tide-check");
    while harness.is_in_flight(1) {
        harness.end(1, AttemptEnd::Refused { leaving: false });
    }
    let reason = harness.given_up(1).and_then(|it| not_run_reason(&it));
    assert_eq!(reason, Some(NotRunReason::UpstreamsRefused));
}

#[test]
fn interrupted_attempt_is_never_reported_as_not_run() {
    let mut harness = RouterHarness::new(1, 1);
    harness.arrive(1, "tide-check");
    harness.end(1, INTERRUPTED);
    harness.handle(Event::LeavingChanged { upstream: "engine-0".into(), leaving: true });
    harness.end(1, AttemptEnd::NotSent);
    assert_eq!(harness.given_up(1), Some(Outcome::Unknown));
}

#[test]
fn interrupted_stream_is_reported_as_partial() {
    let mut harness = RouterHarness::new(1, 1);
    harness.arrive(1, "tide-check");
    while harness.is_in_flight(1) {
        harness.end(1, AttemptEnd::Interrupted { tokens: 1 });
        harness.reset_circuits();
    }
    assert_eq!(harness.given_up(1), Some(Outcome::Partial));
}

#[test]
fn retries_stay_within_the_budget() {
    let mut harness = RouterHarness::new(10, 100);
    let requests = 400;
    let mut sent = 0;
    for id in 1..=requests {
        harness.arrive(id, "tide-check");
        while harness.is_in_flight(id) {
            harness.end(id, INTERRUPTED);
        }
        sent += harness.sent_to(id).len();
        harness.reset_circuits();
    }
    let retries = sent - requests as usize;
    assert!(retries <= 20 + requests as usize / 10, "{retries} retries of {requests} requests");
}

#[test]
fn timed_out_request_is_retried_until_the_answer_limit() {
    let mut harness = RouterHarness::new(2, 8);
    harness.arrive(1, "tide-check");
    for _ in 0..30 {
        harness.advance(Duration::from_secs(3));
        harness.end(1, AttemptEnd::TimedOut);
        harness.reset_circuits();
    }
    assert!(harness.sent_to(1).len() > 20, "{:?}", harness.sent_to(1));
    harness.advance(Duration::from_secs(400));
    harness.end(1, AttemptEnd::TimedOut);
    assert_eq!(harness.given_up(1), Some(Outcome::Unknown));
}

#[test]
fn end_of_an_earlier_attempt_is_ignored() {
    let mut harness = RouterHarness::new(2, 8);
    harness.arrive(1, "tide-check");
    harness.end(1, INTERRUPTED);
    harness.end_attempt(1, 1, AttemptEnd::Complete { token_interval: None });
    assert!(harness.is_in_flight(1));
    assert_eq!(harness.router().live_requests(), 1);
}
