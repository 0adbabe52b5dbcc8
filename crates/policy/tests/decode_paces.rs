//! VMs agree on the decode paces of engines.

#[path = "support/calls.rs"]
mod calls;

use std::time::Duration;

use cranberryvalve_core::UpstreamPace;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use quickcheck::quickcheck;

use crate::calls::ENGINES;
use crate::calls::Harness;
use crate::calls::upstream;

/// Returns the directory with the given start of the engine.
fn directory(incarnation: u64) -> Vec<UpstreamRecord> {
    vec![UpstreamRecord { incarnation, ..upstream("e-0", ENGINES, "near") }]
}

/// Returns the paces that a VM sends after it has measured a stream of this start of the engine.
fn measured(incarnation: u64, event_gap_ms: u64) -> Vec<UpstreamPace> {
    let mut vm = Harness::new(directory(incarnation));
    let event_gap = Duration::from_millis(event_gap_ms);
    let event = SchedulerEvent::StreamMeasured { upstream: "e-0".into(), event_gap };
    vm.scheduler.handle(vm.now, event);
    vm.scheduler.paces()
}

/// Returns the paces that a VM knows after these events and with the second start in its directory.
fn paces_after(events: impl IntoIterator<Item = SchedulerEvent>) -> Vec<UpstreamPace> {
    let mut vm = Harness::new(Vec::new());
    for event in events {
        vm.scheduler.handle(vm.now, event);
    }
    vm.scheduler.handle(vm.now, SchedulerEvent::DirectoryChanged(directory(2)));
    vm.scheduler.paces()
}

#[test]
fn later_message_with_a_longer_pace_does_not_replace_a_pending_one() {
    let messages = [measured(2, 20), measured(2, 40)].map(SchedulerEvent::PeerPaces);
    assert_eq!(paces_after(messages), measured(2, 20));
}

#[test]
fn pace_of_an_engine_that_the_directory_drops_for_a_while_is_kept() {
    let mut vm = Harness::new(directory(2));
    vm.scheduler.handle(vm.now, SchedulerEvent::PeerPaces(measured(2, 20)));
    while !vm.scheduler.take_pace_updates(10).is_empty() {}
    for records in [Vec::new(), directory(1), directory(2)] {
        vm.scheduler.handle(vm.now, SchedulerEvent::DirectoryChanged(records));
    }
    assert_eq!(vm.scheduler.paces(), measured(2, 20));
    assert_eq!(vm.scheduler.take_pace_updates(10), [], "the peers were told before");
}

quickcheck! {
    /// Messages and states of the directory may arrive in any order.
    fn vms_agree_on_paces_in_any_order(events: Vec<(u8, u8)>, order: Vec<usize>) -> bool {
        let event = |(kind, value): &(u8, u8)| match kind % 4 {
            0 => SchedulerEvent::DirectoryChanged(Vec::new()),
            1 => SchedulerEvent::DirectoryChanged(directory(u64::from(value % 2) + 1)),
            kind => SchedulerEvent::PeerPaces(measured(u64::from(kind) - 1, u64::from(*value) + 1)),
        };
        let mut shuffled = events.clone();
        for (from, to) in order.iter().enumerate().take(events.len()) {
            shuffled.swap(from, to % events.len());
        }
        paces_after(events.iter().map(event)) == paces_after(shuffled.iter().map(event))
    }
}
