//! Test programs that run at the same time do not use each other's ports.

use cranberryvalve_standins::ports::PortLease;
use cranberryvalve_standins::ports::free_address;

/// Guards against two test programs that start processes at the same address, one of which was stopped
/// for a moment.
#[test]
fn stopped_process() {
    let address = free_address();
    // Nothing listens at the address, and another program takes the lease by the same file.
    assert!(PortLease::take(address.port()).is_none());
}

/// Guards against ports that are never free again.
#[test]
fn ended_lease() {
    let port = 9_999;
    let lease = PortLease::take(port);
    assert!(lease.is_some() && PortLease::take(port).is_none());
    drop(lease);
    assert!(PortLease::take(port).is_some());
}
