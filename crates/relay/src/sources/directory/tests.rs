//! Tests that entries which expire in an outage are kept for the grace period.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_policy::scheduler::UpstreamRecord;

use super::Directory;
use super::OUTAGE_GRACE_PERIOD;
use super::Origin;
use super::REMOVED_ENTRY_HOLD;

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
        software_version: "v1".into(),
    }
}

fn directory_with(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    ids.iter()
        .for_each(|it| directory.insert(Instant::now(), (*it).into(), record(it), Origin::Change));
    directory
}

#[test]
fn removed_entry_is_dropped_at_once() {
    let mut directory = directory_with(&["a", "b"]);
    directory.remove(Instant::now(), "a");
    assert_eq!(directory.records(), [record("b")]);
}

#[test]
fn entry_whose_row_turned_odd_is_not_kept_after_an_outage() {
    let mut directory = directory_with(&["a"]);
    let now = Instant::now();
    directory.source_recovered(now);
    directory.withdraw(now, "a");
    assert_eq!(directory.records(), []);
    directory.insert(now, "a".into(), record("a"), Origin::Change);
    assert_eq!(directory.records(), [record("a")]);
}

#[test]
fn missing_entry_is_dropped_when_the_grace_period_ends() {
    let mut directory = directory_with(&["a", "b"]);
    let now = Instant::now();
    directory.source_recovered(now);
    directory.retain(now, &[]);
    assert_eq!(directory.records().len(), 2);
    assert!(!directory.expire(now + OUTAGE_GRACE_PERIOD - ONE_MS));
    directory.insert(Instant::now(), "b".into(), record("b"), Origin::Change);
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

/// A directory whose source is restored from a copy with `copy`.
fn restore(directory: &mut Directory, now: Instant, copy: &[&str]) {
    directory.source_restored(now);
    let keys: Vec<Arc<str>> = copy.iter().map(|it| (*it).into()).collect();
    directory.retain(now, &keys);
    copy.iter().for_each(|it| {
        directory.insert(now, (*it).into(), record(it), Origin::Snapshot);
    });
}

fn ids(directory: &Directory) -> Vec<String> {
    let mut ids: Vec<String> = directory.records().iter().map(|it| it.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn entries_missing_from_a_copy_are_used_for_the_grace_period() {
    let now = Instant::now();
    let mut directory = directory_with(&["a", "b", "new"]);
    restore(&mut directory, now, &["a", "b"]);
    assert_eq!(ids(&directory), ["a", "b", "new"]);
    assert!(directory.expire(now + OUTAGE_GRACE_PERIOD));
    assert_eq!(ids(&directory), ["a", "b"]);
}

#[test]
fn removed_upstream_is_not_revived_by_a_copy() {
    let now = Instant::now();
    let mut directory = directory_with(&["a", "gone"]);
    directory.remove(now, "gone");
    restore(&mut directory, now, &["a", "gone"]);
    assert_eq!(ids(&directory), ["a"]);
    // The platform removes the entry of an upstream that is silent.
    directory.remove(now + OUTAGE_GRACE_PERIOD, "gone");
    assert!(!directory.expire(now + REMOVED_ENTRY_HOLD));
    assert_eq!(ids(&directory), ["a"]);
}

#[test]
fn removed_upstream_that_is_written_again_or_stays_listed_is_used() {
    let now = Instant::now();
    let mut directory = directory_with(&["a", "back", "alive"]);
    for key in ["back", "alive"] {
        directory.remove(now, key);
    }
    restore(&mut directory, now, &["a", "back", "alive"]);
    directory.insert(now + ONE_MS, "back".into(), record("back"), Origin::Change);
    assert_eq!(ids(&directory), ["a", "back"]);
    assert!(directory.expire(now + REMOVED_ENTRY_HOLD));
    assert_eq!(ids(&directory), ["a", "alive", "back"]);
}

#[test]
fn later_start_of_a_removed_upstream_is_used_at_once() {
    let now = Instant::now();
    let mut directory = directory_with(&["a"]);
    directory.remove(now, "a");
    directory.source_restored(now);
    let restarted = UpstreamRecord { incarnation: 2, ..record("a") };
    directory.insert(now, "a".into(), restarted.clone(), Origin::Snapshot);
    assert_eq!(directory.records(), [restarted]);
}
