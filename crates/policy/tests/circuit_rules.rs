//! What opens and closes the circuit of an upstream.

#[path = "support/calls.rs"]
mod calls;
#[path = "support/harness.rs"]
mod harness;

use std::time::Duration;

use cranberryvalve_core::table::CallKind;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::CircuitState;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::SendCommand;
use cranberryvalve_policy::scheduler;
use cranberryvalve_policy::scheduler::SchedulerEvent;

use crate::calls::CallState;
use crate::calls::Harness;
use crate::harness::RouterHarness;

/// Time between two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(100);

/// Number of streams, which arrive within a minute.
const STREAMS: u64 = 600;

const CUT: AttemptEnd = AttemptEnd::Interrupted { tokens: 4 };
const COMPLETE: AttemptEnd =
    AttemptEnd::Complete { token_interval: Some(Duration::from_millis(20)) };

fn circuit(harness: &RouterHarness, id: &str) -> CircuitState {
    let snapshot = harness.router().snapshot(harness.now);
    let upstream = snapshot.upstreams.into_iter().find(|it| &*it.id == id);
    upstream.expect("a configured upstream").circuit
}

/// Sends a request whose response starts, and returns its attempt.
fn start_stream(harness: &mut RouterHarness, id: u64) -> Option<SendCommand> {
    harness.arrive(id, "tide-check");
    let sent = harness.in_flight().into_iter().find(|it| it.id == id)?;
    harness.handle(Event::ResponseStarted { id, attempt: sent.attempt });
    Some(sent)
}

/// Plays streams of which those at `engine-0` end as `end` says, and returns how many were sent
/// there.
fn play(harness: &mut RouterHarness, end: impl Fn(u64) -> AttemptEnd) -> u64 {
    let mut sent_there = 0;
    for id in 1..=STREAMS {
        harness.advance(STREAM_INTERVAL);
        let sent = start_stream(harness, id).expect("a free slot");
        if &*sent.upstream == "engine-0" {
            sent_there += 1;
            harness.end(id, end(sent_there));
        }
        // A request that was cut goes on elsewhere.
        harness.end(id, COMPLETE);
    }
    sent_there
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

#[test]
fn upstream_that_cuts_every_stream_is_left_alone() {
    let mut harness = RouterHarness::new(2, 8);
    let sent_there = play(&mut harness, |_| CUT);
    // It is tried after 1, 2, 4, 8, 16 and 30 s.
    assert!(sent_there <= 3 * 7, "{sent_there} of {STREAMS} streams");
}

#[test]
fn scheduler_leaves_an_upstream_alone_that_cuts_every_stream() {
    let upstreams = ["e-0", "e-1"].map(|it| calls::upstream(it, calls::ENGINES, "near"));
    let mut harness = Harness::new(upstreams.to_vec());
    let mut cut = 0;
    for id in 1..=STREAMS {
        harness.advance(STREAM_INTERVAL);
        let prompt = calls::prompt(400, id);
        let mut state = harness.submit(CallKind::ResumableStream, calls::ENGINES, 0, prompt);
        for attempt in 1..=2 {
            let CallState::Sent(upstream) = state else { break };
            harness.scheduler.handle(harness.now, SchedulerEvent::ResponseStarted { id, attempt });
            let is_cut = upstream == "e-0";
            cut += u64::from(is_cut);
            let end = if is_cut {
                scheduler::AttemptEnd::Interrupted
            } else {
                scheduler::AttemptEnd::Complete
            };
            state = harness.end(id, attempt, end);
        }
    }
    assert!(cut <= 3 * 7, "{cut} of {STREAMS} streams");
}

#[test]
fn upstream_that_cuts_a_few_streams_keeps_its_work() {
    let mut harness = RouterHarness::new(2, 8);
    let untroubled = play(&mut RouterHarness::new(2, 8), |_| COMPLETE);
    let sent_there = play(&mut harness, |it| if it % 5 < 2 { CUT } else { COMPLETE });
    assert!(sent_there * 10 >= untroubled * 8, "{sent_there} streams, {untroubled} without cuts");
}

#[test]
fn callers_that_leave_are_no_failures() {
    let mut harness = RouterHarness::new(1, 8);
    let sent_there = play(&mut harness, |_| AttemptEnd::Abandoned);
    assert_eq!((sent_there, circuit(&harness, "engine-0")), (STREAMS, CircuitState::Closed));
}

#[test]
fn start_of_a_probe_lets_others_through() {
    let mut harness = RouterHarness::new(1, 8);
    (1..=3).for_each(|id| harness.arrive_non_repeatable(id, "tide-check"));
    (1..=3).for_each(|id| harness.end(id, AttemptEnd::Interrupted { tokens: 0 }));
    assert_eq!(circuit(&harness, "engine-0"), CircuitState::Open);
    (4..=6).for_each(|id| harness.arrive(id, "tide-check"));
    harness.advance(Duration::from_millis(1_100));
    let probe = harness.in_flight().first().cloned().expect("one request is the probe");
    assert_eq!(harness.in_flight().len(), 1);
    harness.handle(Event::ResponseStarted { id: probe.id, attempt: probe.attempt });
    assert_eq!(circuit(&harness, "engine-0"), CircuitState::Closed);
}

#[test]
fn response_too_short_to_show_the_pace_does_not_close_a_straggler() {
    let mut harness = RouterHarness::new(4, 8);
    let end_of = |upstream: &str| {
        let interval_ms = if upstream == "engine-2" { 200 } else { 20 };
        AttemptEnd::Complete { token_interval: Some(Duration::from_millis(interval_ms)) }
    };
    let mut id = 0;
    while circuit(&harness, "engine-2") == CircuitState::Closed {
        id += 1;
        assert!(id < 1_000, "the straggler is not found");
        let sent = start_stream(&mut harness, id).expect("a free slot");
        harness.end(id, end_of(&sent.upstream));
    }
    harness.advance(Duration::from_millis(1_100));
    for _ in 0..200 {
        id += 1;
        let sent = start_stream(&mut harness, id).expect("a free slot");
        harness.end(id, AttemptEnd::Complete { token_interval: None });
        if &*sent.upstream == "engine-2" {
            assert_eq!(circuit(&harness, "engine-2"), CircuitState::HalfOpen);
            return;
        }
    }
    panic!("the straggler got no probe");
}
