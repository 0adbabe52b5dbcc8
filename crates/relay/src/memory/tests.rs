//! Reservations stay within the budget, are released, and make room for each other.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cranberryvalve_policy::memory::MemoryKind;
use slog::Discard;
use slog::Logger;
use slog::o;

use super::HeldBody;
use super::MemoryBudget;
use super::OutOfMemory;
use super::Reservation;
use super::SEGMENT_BYTES;
use crate::socket::Waker;

/// Part of a budget that request bodies leave for responses, as a divisor; the same part is left for
/// small bodies and connections.
const RESERVE_DIVISOR: usize = 4;

fn budget(limit_bytes: usize) -> MemoryBudget {
    MemoryBudget::new(limit_bytes, Logger::root(Discard, o!()))
}

fn small(memory: &MemoryBudget) -> Reservation {
    memory.reserve(MemoryKind::SmallBody)
}

#[test]
fn reservations_share_a_budget() {
    let memory = budget(100 + 100 / (RESERVE_DIVISOR - 1) + 1);
    let mut first = small(&memory);
    let mut second = small(&memory);
    assert_eq!(first.extend_to(60), Ok(()));
    assert_eq!(second.extend_to(42), Err(OutOfMemory));
    assert_eq!(second.extend_to(41), Ok(()));
    assert_eq!(first.extend_to(60), Ok(()));
    drop(first);
    assert_eq!(second.extend_to(101), Ok(()));
    drop(second);
    assert_eq!(memory.used_bytes(MemoryKind::SmallBody), 0);
}

#[test]
fn bodies_grow_within_the_budget() {
    let limit_bytes = 40 * SEGMENT_BYTES;
    let memory = budget(limit_bytes);
    for _ in 0..3 {
        let mut bodies: Vec<_> = (0..4).map(|_| HeldBody::new(small(&memory))).collect();
        let mut appended_bytes = 0;
        let allocated_bytes = |bodies: &[HeldBody]| -> usize {
            bodies.iter().flat_map(HeldBody::segments).map(Vec::capacity).sum()
        };
        'full: loop {
            for index in 0..bodies.len() {
                let Ok(buffer) = bodies[index].buffer(1_000) else { break 'full };
                buffer.extend_from_slice(&[b'x'; 1_000]);
                appended_bytes += 1_000;
                let spare_bytes = memory.0.lock().spare_segments.len() * SEGMENT_BYTES;
                assert!(allocated_bytes(&bodies) + spare_bytes <= limit_bytes);
            }
        }
        assert_eq!(bodies.iter().map(HeldBody::len).sum::<usize>(), appended_bytes);
        assert!(appended_bytes > limit_bytes * 2 / 5, "only {appended_bytes} bytes fit");
    }
    let used = MemoryKind::ALL.map(|it| memory.used_bytes(it));
    assert_eq!(used, [0; 4]);
}

/// Guards against a response that gets no memory while request bodies could make room for it.
#[test]
fn unfinished_bodies_make_room_for_responses() {
    let memory = budget(40 * SEGMENT_BYTES);
    let waker = Arc::new(Waker::new().expect("a descriptor"));
    let mut body = HeldBody::new(small(&memory));
    body.begin_receiving(&waker);
    while body.buffer(SEGMENT_BYTES).is_ok_and(|it| {
        it.resize(SEGMENT_BYTES, 0);
        it.len() == SEGMENT_BYTES
    }) {
        if body.len() == 20 * SEGMENT_BYTES {
            break;
        }
    }
    thread::scope(|scope| {
        let response = scope.spawn(|| {
            let mut response = memory.reserve(MemoryKind::Response);
            response.extend_to(20 * SEGMENT_BYTES)
        });
        while !body.is_shed() {
            thread::sleep(Duration::from_millis(1));
        }
        // A body that goes on to arrive gets no more either.
        assert_eq!(body.buffer(2 * SEGMENT_BYTES).err(), Some(OutOfMemory));
        assert!(!body.end_receiving());
        drop(body);
        assert_eq!(response.join().expect("no panic"), Ok(()));
    });
}
