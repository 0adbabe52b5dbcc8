//! A VM whose clock was set back before a restart rejoins under a lower incarnation.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::peer::Heartbeat;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_core::PressureDigest;

const EARLIER_START_UNIX_MS: u64 = 1_000_000;
const LATER_START_UNIX_MS: u64 = 990_000;

fn address(name: &str, port: u16) -> PeerAddress {
    PeerAddress {
        vm: name.into(),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "near".into(),
    }
}

/// Delivers a heartbeat of `from` to `to`.
fn send(now: Instant, from: &mut Membership, to: &mut Membership) {
    let heartbeat = Heartbeat {
        from: from.local().clone(),
        incarnation: from.incarnation(),
        sequence: 1,
        acknowledged: 0,
        config_version: 0,
        config_fresh: false,
        pressure: PressureDigest::default(),
        members: from.updates_for(&to.local().vm.clone()),
    };
    to.on_heartbeat(now, &heartbeat);
}

/// Restarts `b` with a clock that was set back, and returns whether `a` lists it as alive under its
/// new incarnation after two exchanges of heartbeats.
fn rejoins(leaves_first: bool) -> bool {
    let now = Instant::now();
    let mut a = Membership::new(address("a", 1), 1);
    let mut b = Membership::new(address("b", 2), EARLIER_START_UNIX_MS);
    send(now, &mut b, &mut a);
    if leaves_first {
        b.stop();
        send(now, &mut b, &mut a);
    }
    let mut b = Membership::new(address("b", 3), LATER_START_UNIX_MS);
    for round in 1..=2 {
        let now = now + Duration::from_millis(300) * round;
        send(now, &mut b, &mut a);
        send(now, &mut a, &mut b);
    }
    send(now + Duration::from_secs(1), &mut b, &mut a);
    a.alive_count() == 2 && a.address_of("b") == Some(address("b", 3))
}

#[test]
fn rejoins_after_a_crash() {
    assert!(rejoins(false));
}

#[test]
fn rejoins_after_a_planned_stop() {
    assert!(rejoins(true));
}
