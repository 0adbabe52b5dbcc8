//! Tests mutual exclusion, takeover after expiry and fencing tokens of leases.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::lease::CLOCK_DRIFT_MARGIN;
use cranberryvalve_coordination::lease::LEASE_DURATION;
use cranberryvalve_coordination::lease::Lease;
use cranberryvalve_coordination::lease::LeaseAcquisition;
use cranberryvalve_coordination::lease::LeaseStep;
use cranberryvalve_coordination::store::Delivery;
use cranberryvalve_coordination::store::MemoryStore;

const KEY: &str = "lease/engine-1";

/// Tries once to acquire the lease, with the given delivery of its write.
///
/// Returns `None` if the lease was not acquired.
fn try_acquire(
    acquisition: &mut LeaseAcquisition,
    store: &mut MemoryStore,
    now: Instant,
    write_delivery: Delivery,
) -> Option<Lease> {
    let mut command = acquisition.start();
    let mut delivery = Delivery::Answered;
    loop {
        match acquisition.on_reply(now, store.execute(&command, delivery)) {
            LeaseStep::Command(next) => {
                command = next;
                delivery = write_delivery;
            }
            LeaseStep::Held(lease) => return Some(lease),
            LeaseStep::Wait(_) | LeaseStep::Failed(_) => return None,
        }
    }
}

fn acquisition(token: &str) -> LeaseAcquisition {
    LeaseAcquisition::new(KEY.into(), token.into())
}

#[test]
fn takeover_waits_until_lease_expired() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let first = try_acquire(&mut acquisition("a"), &mut store, now, Delivery::Answered)
        .expect("a free lease");
    let mut second = acquisition("b");
    let mut at = now;
    let acquired_at = loop {
        if try_acquire(&mut second, &mut store, at, Delivery::Answered).is_some() {
            break at;
        }
        at += Duration::from_millis(100);
    };
    assert!(acquired_at >= now + LEASE_DURATION + CLOCK_DRIFT_MARGIN);
    assert!(
        !first.covers_action(acquired_at, Duration::ZERO),
        "the first holder may still act after the takeover"
    );
}

#[test]
fn renewal_prevents_takeover() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let mut lease = try_acquire(&mut acquisition("a"), &mut store, now, Delivery::Answered)
        .expect("a free lease");
    let mut second = acquisition("b");
    for step in 1..100 {
        let at = now + Duration::from_secs(2) * step;
        let command = lease.renew("note".into());
        let reply = store.execute(&command, Delivery::Answered);
        lease = lease.on_renewed(at, "note".into(), &reply).expect("the lease is renewed");
        assert!(try_acquire(&mut second, &mut store, at, Delivery::Answered).is_none());
        assert!(lease.covers_action(at, Duration::from_secs(3)));
    }
}

#[test]
fn next_holder_gets_higher_token_and_notes() {
    let (mut store, mut now) = (MemoryStore::default(), Instant::now());
    for holder in 1..5 {
        let lease = try_acquire(
            &mut acquisition(&format!("holder-{holder}")),
            &mut store,
            now,
            Delivery::Answered,
        )
        .expect("a free lease");
        assert_eq!(lease.fencing(), holder);
        let expected = if holder == 1 { String::new() } else { format!("by {}", holder - 1) };
        assert_eq!(lease.notes(), expected);
        let notes: std::sync::Arc<str> = format!("by {holder}").into();
        let reply = store.execute(&lease.renew(notes.clone()), Delivery::Answered);
        let lease = lease.on_renewed(now, notes, &reply).expect("the lease is renewed");
        store.execute(&lease.release(), Delivery::Answered);
        now += Duration::from_millis(10);
    }
}

#[test]
fn paused_holder_cannot_renew_after_takeover() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let paused = try_acquire(&mut acquisition("a"), &mut store, now, Delivery::Answered)
        .expect("a free lease");
    let mut second = acquisition("b");
    assert!(try_acquire(&mut second, &mut store, now, Delivery::Answered).is_none());
    let later = now + LEASE_DURATION + CLOCK_DRIFT_MARGIN;
    let takeover =
        try_acquire(&mut second, &mut store, later, Delivery::Answered).expect("an expired lease");
    assert!(takeover.fencing() > paused.fencing());
    let reply = store.execute(&paused.renew("late".into()), Delivery::Answered);
    assert!(paused.on_renewed(later, "late".into(), &reply).is_none());
}

#[test]
fn lease_duration_is_counted_from_the_write_after_a_lost_reply() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let mut acquisition = acquisition("a");
    assert!(try_acquire(&mut acquisition, &mut store, now, Delivery::ReplyLost).is_none());
    let later = now + Duration::from_secs(3);
    let lease = try_acquire(&mut acquisition, &mut store, later, Delivery::Answered)
        .expect("the lease of its own earlier write");
    assert!(lease.covers_action(now, LEASE_DURATION - CLOCK_DRIFT_MARGIN));
    assert!(
        !lease.covers_action(later, LEASE_DURATION - CLOCK_DRIFT_MARGIN),
        "the lease is counted from the read instead of the write"
    );
}

#[test]
fn lease_duration_is_counted_from_an_earlier_write_in_doubt() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let mut acquisition = acquisition("a");
    assert!(try_acquire(&mut acquisition, &mut store, now, Delivery::Delayed).is_none());
    let later = now + LEASE_DURATION;
    // The first write is executed between the read and the write of the second attempt.
    let LeaseStep::Command(write) =
        acquisition.on_reply(later, store.execute(&acquisition.start(), Delivery::Answered))
    else {
        panic!("the lease is free")
    };
    store.execute_delayed();
    let LeaseStep::Command(read) =
        acquisition.on_reply(later, store.execute(&write, Delivery::Answered))
    else {
        panic!("the write must conflict with the earlier one")
    };
    let step = acquisition.on_reply(later, store.execute(&read, Delivery::Answered));
    let LeaseStep::Held(lease) = step else {
        panic!("the acquisition must recognize its earlier write")
    };
    assert!(!lease.covers_action(later, Duration::ZERO));
}

#[test]
fn delayed_write_does_not_grant_a_second_lease() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    assert!(try_acquire(&mut acquisition("a"), &mut store, now, Delivery::Delayed).is_none());
    let lease = try_acquire(&mut acquisition("b"), &mut store, now, Delivery::Answered)
        .expect("a free lease");
    store.execute_delayed();
    let reply = store.execute(&lease.renew("renewed".into()), Delivery::Answered);
    assert!(lease.on_renewed(now, "renewed".into(), &reply).is_some());
}

#[test]
fn restored_store_gives_no_second_lease_and_no_token_twice() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let mut tokens = Vec::new();
    let mut at = now;
    for holder in 0..4 {
        // The copy lacks the acquisition of the previous holder.
        let previous_acquired_at = at;
        if holder > 0 {
            store.restore(store.version() - 1);
        }
        let mut acquisition = acquisition(&format!("holder-{holder}"));
        let lease = loop {
            match try_acquire(&mut acquisition, &mut store, at, Delivery::Answered) {
                Some(lease) => break lease,
                None => at += Duration::from_millis(100),
            }
        };
        if holder > 0 {
            let waited = at - previous_acquired_at;
            assert!(waited >= LEASE_DURATION + CLOCK_DRIFT_MARGIN, "after {waited:?}");
        }
        tokens.push(lease.fencing());
    }
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
}
