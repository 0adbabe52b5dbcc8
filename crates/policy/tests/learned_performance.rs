//! What responses show of an upstream's performance decides where calls go.

#[path = "support/calls.rs"]
mod calls;

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::table::CallKind;
use cranberryvalve_policy::performance::Performance;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::ReportedLoad;
use cranberryvalve_policy::scheduler::SchedulerEvent;

use crate::calls::CallState;
use crate::calls::ENGINES;
use crate::calls::Harness;
use crate::calls::prompt;
use crate::calls::upstream;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a performance that has seen a response `excess_ms` later than expected.
fn delayed(now: Instant, excess_ms: u64) -> Performance {
    let mut performance = Performance::default();
    performance.record_sent(1, now, ms(50));
    performance.record_response_start(now + ms(50 + excess_ms), 1);
    performance
}

/// Reports the load of an engine, with how long work takes if `percent` is given.
fn report(harness: &mut Harness, engine: &str, percent: Option<u32>) {
    let load = ReportedLoad { running: 0, waiting: 0, slots: 8, work_time_percent: percent };
    let event = SchedulerEvent::LoadReported { upstream: engine.into(), load };
    harness.scheduler.handle(harness.now, event);
}

/// Submits a call, whose response starts after `delay` and ends at once; returns its engine.
fn serve(harness: &mut Harness, shared: u64, delay: Duration) -> String {
    let state = harness.submit(CallKind::Stream, ENGINES, 0, prompt(500, shared));
    let CallState::Sent(engine) = state else { panic!("{state:?}") };
    let id = harness.next_id;
    harness.now += delay;
    harness.scheduler.handle(harness.now, SchedulerEvent::ResponseStarted { id, attempt: 1 });
    harness.end(id, 1, AttemptEnd::Complete);
    engine
}

/// Returns where a call goes right after one that was answered late, and some seconds after.
fn engines_after_a_late_response(percent: Option<u32>) -> [String; 3] {
    let engines = ["e-0", "e-1"].map(|it| upstream(it, ENGINES, "near"));
    let mut harness = Harness::new(engines.to_vec());
    report(&mut harness, "e-0", percent);
    let first = serve(&mut harness, 1, ms(800));
    let second = serve(&mut harness, 1, ms(10));
    harness.now += ms(20_000);
    let third = serve(&mut harness, 1, ms(10));
    [first, second, third]
}

#[test]
fn calls_leave_an_engine_that_responds_late_and_return() {
    let [first, second, third] = engines_after_a_late_response(Some(100));
    assert_ne!(first, second);
    assert_eq!(first, third);
}

/// Guards against a change for deployments whose engines do not report how long work takes.
#[test]
fn calls_stay_where_engines_report_no_work_time() {
    let [first, second, third] = engines_after_a_late_response(None);
    assert_eq!([&second, &third], [&first, &first]);
}

#[test]
fn an_overdue_response_counts_before_it_starts() {
    let (now, mut performance) = (Instant::now(), Performance::default());
    performance.record_sent(1, now, ms(50));
    assert_eq!(performance.excess_delay(now + ms(60)), Duration::ZERO);
    assert_eq!(performance.excess_delay(now + ms(350)), ms(300));
    performance.forget(1);
    assert_eq!(performance.excess_delay(now + ms(350)), Duration::ZERO);
}

#[test]
fn an_excess_is_forgotten_with_time() {
    let now = Instant::now();
    let performance = delayed(now, 400);
    let excess_after = |time: Duration| performance.excess_delay(now + ms(450) + time);
    assert_eq!(excess_after(Duration::ZERO), ms(400));
    assert!(excess_after(ms(2_000)) < ms(150) && excess_after(ms(2_000)) > ms(145));
    assert_eq!(excess_after(ms(10_000)), Duration::ZERO);
}

#[test]
fn later_responses_on_time_halve_an_excess() {
    let now = Instant::now();
    let mut performance = delayed(now, 400);
    let later = now + ms(450);
    performance.record_sent(2, later, ms(50));
    performance.record_response_start(later, 2);
    assert_eq!(performance.excess_delay(later), ms(200));
}

/// Guards against engines that are avoided for seconds because of other work on their machine that
/// they report, and that is over at once.
#[test]
fn reported_work_time_explains_a_late_response() {
    let (now, mut performance) = (Instant::now(), Performance::default());
    performance.record_sent(1, now, ms(200));
    let later = now + ms(500);
    performance.record_work_time(later, 250);
    assert!((performance.work_time_factor(later) - 2.5).abs() < 1.0e-9);
    performance.record_response_start(later, 1);
    assert_eq!(performance.excess_delay(later), Duration::ZERO);
    assert!((performance.work_time_factor(later + ms(300)) - 1.0).abs() < 1.0e-9);
}

#[test]
fn extreme_reports_are_bounded() {
    let (now, mut performance) = (Instant::now(), Performance::default());
    for (percent, expected) in [(0, 0.25), (u32::MAX, 10.0)] {
        performance.record_work_time(now, percent);
        assert!((performance.work_time_factor(now) - expected).abs() < 1.0e-9);
    }
}

/// Guards against short streams that wait behind prompts: an engine whose pace is not known, as
/// it has just started, may be slow.
#[test]
fn generating_calls_get_the_fastest_engines() {
    let names: Vec<String> = (0..12).map(|it| format!("e-{it}")).collect();
    let engines = names.iter().map(|it| upstream(it, ENGINES, "near")).collect();
    let mut harness = Harness::new(engines);
    report(&mut harness, "e-0", Some(100));
    // The last two engines have just started.
    for (number, engine) in names.iter().enumerate().take(10) {
        let event_gap = ms(if number < 5 { 20 } else { 50 });
        let event = SchedulerEvent::StreamMeasured { upstream: engine.as_str().into(), event_gap };
        harness.scheduler.handle(harness.now, event);
    }
    let kinds = [(2, prompt(6_000, 10_000)), (1, prompt(2_000, 20_000))];
    for (tier, prompt) in kinds {
        harness.submit(CallKind::Stream, ENGINES, tier, prompt);
        harness.end(harness.next_id, 1, AttemptEnd::Complete);
    }
    for shared in 0..40 {
        let engine = serve(&mut harness, shared, ms(10));
        assert!(names[..5].contains(&engine), "{engine}");
    }
}
