//! Upstreams that fail under refusals for want of room are left alone once they are full.

#[path = "support/calls.rs"]
mod calls;

use std::time::Duration;

use cranberryvalve_core::UpstreamRefusal;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::ConclusionReason;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::UpstreamNotice;

use calls::CallState;
use calls::Harness;
use calls::SERVICES;
use calls::two_services;

const REFUSED: AttemptEnd = AttemptEnd::Refused { misdirected: false };

/// Pause after a refusal of an upstream that survives 8 refusals a second.
const PAUSE: Duration = Duration::from_millis(250);

fn announce_brittleness(harness: &mut Harness, id: &str) {
    let notice = UpstreamNotice::Brittle(8);
    let event = SchedulerEvent::NoticeReceived { upstream: id.into(), incarnation: 1, notice };
    harness.scheduler.handle(harness.now, event);
}

fn read(harness: &mut Harness) -> CallState {
    harness.submit(CallKind::Idempotent, SERVICES, 0, None)
}

fn sent_to(id: &str) -> CallState {
    CallState::Sent(id.to_owned())
}

fn refusal(id: &str) -> UpstreamRefusal {
    UpstreamRefusal { upstream: id.into(), incarnation: 1, pause_ms: 250 }
}

#[test]
fn refusal_pauses_the_upstream_on_all_vms() {
    let (mut first, mut second) = (Harness::new(two_services()), Harness::new(two_services()));
    announce_brittleness(&mut first, "p-far");
    assert_eq!(read(&mut first), sent_to("p-near"));
    first.end(1, 1, REFUSED);
    assert_eq!(read(&mut first), sent_to("p-far"));
    let refusals = first.scheduler.take_refusals();
    assert_eq!(refusals, [refusal("p-near")]);
    assert_eq!(first.scheduler.take_refusals(), []);
    second.scheduler.handle(second.now, SchedulerEvent::PeerRefusals(refusals));
    assert_eq!(read(&mut second), sent_to("p-far"));
    assert_eq!(second.scheduler.take_refusals(), []);
    second.advance(PAUSE);
    second.end(1, 1, AttemptEnd::Complete);
    assert_eq!(read(&mut second), sent_to("p-near"));
}

#[test]
fn full_upstreams_refuse_calls_until_the_pause_ends() {
    let mut harness = Harness::new(two_services());
    announce_brittleness(&mut harness, "p-near");
    for id in ["p-near", "p-far"] {
        let event = SchedulerEvent::PeerRefusals(vec![refusal(id)]);
        harness.scheduler.handle(harness.now, event);
    }
    assert_eq!(read(&mut harness), CallState::Concluded(ConclusionReason::UpstreamsPaused));
}

#[test]
fn share_halves_with_a_refusal_and_grows_slowly() {
    let mut harness = Harness::new(vec![two_services().remove(0)]);
    announce_brittleness(&mut harness, "p-near");
    let in_flight = |harness: &mut Harness| -> u64 {
        let first = harness.next_id + 1;
        while read(harness) == sent_to("p-near") {}
        let count = harness.next_id - first;
        for id in first..=harness.next_id {
            harness.end(id, 1, AttemptEnd::Complete);
        }
        count
    };
    assert_eq!(in_flight(&mut harness), 8);
    harness.advance(Duration::from_secs(1));
    for _ in 0..4 {
        read(&mut harness);
    }
    let last = harness.next_id;
    harness.end(last, 1, REFUSED);
    (last - 3..last).for_each(|id| drop(harness.end(id, 1, AttemptEnd::Complete)));
    harness.advance(PAUSE);
    announce_brittleness(&mut harness, "p-near");
    assert!(in_flight(&mut harness) <= 2);
}

#[test]
fn refusals_of_other_upstreams_change_nothing() {
    let mut harness = Harness::new(two_services());
    assert_eq!(read(&mut harness), sent_to("p-near"));
    harness.end(1, 1, REFUSED);
    assert_eq!(harness.scheduler.take_refusals(), []);
    assert_eq!(read(&mut harness), sent_to("p-near"));
}

#[test]
fn brittleness_ends_when_upstreams_no_longer_say_so() {
    let mut harness = Harness::new(two_services());
    announce_brittleness(&mut harness, "p-near");
    assert!(harness.scheduler.is_brittle(harness.now, SERVICES));
    harness.advance(Duration::from_secs(3));
    assert!(!harness.scheduler.is_brittle(harness.now, SERVICES));
}

#[test]
fn crashes_with_few_refusals_before_them_are_not_for_want_of_room() {
    let mut harness = Harness::new(two_services());
    let lacks_room =
        |harness: &Harness| harness.scheduler.may_lack_room(harness.now, &"p-near".into());
    let refuse = |harness: &mut Harness, count: usize| {
        let event = SchedulerEvent::PeerRefusals(vec![refusal("p-near"); count]);
        harness.scheduler.handle(harness.now, event);
    };
    refuse(&mut harness, 9);
    assert!(!lacks_room(&harness), "it is not brittle");
    harness.advance(Duration::from_millis(1_001));
    announce_brittleness(&mut harness, "p-far");
    // Half of the 8 refusals that it bears.
    refuse(&mut harness, 4);
    assert!(!lacks_room(&harness));
    refuse(&mut harness, 1);
    assert!(lacks_room(&harness));
    harness.advance(Duration::from_secs(1));
    assert!(lacks_room(&harness));
    harness.advance(Duration::from_millis(1));
    assert!(!lacks_room(&harness));
}

#[test]
fn crashes_of_brittle_upstreams_prove_nothing_where_refusals_are_not_heard_of() {
    for (vm_count, expected) in [(65, false), (66, true)] {
        let mut harness = Harness::new(two_services());
        announce_brittleness(&mut harness, "p-near");
        harness.scheduler.handle(harness.now, SchedulerEvent::VmCountChanged(vm_count));
        assert_eq!(harness.scheduler.may_lack_room(harness.now, &"p-near".into()), expected);
    }
}
