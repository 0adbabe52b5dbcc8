//! Upstreams that name a rate limit get requests only with a permit of their coordinator.

#[path = "support/calls.rs"]
mod calls;

use std::time::Duration;

use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::RateLimitNotice;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_policy::scheduler::ConclusionReason;
use cranberryvalve_policy::scheduler::NoticeSource;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::UpstreamNotice;

use calls::CallState;
use calls::Harness;
use calls::SERVICES;
use calls::call_state;
use calls::two_services;
use calls::upstream;

const LIFETIME: Duration = Duration::from_millis(500);

fn notify(harness: &mut Harness, id: &str, notice: UpstreamNotice) -> Vec<SchedulerAction> {
    let event = SchedulerEvent::NoticeReceived { upstream: id.into(), incarnation: 1, notice };
    harness.scheduler.handle(harness.now, event)
}

fn decide(harness: &mut Harness, id: &str, verdict: PermitVerdict) -> Vec<SchedulerAction> {
    let event = SchedulerEvent::PermitDecided { upstream: id.into(), incarnation: 1, verdict };
    harness.scheduler.handle(harness.now, event)
}

fn read(harness: &mut Harness) -> CallState {
    harness.submit(CallKind::Idempotent, SERVICES, 0, None)
}

fn sent_to(id: &str) -> CallState {
    CallState::Sent(id.to_owned())
}

fn request(id: &str, limit_per_s: Option<f64>, age: Duration) -> PermitRequest {
    let notice = RateLimitNotice { limit_per_s, age };
    PermitRequest { upstream: id.into(), incarnation: 1, notice }
}

#[test]
fn other_upstreams_take_calls_without_a_permit() {
    let mut harness = Harness::new(two_services());
    assert_eq!(read(&mut harness), sent_to("p-near"));
    let actions = notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0));
    let changed = SchedulerAction::RateLimitChanged {
        upstream: "p-near".into(),
        limit_per_s: Some(1.0),
        source: NoticeSource::Upstream,
    };
    assert_eq!(actions, [changed]);
    assert_eq!(notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0)), []);
    assert_eq!(read(&mut harness), sent_to("p-far"));
    let requests = harness.scheduler.take_permit_requests();
    assert_eq!(requests, [request("p-near", Some(1.0), Duration::ZERO)]);
    // One request is enough until the verdict.
    assert_eq!(read(&mut harness), sent_to("p-far"));
    assert_eq!(harness.scheduler.take_permit_requests(), []);
    decide(&mut harness, "p-near", PermitVerdict::Granted(LIFETIME));
    assert_eq!(read(&mut harness), sent_to("p-near"));
    assert_eq!(read(&mut harness), sent_to("p-far"));
}

#[test]
fn permit_that_ran_out_is_not_used() {
    let mut harness = Harness::new(two_services());
    notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0));
    read(&mut harness);
    decide(&mut harness, "p-near", PermitVerdict::Granted(LIFETIME));
    harness.advance(LIFETIME);
    assert_eq!(read(&mut harness), sent_to("p-far"));
}

#[test]
fn permit_that_arrives_late_is_not_used() {
    let mut harness = Harness::new(two_services());
    notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0));
    read(&mut harness);
    harness.advance(LIFETIME);
    decide(&mut harness, "p-near", PermitVerdict::Granted(LIFETIME));
    assert_eq!(read(&mut harness), sent_to("p-far"));
}

#[test]
fn request_must_be_sent_while_its_permit_holds() {
    let mut harness = Harness::new(vec![upstream("p-near", SERVICES, "near")]);
    notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0));
    assert_eq!(read(&mut harness), CallState::Queued);
    let actions = decide(&mut harness, "p-near", PermitVerdict::Granted(LIFETIME));
    let [SchedulerAction::Send(command)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(command.send_by, Some(harness.now + LIFETIME));
    // The permit is used, and the upstream may still be sent what it was used for.
    assert!(harness.scheduler.may_send(harness.now, &"p-near".into(), 1));
}

#[test]
fn call_that_cannot_wait_is_refused_with_the_time_of_the_next_permit() {
    let mut harness = Harness::new(vec![upstream("p-near", SERVICES, "near")]);
    notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0));
    assert_eq!(read(&mut harness), CallState::Queued);
    let delay = Duration::from_millis(700);
    let actions = decide(&mut harness, "p-near", PermitVerdict::NotBefore(delay));
    assert_eq!(call_state(&actions), CallState::Concluded(ConclusionReason::UpstreamsPaused));
    let [SchedulerAction::Conclude(conclusion)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(conclusion.retry_after, delay);
    harness.scheduler.take_permit_requests();
    harness.advance(delay);
    assert_eq!(read(&mut harness), CallState::Queued);
    let requests = harness.scheduler.take_permit_requests();
    assert_eq!(requests, [request("p-near", Some(1.0), delay)]);
}

#[test]
fn lost_request_for_a_permit_is_repeated() {
    let mut harness = Harness::new(two_services());
    notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0));
    read(&mut harness);
    assert_eq!(harness.scheduler.take_permit_requests().len(), 1);
    harness.advance(Duration::from_millis(200));
    read(&mut harness);
    assert_eq!(harness.scheduler.take_permit_requests().len(), 1);
}

#[test]
fn lifted_limit_is_told_to_the_coordinator() {
    let mut harness = Harness::new(two_services());
    notify(&mut harness, "p-near", UpstreamNotice::RateLimit(2.0));
    let actions = notify(&mut harness, "p-near", UpstreamNotice::NoRateLimit);
    let lifted = |source| SchedulerAction::RateLimitChanged {
        upstream: "p-near".into(),
        limit_per_s: None,
        source,
    };
    assert_eq!(actions, [lifted(NoticeSource::Upstream)]);
    let requests = harness.scheduler.take_permit_requests();
    assert_eq!(requests, [request("p-near", None, Duration::ZERO)]);
    assert_eq!(read(&mut harness), sent_to("p-near"));
    notify(&mut harness, "p-far", UpstreamNotice::RateLimit(2.0));
    let actions = decide(&mut harness, "p-far", PermitVerdict::Lifted);
    let expected = SchedulerAction::RateLimitChanged {
        upstream: "p-far".into(),
        limit_per_s: None,
        source: NoticeSource::Peer,
    };
    assert_eq!(actions, [expected]);
}

#[test]
fn limit_does_not_outlast_a_restart() {
    let mut harness = Harness::new(vec![upstream("p-near", SERVICES, "near")]);
    notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0));
    let mut restarted = upstream("p-near", SERVICES, "near");
    restarted.incarnation = 2;
    harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(vec![restarted]));
    assert_eq!(read(&mut harness), sent_to("p-near"));
}

#[test]
fn verdicts_of_any_length_are_bounded() {
    for time in [Duration::MAX, Duration::from_secs(u64::MAX / 2), Duration::from_secs(3_600)] {
        for verdict in [PermitVerdict::Granted(time), PermitVerdict::NotBefore(time)] {
            let mut harness = Harness::new(two_services());
            notify(&mut harness, "p-near", UpstreamNotice::RateLimit(1.0));
            notify(&mut harness, "p-far", UpstreamNotice::RateLimit(1.0));
            read(&mut harness);
            decide(&mut harness, "p-near", verdict);
            decide(&mut harness, "p-far", verdict);
            harness.scheduler.take_permit_requests();
            harness.advance(Duration::from_secs(10));
            read(&mut harness);
            assert_ne!(harness.scheduler.take_permit_requests(), [], "{verdict:?}");
        }
    }
}
