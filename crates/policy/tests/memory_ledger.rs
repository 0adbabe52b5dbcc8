//! Memory is shared within the budget, and made room for by the bodies that make the least progress.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_policy::memory::MemoryKind;
use cranberryvalve_policy::memory::MemoryLedger;
use cranberryvalve_policy::memory::SMALL_BODY_BYTES;
use cranberryvalve_policy::memory::STALL_TIME;
use cranberryvalve_policy::memory::Shortage;

const LIMIT: usize = 400 * SMALL_BODY_BYTES;
const LARGE: usize = 40 * SMALL_BODY_BYTES;

/// Guards against clients with large bodies that shut out ordinary requests and responses.
#[test]
fn reserves_remain() {
    let mut ledger = MemoryLedger::new(LIMIT);
    while ledger.take(MemoryKind::LargeBody, SMALL_BODY_BYTES) {}
    assert_eq!(ledger.total_bytes(), LIMIT / 2);
    while ledger.take(MemoryKind::SmallBody, SMALL_BODY_BYTES) {}
    assert_eq!(ledger.used_bytes(MemoryKind::SmallBody), LIMIT / 4);
    assert!(ledger.take(MemoryKind::Response, LIMIT / 4));
    assert_eq!(ledger.total_bytes(), LIMIT);
    assert!(!ledger.take(MemoryKind::Response, 1));
}

/// Guards against chunked bodies that grow in the reserve of small ones.
#[test]
fn grown_bodies_count_as_large() {
    let mut ledger = MemoryLedger::new(LIMIT);
    assert!(ledger.take(MemoryKind::SmallBody, SMALL_BODY_BYTES));
    assert!(ledger.enlarge(SMALL_BODY_BYTES, SMALL_BODY_BYTES));
    assert_eq!(ledger.used_bytes(MemoryKind::SmallBody), 0);
    while ledger.take(MemoryKind::LargeBody, SMALL_BODY_BYTES) {}
    assert!(ledger.take(MemoryKind::SmallBody, 100));
    assert!(!ledger.enlarge(100, SMALL_BODY_BYTES));
    assert_eq!(ledger.used_bytes(MemoryKind::SmallBody), 100);
}

/// Guards against shedding a body that is about to end, and against shedding too many.
#[test]
fn largest_stalled_body_is_shed() {
    let start = Instant::now();
    let mut ledger = MemoryLedger::new(LIMIT);
    let stalled = ledger.begin_receiving(start, LARGE);
    let smaller = ledger.begin_receiving(start, LARGE / 2);
    let active = ledger.begin_receiving(start, 2 * LARGE);
    let now = start + STALL_TIME;
    ledger.record_growth(now, active, 2 * LARGE);
    let own = ledger.begin_receiving(now, 1);
    let mut make_room = |bytes| ledger.make_room(now, MemoryKind::LargeBody, Some(own), bytes);
    assert_eq!(make_room(LARGE), Shortage::Shed(stalled));
    assert_eq!(make_room(LARGE), Shortage::Releasing);
    assert_eq!(make_room(LARGE + 1), Shortage::Shed(smaller));
    assert_eq!(make_room(LARGE * 3), Shortage::Shed(own));
    assert!(ledger.end_receiving(stalled));
    assert!(!ledger.end_receiving(active));
}

/// Guards against bodies that shed each other so that none comes to its end.
#[test]
fn newest_active_body_is_shed() {
    let start = Instant::now();
    let mut ledger = MemoryLedger::new(LIMIT);
    let old = ledger.begin_receiving(start, LARGE);
    let new = ledger.begin_receiving(start, LARGE);
    let now = start + Duration::from_millis(10);
    assert_eq!(ledger.make_room(now, MemoryKind::LargeBody, Some(old), 1), Shortage::Shed(new));
    assert_eq!(ledger.make_room(now, MemoryKind::LargeBody, Some(old), 1), Shortage::Releasing);
    assert!(ledger.is_shed(new) && !ledger.is_shed(old));
    assert!(ledger.end_receiving(new) && !ledger.end_receiving(old));
    assert_eq!(ledger.make_room(now, MemoryKind::Response, None, 1), Shortage::Hopeless);
}

/// Guards against large bodies that shed those of ordinary requests.
#[test]
fn small_bodies_are_shed_last() {
    let start = Instant::now();
    let mut ledger = MemoryLedger::new(LIMIT);
    let large = ledger.begin_receiving(start, LARGE);
    let small = ledger.begin_receiving(start, 100);
    let now = start + Duration::from_millis(10);
    assert_eq!(ledger.make_room(now, MemoryKind::Connection, None, 1), Shortage::Shed(large));
    assert_eq!(ledger.make_room(now, MemoryKind::LargeBody, None, LARGE + 1), Shortage::Releasing);
    ledger.end_receiving(large);
    assert_eq!(ledger.make_room(now, MemoryKind::LargeBody, None, 1), Shortage::Hopeless);
    assert_eq!(ledger.make_room(now, MemoryKind::Response, None, 1), Shortage::Shed(small));
}
