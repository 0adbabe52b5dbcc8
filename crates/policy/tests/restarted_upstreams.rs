//! Streams are not joined with those of an upstream that may have started again with another version.

#[path = "support/calls.rs"]
mod calls;

use std::time::Duration;

use cranberryvalve_core::UNKNOWN_VERSION;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::ConclusionReason;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use calls::CallState;
use calls::ENGINES;
use calls::Harness;
use calls::call;
use calls::prompt;
use calls::upstream;

/// Time after which a start is no longer in doubt.
const DOUBT_TIME: Duration = Duration::from_secs(5);

const NO_SUCH_VERSION: CallState = CallState::Concluded(ConclusionReason::NoSuchVersion);

fn engine(id: &str, incarnation: u64, version: &str) -> UpstreamRecord {
    let record = upstream(id, ENGINES, "near");
    UpstreamRecord { incarnation, software_version: version.into(), ..record }
}

/// A scheduler whose retry budget is filled by calls that were completed.
fn harness() -> Harness {
    let mut harness = Harness::new(vec![engine("e-1", 1, "v1")]);
    for id in 1..=20 {
        assert_eq!(begin_stream(&mut harness), sent_to("e-1"));
        harness.end(id, 1, AttemptEnd::Complete);
    }
    harness
}

fn sent_to(id: &str) -> CallState {
    CallState::Sent(id.to_owned())
}

fn set_directory(harness: &mut Harness, directory: Vec<UpstreamRecord>) {
    harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(directory));
}

fn doubt(harness: &mut Harness, id: &str, incarnation: u64) {
    let event = SchedulerEvent::StartDoubted { upstream: id.into(), incarnation };
    harness.scheduler.handle(harness.now, event);
}

/// Submits a call that begins a stream, and lets the response begin.
fn begin_stream(harness: &mut Harness) -> CallState {
    let state = harness.submit(CallKind::ResumableStream, ENGINES, 0, prompt(100, 1));
    let event = SchedulerEvent::ResponseStarted { id: harness.next_id, attempt: 1 };
    harness.scheduler.handle(harness.now, event);
    state
}

/// Submits a call that continues a stream of `version`.
fn continue_stream(harness: &mut Harness, version: &str) -> CallState {
    harness.next_id += 1;
    let kind = CallKind::ResumableStream;
    let mut call = call(harness.next_id, harness.now, kind, ENGINES, 0, prompt(100, 1));
    call.software_version = Some(version.into());
    let event = SchedulerEvent::Arrived(Box::new(call));
    calls::call_state(&harness.scheduler.handle(harness.now, event))
}

fn required_version(harness: &Harness) -> Option<&str> {
    harness.scheduler.required_version(harness.next_id).map(|it| &**it)
}

#[test]
fn a_doubted_start_continues_no_streams_until_it_is_still_listed_later() {
    let mut harness = harness();
    doubt(&mut harness, "e-1", 1);
    assert_eq!(continue_stream(&mut harness, "v1"), NO_SUCH_VERSION);
    harness.advance(DOUBT_TIME - Duration::from_millis(1));
    assert_eq!(continue_stream(&mut harness, "v1"), NO_SUCH_VERSION);
    assert_eq!(begin_stream(&mut harness), sent_to("e-1"));
    assert_eq!(required_version(&harness), Some(UNKNOWN_VERSION));
    harness.advance(Duration::from_millis(1));
    assert_eq!(continue_stream(&mut harness, "v1"), sent_to("e-1"));
    assert_eq!(begin_stream(&mut harness), sent_to("e-1"));
    assert_eq!(required_version(&harness), Some("v1"));
}

#[test]
fn a_refused_connection_puts_the_start_in_doubt() {
    let mut harness = harness();
    harness.submit(CallKind::ResumableStream, ENGINES, 0, prompt(100, 1));
    harness.end(harness.next_id, 1, AttemptEnd::NotSent);
    assert_eq!(continue_stream(&mut harness, "v1"), NO_SUCH_VERSION);
}

#[test]
fn a_new_entry_ends_the_doubt_and_doubts_of_an_earlier_start_do_not_count() {
    let mut harness = harness();
    doubt(&mut harness, "e-1", 1);
    set_directory(&mut harness, vec![engine("e-1", 2, "v2")]);
    doubt(&mut harness, "e-1", 1);
    assert_eq!(continue_stream(&mut harness, "v2"), sent_to("e-1"));
    assert_eq!(continue_stream(&mut harness, "v1"), NO_SUCH_VERSION);
}

#[test]
fn a_stream_that_runs_when_its_upstream_is_replaced_continues_nowhere() {
    for has_begun in [true, false] {
        let mut harness = harness();
        if has_begun {
            assert_eq!(begin_stream(&mut harness), sent_to("e-1"));
        } else {
            harness.submit(CallKind::ResumableStream, ENGINES, 0, prompt(100, 1));
        }
        set_directory(&mut harness, vec![engine("e-1", 2, "v2"), engine("e-2", 1, "v1")]);
        let event = SchedulerEvent::ResponseStarted { id: harness.next_id, attempt: 1 };
        harness.scheduler.handle(harness.now, event);
        assert_eq!(required_version(&harness), Some(UNKNOWN_VERSION));
        let state = harness.end(harness.next_id, 1, AttemptEnd::Interrupted);
        assert_eq!(state, CallState::Concluded(ConclusionReason::AttemptsExhausted));
    }
}

#[test]
fn a_stream_of_a_start_at_another_address_keeps_its_version() {
    let mut harness = harness();
    assert_eq!(begin_stream(&mut harness), sent_to("e-1"));
    let address = ([127, 0, 0, 1], 2).into();
    let moved = UpstreamRecord { address, ..engine("e-1", 2, "v2") };
    set_directory(&mut harness, vec![moved, engine("e-2", 1, "v1")]);
    assert_eq!(required_version(&harness), Some("v1"));
    assert_eq!(harness.end(harness.next_id, 1, AttemptEnd::Interrupted), sent_to("e-2"));
}

/// The doubt ended by the clock while no entry could come, so that streams were joined.
#[test]
fn outage_holds_doubts() {
    let mut harness = harness();
    let set_source = |harness: &mut Harness, is_reached| {
        let event = SchedulerEvent::DirectorySource { is_reached };
        harness.scheduler.handle(harness.now, event);
    };
    doubt(&mut harness, "e-1", 1);
    harness.advance(DOUBT_TIME / 2);
    set_source(&mut harness, false);
    harness.advance(DOUBT_TIME * 2);
    assert_eq!(continue_stream(&mut harness, "v1"), NO_SUCH_VERSION);
    set_source(&mut harness, true);
    harness.advance(DOUBT_TIME - Duration::from_millis(1));
    assert_eq!(continue_stream(&mut harness, "v1"), NO_SUCH_VERSION);
    harness.advance(Duration::from_millis(1));
    assert_eq!(continue_stream(&mut harness, "v1"), sent_to("e-1"));
    // Doubts that had ended before the outage do not come back.
    set_source(&mut harness, false);
    assert_eq!(continue_stream(&mut harness, "v1"), sent_to("e-1"));
    doubt(&mut harness, "e-1", 1);
    harness.advance(DOUBT_TIME * 2);
    assert_eq!(continue_stream(&mut harness, "v1"), NO_SUCH_VERSION);
}
