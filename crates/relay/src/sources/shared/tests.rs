//! Changes of other VMs are applied although this VM's own read is waiting.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::feed::Changes;
use cranberryvalve_coordination::feed::FeedDelta;
use cranberryvalve_coordination::feed::Row;
use cranberryvalve_coordination::feed::RowChange;
use cranberryvalve_coordination::feed::Snapshot;
use cranberryvalve_coordination::peer::FeedReport;
use cranberryvalve_core::StorePosition;

use super::FeedUpdate;
use super::MissingChanges;
use super::SharedDirectory;

const fn at(version: u64) -> StorePosition {
    StorePosition { era: 1, version }
}

fn changes(version: u64) -> Changes {
    let row = Row { key: "engine-1".into(), value: vec![1] };
    Changes { changes: vec![RowChange::Put(row)], position: at(version) }
}

fn report(position: u64, delta: Option<FeedDelta>) -> FeedReport {
    FeedReport { reaches_source: true, position: Some(at(position)), recovered_ms: None, delta }
}

/// A directory with an empty snapshot at version 5.
fn directory() -> SharedDirectory {
    let directory = SharedDirectory::new(Instant::now());
    let snapshot = Snapshot { rows: Vec::new(), position: at(5) };
    let update = FeedUpdate::Snapshot { snapshot, is_restored: false };
    directory.record_read(None, update, None, true);
    assert_eq!(directory.wait_for_updates(Duration::ZERO).len(), 1);
    directory
}

#[test]
fn change_of_another_vm_is_applied_before_the_own_read_ends() {
    let directory = directory();
    let delta = FeedDelta::Changes { base: at(5), changes: changes(7) };
    let missing = directory.on_report(Instant::now(), &"vm-2".into(), report(7, Some(delta)));
    assert_eq!(missing, None);
    let updates = directory.wait_for_updates(Duration::ZERO);
    assert!(matches!(updates.front(), Some(FeedUpdate::Changes(it)) if *it == changes(7)));
    // The own read brings the same change and is ignored.
    let delta = directory.record_read(Some(at(5)), FeedUpdate::Changes(changes(7)), None, true);
    assert_eq!(delta, None);
    assert!(directory.wait_for_updates(Duration::ZERO).is_empty());
}

#[test]
fn later_position_of_another_vm_shows_a_missed_change() {
    let directory = directory();
    let missing = directory.on_report(Instant::now(), &"vm-2".into(), report(9, None));
    assert_eq!(missing, Some(MissingChanges { since: Some(at(5)) }));
}
