//! When a request is sent again, and what a caller is told when it is not.

#[path = "support/bench.rs"]
mod bench;

use std::time::Duration;

use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Event;

use crate::bench::Bench;

const BROKEN: AttemptEnd = AttemptEnd::Broken { tokens: 0 };

fn not_run(outcome: &Outcome) -> Option<NotRunReason> {
    match outcome {
        Outcome::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn unrepeatable_is_never_sent_again_after_a_byte() {
    let mut bench = Bench::new(3, 8);
    bench.arrive_unrepeatable(1, "tide-check");
    bench.end(1, BROKEN);
    assert_eq!(bench.sent_to(1).len(), 1);
    assert_eq!(bench.given_up(1), Some(Outcome::Unknown));
}

#[test]
fn unrepeatable_moves_on_when_no_byte_was_sent() {
    let mut bench = Bench::new(3, 8);
    bench.arrive_unrepeatable(1, "tide-check");
    bench.end(1, AttemptEnd::NotSent);
    bench.end(1, AttemptEnd::Refused { leaving: false });
    assert_eq!(bench.sent_to(1).len(), 3);
}

#[test]
fn retry_avoids_the_upstream_that_failed() {
    for seed in 0..20 {
        let mut bench = Bench::seeded(4, 8, seed);
        bench.arrive(1, "tide-check");
        bench.end(1, BROKEN);
        bench.end(1, BROKEN);
        let mut sent = bench.sent_to(1);
        sent.sort();
        sent.dedup();
        assert_eq!(sent.len(), 3, "the same upstream was tried twice");
    }
}

#[test]
fn refused_everywhere_is_not_run() {
    let mut bench = Bench::new(3, 8);
    bench.arrive(1, "tide-check");
    while bench.is_in_flight(1) {
        bench.end(1, AttemptEnd::Refused { leaving: false });
    }
    let told = bench.given_up(1).and_then(|it| not_run(&it));
    assert_eq!(told, Some(NotRunReason::UpstreamsRefused));
}

#[test]
fn broken_once_is_never_told_not_run() {
    let mut bench = Bench::new(1, 1);
    bench.arrive(1, "tide-check");
    bench.end(1, BROKEN);
    bench.handle(Event::LeavingChanged { upstream: "engine-0".into(), leaving: true });
    bench.end(1, AttemptEnd::NotSent);
    assert_eq!(bench.given_up(1), Some(Outcome::Unknown));
}

#[test]
fn broken_stream_is_partial() {
    let mut bench = Bench::new(1, 1);
    bench.arrive(1, "tide-check");
    while bench.is_in_flight(1) {
        bench.end(1, AttemptEnd::Broken { tokens: 1 });
        bench.heal();
    }
    assert_eq!(bench.given_up(1), Some(Outcome::Partial));
}

#[test]
fn retries_stay_within_the_budget() {
    let mut bench = Bench::new(10, 100);
    let requests = 400;
    let mut sent = 0;
    for id in 1..=requests {
        bench.arrive(id, "tide-check");
        while bench.is_in_flight(id) {
            bench.end(id, BROKEN);
        }
        sent += bench.sent_to(id).len();
        bench.heal();
    }
    let retries = sent - requests as usize;
    assert!(retries <= 20 + requests as usize / 10, "{retries} retries of {requests} requests");
}

#[test]
fn stalled_request_is_tried_until_the_answer_limit() {
    let mut bench = Bench::new(2, 8);
    bench.arrive(1, "tide-check");
    for _ in 0..30 {
        bench.pass(Duration::from_secs(3));
        bench.end(1, AttemptEnd::Stalled);
        bench.heal();
    }
    assert!(bench.sent_to(1).len() > 20, "{:?}", bench.sent_to(1));
    bench.pass(Duration::from_secs(400));
    bench.end(1, AttemptEnd::Stalled);
    assert_eq!(bench.given_up(1), Some(Outcome::Unknown));
}

#[test]
fn late_news_of_an_older_attempt_is_ignored() {
    let mut bench = Bench::new(2, 8);
    bench.arrive(1, "tide-check");
    bench.end(1, BROKEN);
    bench.end_attempt(1, 1, AttemptEnd::Complete { token_interval: None });
    assert!(bench.is_in_flight(1));
    assert_eq!(bench.router().live_requests(), 1);
}
