//! Promotion looks at all queued requests, and a retry costs its customer nothing.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::RequestId;

use super::PoolQueue;
use super::QueuedRequest;
use super::fair::FairQueue;

fn queued(now: Instant, id: RequestId, promote_after: Duration) -> QueuedRequest {
    QueuedRequest {
        id,
        tier: 3,
        arrived_at: now,
        promote_at: now + promote_after,
        expires_at: now + Duration::from_secs(300),
    }
}

#[test]
fn patient_requests_do_not_hide_overdue_ones() {
    let now = Instant::now();
    let (patient, hurried) = (Duration::from_secs(100), Duration::from_secs(10));
    for customer in ["tasman", "agency"] {
        let mut queue = PoolQueue::new(now);
        queue.push(&"tasman".into(), 1, queued(now, 1, patient));
        queue.push(&customer.into(), 1, queued(now + Duration::from_millis(1), 2, hurried));
        let promoted = queue.next_promotion(now + Duration::from_secs(20));
        assert_eq!(promoted.map(|it| it.id), Some(2), "behind a request of tasman, of {customer}");
    }
}

#[test]
fn retries_are_charged_once() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    for id in 0..20 {
        let customer = if id % 2 == 0 { "failing" } else { "sound" };
        queue.push(&customer.into(), 1, queued(now, id, Duration::from_secs(10)), false);
    }
    // Each attempt for one of the customers fails once, and is repeated.
    let mut failed = Vec::new();
    let mut completed = Vec::new();
    for _ in 0..15 {
        let next = queue.peek().expect("requests are left");
        let next = queue.dequeue(next.id).expect("it is queued");
        if next.id % 2 == 0 && !failed.contains(&next.id) {
            failed.push(next.id);
            queue.push(&"failing".into(), 1, next, true);
        } else {
            completed.push(next.id);
        }
    }
    let of_failing = completed.iter().filter(|it| **it % 2 == 0).count();
    assert_eq!((of_failing, completed.len() - of_failing), (5, 5), "{completed:?}");
}
