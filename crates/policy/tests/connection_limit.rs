//! A new connection takes the slot of one that brings no request.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_policy::connections::Admitted;
use cranberryvalve_policy::connections::ConnectionId;
use cranberryvalve_policy::connections::ConnectionTable;
use cranberryvalve_policy::connections::STANDSTILL_TIME;

const LIMIT: usize = 4;

/// Returns a full table and its connections.
fn full_table(now: Instant) -> (ConnectionTable, Vec<ConnectionId>) {
    let mut table = ConnectionTable::new(LIMIT);
    let ids = (0..LIMIT).map(|_| table.admit(now).expect("a slot").id).collect();
    (table, ids)
}

fn evicted(table: &mut ConnectionTable, now: Instant) -> Option<ConnectionId> {
    table.admit(now).and_then(|it| it.evicted)
}

/// Guards against a crowd that holds all slots and shuts out ordinary callers, and against closing a
/// caller's connection before others that matter less.
#[test]
fn eviction_order() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (mut table, ids) = full_table(start);
    let [unused, unfinished, kept, busy] = ids[..] else { panic!("{ids:?}") };
    table.begin_request(at(1), unfinished);
    for id in [kept, busy] {
        table.begin_request(start, id);
        table.begin_response(start, id);
    }
    table.end_request(start, kept);
    assert_eq!(table.admit(at(399)), None, "none has stood still for long enough");
    assert_eq!(evicted(&mut table, at(401)), Some(unused));
    assert_eq!(evicted(&mut table, at(401)), Some(unfinished));
    assert_eq!(evicted(&mut table, at(401)), Some(kept));
    assert_eq!(table.admit(at(401)), None, "a call in progress and new connections");
    assert!([unused, unfinished, kept].iter().all(|it| table.is_evicted(*it)));
    assert!(!table.is_evicted(busy));
}

/// Guards against uploads that are cut off while they make progress.
#[test]
fn progress_counts() {
    let start = Instant::now();
    let (mut table, ids) = full_table(start);
    ids.iter().for_each(|it| table.begin_request(start, *it));
    let now = start + STANDSTILL_TIME;
    ids[1..].iter().for_each(|it| table.record_progress(now, *it));
    assert_eq!(evicted(&mut table, now), Some(ids[0]));
    assert_eq!(table.admit(now), None);
}

/// Guards against requests that are lost as their connection was chosen just before they arrived.
#[test]
fn request_in_time() {
    let start = Instant::now();
    let (mut table, ids) = full_table(start);
    let now = start + STANDSTILL_TIME;
    assert_eq!(evicted(&mut table, now), Some(ids[0]));
    table.begin_request(now, ids[0]);
    assert!(!table.is_evicted(ids[0]));
    table.begin_response(now, ids[0]);
    table.end_request(now, ids[0]);
    assert!(!table.is_evicted(ids[0]));
}

/// Guards against connections without limit while those that were chosen are not closed yet.
#[test]
fn bounded_excess() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(100);
    let ids: Vec<_> = (0..100).filter_map(|_| table.admit(start)).map(|it| it.id).collect();
    let now = start + STANDSTILL_TIME;
    let admitted: Vec<Admitted> = std::iter::from_fn(|| table.admit(now)).collect();
    assert_eq!(admitted.len(), 32);
    table.remove(ids[0]);
    assert_eq!(table.admit(now).and_then(|it| it.evicted), Some(ids[32]));
}
