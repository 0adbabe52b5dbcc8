//! Leases: one holder at a time, takeover after a lapse, fencing.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::lease::LEASE_LIFE;
use cranberryvalve_coordination::lease::LEASE_MARGIN;
use cranberryvalve_coordination::lease::Lease;
use cranberryvalve_coordination::lease::LeaseSeeker;
use cranberryvalve_coordination::lease::LeaseStep;
use cranberryvalve_coordination::store::Fate;
use cranberryvalve_coordination::store::MemoryStore;

const KEY: &str = "lease/engine-1";

/// Tries once, with a fate for the write; none when the lease is not had.
fn seek(
    seeker: &mut LeaseSeeker,
    store: &mut MemoryStore,
    now: Instant,
    write_fate: Fate,
) -> Option<Lease> {
    let mut command = seeker.start();
    let mut fate = Fate::Answered;
    loop {
        match seeker.on_reply(now, store.execute(&command, fate)) {
            LeaseStep::Command(next) => {
                command = next;
                fate = write_fate;
            }
            LeaseStep::Held(lease) => return Some(lease),
            LeaseStep::Wait(_) | LeaseStep::Failed(_) => return None,
        }
    }
}

fn seeker(token: &str) -> LeaseSeeker {
    LeaseSeeker::new(KEY.into(), token.into())
}

#[test]
fn second_seeker_waits_for_the_whole_life() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let first = seek(&mut seeker("a"), &mut store, now, Fate::Answered).expect("a free lease");
    let mut second = seeker("b");
    let mut at = now;
    let taken_at = loop {
        if seek(&mut second, &mut store, at, Fate::Answered).is_some() {
            break at;
        }
        at += Duration::from_millis(100);
    };
    assert!(taken_at >= now + LEASE_LIFE + LEASE_MARGIN);
    assert!(!first.may_act(taken_at, Duration::ZERO), "two holders may act");
}

#[test]
fn renewal_keeps_others_out() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let mut lease = seek(&mut seeker("a"), &mut store, now, Fate::Answered).expect("a free lease");
    let mut second = seeker("b");
    for step in 1..100 {
        let at = now + Duration::from_secs(2) * step;
        let command = lease.renew("note".into());
        let reply = store.execute(&command, Fate::Answered);
        lease = lease.on_renewed(at, "note".into(), &reply).expect("the lease is kept");
        assert!(seek(&mut second, &mut store, at, Fate::Answered).is_none());
        assert!(lease.may_act(at, Duration::from_secs(3)));
    }
}

#[test]
fn each_holder_has_a_higher_token_and_the_notes() {
    let (mut store, mut now) = (MemoryStore::default(), Instant::now());
    for holder in 1..5 {
        let lease = seek(&mut seeker(&format!("holder-{holder}")), &mut store, now, Fate::Answered)
            .expect("a free lease");
        assert_eq!(lease.fencing(), holder);
        let expected = if holder == 1 { String::new() } else { format!("by {}", holder - 1) };
        assert_eq!(lease.notes(), expected);
        let notes: std::sync::Arc<str> = format!("by {holder}").into();
        let reply = store.execute(&lease.renew(notes.clone()), Fate::Answered);
        let lease = lease.on_renewed(now, notes, &reply).expect("the lease is kept");
        store.execute(&lease.release(), Fate::Answered);
        now += Duration::from_millis(10);
    }
}

#[test]
fn paused_holder_cannot_renew_after_takeover() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let paused = seek(&mut seeker("a"), &mut store, now, Fate::Answered).expect("a free lease");
    let mut second = seeker("b");
    assert!(seek(&mut second, &mut store, now, Fate::Answered).is_none());
    let later = now + LEASE_LIFE + LEASE_MARGIN;
    let taken = seek(&mut second, &mut store, later, Fate::Answered).expect("a lapsed lease");
    assert!(taken.fencing() > paused.fencing());
    let reply = store.execute(&paused.renew("late".into()), Fate::Answered);
    assert!(paused.on_renewed(later, "late".into(), &reply).is_none());
}

#[test]
fn lost_reply_counts_the_life_from_the_write() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let mut seeker = seeker("a");
    assert!(seek(&mut seeker, &mut store, now, Fate::ReplyLost).is_none());
    let later = now + Duration::from_secs(3);
    let lease = seek(&mut seeker, &mut store, later, Fate::Answered).expect("its own lease");
    assert!(lease.may_act(now, LEASE_LIFE - LEASE_MARGIN));
    assert!(!lease.may_act(later, LEASE_LIFE - LEASE_MARGIN), "the life counts from the read");
}

#[test]
fn earlier_write_in_doubt_shortens_the_life() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    let mut seeker = seeker("a");
    assert!(seek(&mut seeker, &mut store, now, Fate::Late).is_none());
    let later = now + LEASE_LIFE;
    // The first write takes effect between the second attempt's read and its write.
    let LeaseStep::Command(write) =
        seeker.on_reply(later, store.execute(&seeker.start(), Fate::Answered))
    else {
        panic!("the lease is free")
    };
    store.deliver_late();
    let LeaseStep::Command(read) = seeker.on_reply(later, store.execute(&write, Fate::Answered))
    else {
        panic!("the row is there already")
    };
    let step = seeker.on_reply(later, store.execute(&read, Fate::Answered));
    let LeaseStep::Held(lease) = step else { panic!("the lease is its own") };
    assert!(!lease.may_act(later, Duration::ZERO));
}

#[test]
fn late_write_gives_nobody_a_second_lease() {
    let (mut store, now) = (MemoryStore::default(), Instant::now());
    assert!(seek(&mut seeker("a"), &mut store, now, Fate::Late).is_none());
    let lease = seek(&mut seeker("b"), &mut store, now, Fate::Answered).expect("a free lease");
    store.deliver_late();
    let reply = store.execute(&lease.renew("still".into()), Fate::Answered);
    assert!(lease.on_renewed(now, "still".into(), &reply).is_some());
}
