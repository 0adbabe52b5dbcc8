//! Entries that lapse in an outage stay until they could be back.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_policy::scheduler::UpstreamRecord;

use super::Directory;
use super::LAPSE_GRACE;

const MOMENT: Duration = Duration::from_millis(1);

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

fn directory(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    ids.iter().for_each(|it| directory.put((*it).into(), record(it)));
    directory
}

#[test]
fn removed_entry_goes_at_once() {
    let mut directory = directory(&["a", "b"]);
    directory.remove(Instant::now(), "a");
    assert_eq!(directory.records(), [record("b")]);
}

#[test]
fn entry_missing_after_an_outage_goes_when_it_is_not_back() {
    let mut directory = directory(&["a", "b"]);
    let now = Instant::now();
    directory.recovered(now);
    directory.retain(now, &[]);
    assert_eq!(directory.records().len(), 2);
    assert!(!directory.expire(now + LAPSE_GRACE - MOMENT));
    directory.put("b".into(), record("b"));
    assert_eq!(directory.expires_at(), Some(now + LAPSE_GRACE));
    assert!(directory.expire(now + LAPSE_GRACE));
    assert_eq!(directory.records(), [record("b")]);
    assert_eq!(directory.expires_at(), None);
}

#[test]
fn few_missing_entries_are_not_used_while_most_are_present() {
    let mut directory = directory(&["a", "b", "c"]);
    let now = Instant::now();
    directory.recovered(now);
    directory.remove(now, "a");
    let mut used: Vec<_> = directory.records().into_iter().map(|it| it.id).collect();
    used.sort();
    assert_eq!(used, ["b".into(), "c".into()]);
    // When most are missing, they have lapsed.
    directory.remove(now, "b");
    assert_eq!(directory.records().len(), 3);
}

#[test]
fn grace_ends_before_removals_bind_again() {
    // A VM may be held to removals 3 s after an outage, and learns of its end up to 0.5 s late.
    assert!(LAPSE_GRACE + Duration::from_millis(500) < Duration::from_secs(3));
}

#[test]
fn removal_long_after_an_outage_goes_at_once() {
    let mut directory = directory(&["a"]);
    let now = Instant::now();
    directory.recovered(now);
    directory.remove(now + LAPSE_GRACE, "a");
    assert!(directory.records().is_empty());
}
