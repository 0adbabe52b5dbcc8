//! Reservations stay within the budget and are released.

use super::HeldBody;
use super::MAX_SEGMENT_BYTES;
use super::OutOfMemory;
use super::ResponseMemory;

#[test]
fn reservations_share_a_budget() {
    let memory = ResponseMemory::new(100);
    let mut first = memory.reserve();
    let mut second = memory.reserve();
    assert_eq!(first.extend_to(60), Ok(()));
    assert_eq!(second.extend_to(41), Err(OutOfMemory));
    assert_eq!(second.extend_to(40), Ok(()));
    assert_eq!(first.extend_to(60), Ok(()));
    drop(first);
    assert_eq!(second.extend_to(100), Ok(()));
}

#[test]
fn bodies_grow_within_the_budget() {
    let budget_bytes = 10 * MAX_SEGMENT_BYTES;
    let memory = ResponseMemory::new(budget_bytes);
    let mut bodies: Vec<_> = (0..4).map(|_| HeldBody::new(memory.reserve())).collect();
    let mut appended_bytes = 0;
    let allocated_bytes = |bodies: &[HeldBody]| -> usize {
        bodies.iter().flat_map(HeldBody::segments).map(Vec::capacity).sum()
    };
    'full: loop {
        for index in 0..bodies.len() {
            let Ok(buffer) = bodies[index].buffer(1_000) else { break 'full };
            buffer.extend_from_slice(&[b'x'; 1_000]);
            appended_bytes += 1_000;
            assert!(allocated_bytes(&bodies) <= budget_bytes);
        }
    }
    assert_eq!(bodies.iter().map(HeldBody::len).sum::<usize>(), appended_bytes);
    assert!(appended_bytes > budget_bytes / 2, "only {appended_bytes} bytes fit");
    drop(bodies);
    assert_eq!(memory.reserve().extend_to(budget_bytes), Ok(()));
}
