//! Pools that are gone from the configuration leave nothing behind.

#[path = "support/calls.rs"]
mod calls;
#[path = "support/harness.rs"]
mod harness;

use std::sync::Arc;

use cranberryvalve_core::table::Authentication;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::SchedulerEvent;

use crate::calls::Harness;
use crate::harness::RouterHarness;

/// Returns the pools of which the scheduler keeps retries.
fn known_pools(harness: &Harness) -> Vec<String> {
    let snapshot = harness.scheduler.snapshot(harness.now);
    let mut pools: Vec<_> = snapshot.retries_left.iter().map(|it| it.pool.to_string()).collect();
    pools.sort();
    pools
}

/// Returns a routing table that declares no pool.
fn empty_table() -> Arc<RoutingTable> {
    Arc::new(RoutingTable::new(
        2,
        Vec::new(),
        Vec::new(),
        Authentication::Anonymous,
        CallerLimits::default(),
    ))
}

#[test]
fn scheduler_forgets_pools_that_are_removed() {
    let mut harness = Harness::new(calls::two_services());
    harness.submit(CallKind::Idempotent, calls::SERVICES, 0, None);
    harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(Vec::new()));
    harness.scheduler.set_table(empty_table());
    assert_eq!(known_pools(&harness), [calls::SERVICES], "a call is in flight");
    harness.end(1, 1, AttemptEnd::Complete);
    harness.scheduler.set_table(empty_table());
    assert_eq!(known_pools(&harness), Vec::<String>::new());
}

#[test]
fn retries_of_a_declared_pool_outlast_its_upstreams() {
    let mut harness = Harness::new(calls::two_services());
    harness.submit(CallKind::Idempotent, calls::SERVICES, 0, None);
    harness.end(1, 1, AttemptEnd::Complete);
    harness.scheduler.handle(harness.now, SchedulerEvent::DirectoryChanged(Vec::new()));
    harness.scheduler.set_table(Arc::new(calls::table()));
    assert_eq!(known_pools(&harness), [calls::SERVICES]);
}

#[test]
fn router_forgets_pools_that_are_removed() {
    let mut harness = RouterHarness::new(1, 1);
    harness.arrive(1, "tide-check");
    harness.arrive(2, "tide-check");
    let without_upstreams = harness::config(0, 1);
    harness.handle(Event::ConfigChanged(without_upstreams.clone().into()));
    let pools = |harness: &RouterHarness| harness.router().snapshot(harness.now).pools.len();
    assert_eq!(pools(&harness), 1, "a request waits");
    harness.complete(1);
    harness.handle(Event::CallerDisconnected { id: 2 });
    harness.handle(Event::ConfigChanged(without_upstreams.into()));
    assert_eq!(pools(&harness), 0);
}
