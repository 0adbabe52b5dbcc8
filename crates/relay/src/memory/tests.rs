//! Reservations stay within the budget and are released.

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
