//! Tests that entries which expire in an outage are kept for the grace period.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_policy::scheduler::UpstreamRecord;

use super::Directory;
use super::OUTAGE_GRACE_PERIOD;

const ONE_MS: Duration = Duration::from_millis(1);

fn record(id: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        pool: "pool".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "near".into(),
        slots: 1,
        is_leaving: false,
        incarnation: 1,
    }
}

fn directory_with(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    ids.iter().for_each(|it| directory.insert((*it).into(), record(it)));
    directory
}

#[test]
fn removed_entry_is_dropped_at_once() {
    let mut directory = directory_with(&["a", "b"]);
    directory.remove(Instant::now(), "a");
    assert_eq!(directory.records(), [record("b")]);
}

#[test]
fn missing_entry_is_dropped_when_the_grace_period_ends() {
    let mut directory = directory_with(&["a", "b"]);
    let now = Instant::now();
    directory.source_recovered(now);
    directory.retain(now, &[]);
    assert_eq!(directory.records().len(), 2);
    assert!(!directory.expire(now + OUTAGE_GRACE_PERIOD - ONE_MS));
    directory.insert("b".into(), record("b"));
    assert_eq!(directory.expires_at(), Some(now + OUTAGE_GRACE_PERIOD));
    assert!(directory.expire(now + OUTAGE_GRACE_PERIOD));
    assert_eq!(directory.records(), [record("b")]);
    assert_eq!(directory.expires_at(), None);
}

#[test]
fn missing_entries_are_used_only_when_most_of_the_pool_is_missing() {
    let mut directory = directory_with(&["a", "b", "c"]);
    let now = Instant::now();
    directory.source_recovered(now);
    directory.remove(now, "a");
    let mut used: Vec<_> = directory.records().into_iter().map(|it| it.id).collect();
    used.sort();
    assert_eq!(used, ["b".into(), "c".into()]);
    // Most entries of the pool are missing now, so all of them are taken to have expired in the
    // outage.
    directory.remove(now, "b");
    assert_eq!(directory.records().len(), 3);
}

#[test]
fn grace_period_ends_before_removals_become_binding() {
    // Removals may be binding from 3 s after an outage, and its end is detected up to 0.5 s late.
    assert!(OUTAGE_GRACE_PERIOD + Duration::from_millis(500) < Duration::from_secs(3));
}

#[test]
fn removal_after_the_grace_period_takes_effect_at_once() {
    let mut directory = directory_with(&["a"]);
    let now = Instant::now();
    directory.source_recovered(now);
    directory.remove(now + OUTAGE_GRACE_PERIOD, "a");
    assert!(directory.records().is_empty());
}
