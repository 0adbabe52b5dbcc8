//! Upstreams that announce their departure or a pause get no requests that they do not want.

#[path = "support/calls.rs"]
mod calls;

use std::time::Duration;

use cranberryvalve_core::Departure;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::ConclusionReason;
use cranberryvalve_policy::scheduler::NoticeSource;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::UpstreamNotice;
use quickcheck::quickcheck;

use calls::CallState;
use calls::Harness;
use calls::SERVICES;
use calls::two_services;
use calls::upstream;

fn notify(harness: &mut Harness, id: &str, notice: UpstreamNotice) -> Vec<SchedulerAction> {
    let event = SchedulerEvent::NoticeReceived { upstream: id.into(), incarnation: 1, notice };
    harness.scheduler.handle(harness.now, event)
}

fn sent_to(id: &str) -> CallState {
    CallState::Sent(id.to_owned())
}

fn read(harness: &mut Harness) -> CallState {
    harness.submit(CallKind::Idempotent, SERVICES, 0, None)
}

#[test]
fn announced_departure_outlasts_the_directory() {
    let mut harness = Harness::new(two_services());
    let departure = Departure { upstream: "p-near".into(), incarnation: 1 };
    assert_eq!(
        notify(&mut harness, "p-near", UpstreamNotice::Leaving),
        vec![SchedulerAction::UpstreamLeaving {
            upstream: "p-near".into(),
            source: NoticeSource::Upstream
        }]
    );
    assert_eq!(harness.scheduler.take_departures(), vec![departure]);
    let far_only = vec![upstream("p-far", SERVICES, "far")];
    for directory in [two_services(), far_only, two_services()] {
        harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(directory));
        assert_eq!(read(&mut harness), sent_to("p-far"));
    }
    let mut restarted = two_services();
    restarted[0].incarnation = 2;
    harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(restarted));
    assert_eq!(read(&mut harness), sent_to("p-near"));
}

#[test]
fn departures_of_two_starts_do_not_circulate_forever() {
    let mut vms = [Harness::new(two_services()), Harness::new(two_services())];
    let departure = |incarnation| Departure { upstream: "p-near".into(), incarnation };
    let mut to_first = vec![departure(1)];
    let mut to_second = vec![departure(2)];
    for _ in 0..10 {
        let mut tell = |vm: usize, departures: &[Departure]| -> Vec<Departure> {
            let event = SchedulerEvent::PeerDepartures(departures.to_vec());
            let now = vms[vm].now;
            vms[vm].scheduler.handle(now, event);
            vms[vm].scheduler.take_departures()
        };
        (to_first, to_second) = (tell(1, &to_second), tell(0, &to_first));
    }
    assert_eq!((to_first, to_second), (Vec::new(), Vec::new()));
    for vm in &vms {
        assert_eq!(vm.scheduler.departures(), [departure(2)]);
    }
}

#[test]
fn leaving_row_is_not_undone_by_an_older_one() {
    let mut harness = Harness::new(two_services());
    let mut leaving = two_services();
    leaving[0].is_leaving = true;
    harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(leaving));
    harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(two_services()));
    assert_eq!(read(&mut harness), sent_to("p-far"));
}

#[test]
fn departure_is_forwarded_once() {
    let mut harness = Harness::new(two_services());
    let departures = vec![Departure { upstream: "p-near".into(), incarnation: 1 }];
    for expected in [departures.clone(), Vec::new()] {
        let event = SchedulerEvent::PeerDepartures(departures.clone());
        harness.scheduler.handle(harness.now, event);
        assert_eq!(harness.scheduler.take_departures(), expected);
    }
    assert_eq!(harness.scheduler.departures(), departures);
}

#[test]
fn withdrawn_call_is_placed_elsewhere_without_a_verdict() {
    let mut harness = Harness::new(two_services());
    assert_eq!(harness.submit(CallKind::NonIdempotent, SERVICES, 0, None), sent_to("p-near"));
    notify(&mut harness, "p-near", UpstreamNotice::Pause(Duration::from_secs(1)));
    assert!(!harness.scheduler.may_send(harness.now, &"p-near".into(), 1));
    assert_eq!(harness.end(1, 1, AttemptEnd::Withdrawn), sent_to("p-far"));
    harness.advance(Duration::from_secs(1));
    assert!(harness.scheduler.may_send(harness.now, &"p-near".into(), 1));
    assert_eq!(read(&mut harness), sent_to("p-near"));
}

#[test]
fn pauses_are_bounded_and_never_shortened() {
    let mut harness = Harness::new(two_services());
    let requested = Duration::MAX;
    let pause = Duration::from_secs(60);
    let started = SchedulerAction::PauseStarted { upstream: "p-near".into(), requested, pause };
    assert_eq!(notify(&mut harness, "p-near", UpstreamNotice::Pause(requested)), vec![started]);
    notify(&mut harness, "p-near", UpstreamNotice::Pause(Duration::from_millis(1)));
    harness.advance(Duration::from_millis(59_990));
    assert_eq!(read(&mut harness), sent_to("p-far"));
    harness.advance(Duration::from_millis(10));
    assert_eq!(read(&mut harness), sent_to("p-near"));
}

#[test]
fn call_is_refused_at_once_if_all_pauses_are_too_long() {
    let mut harness = Harness::new(two_services());
    for (id, seconds) in [("p-near", 4), ("p-far", 3)] {
        notify(&mut harness, id, UpstreamNotice::Pause(Duration::from_secs(seconds)));
    }
    assert_eq!(read(&mut harness), CallState::Concluded(ConclusionReason::UpstreamsPaused));
    // The rest of the shorter pause is within the time that a call waits for room.
    harness.advance(Duration::from_millis(2_950));
    assert_eq!(read(&mut harness), CallState::Queued);
    let actions = harness.advance(Duration::from_millis(50));
    assert_eq!(calls::call_state(&actions), sent_to("p-far"));
}

quickcheck! {
    fn no_call_goes_to_an_unwilling_upstream(steps: Vec<(u8, u8)>) -> bool {
        let mut harness = Harness::new(two_services());
        let mut leaving = [false; 2];
        let mut paused_until = [harness.now; 2];
        steps.into_iter().all(|(kind, value)| {
            let index = usize::from(value % 2);
            let id = ["p-near", "p-far"][index];
            match kind % 5 {
                0 if value % 16 < 2 => {
                    leaving[index] = true;
                    notify(&mut harness, id, UpstreamNotice::Leaving);
                }
                1 => {
                    let pause = Duration::from_millis(u64::from(value) * 10);
                    paused_until[index] = paused_until[index].max(harness.now + pause);
                    notify(&mut harness, id, UpstreamNotice::Pause(pause));
                }
                2 => drop(harness.advance(Duration::from_millis(u64::from(value)))),
                3 => {
                    let event = SchedulerEvent::DirectoryChanged(two_services());
                    harness.scheduler.handle(harness.now, event);
                }
                _ => {}
            }
            match read(&mut harness) {
                CallState::Sent(id) => {
                    let index = usize::from(id == "p-far");
                    !leaving[index] && paused_until[index] <= harness.now
                }
                _ => true,
            }
        })
    }
}
