//! A table of rows that VMs pass on to each other as changes.
//!
//! The VMs that read a table from the store send each change to the others, together with the
//! position that it applies to. A VM that has missed a change finds that out from the position and
//! asks for what it lacks, so lost messages only cost time. No VM goes back to an earlier position.
//!
//! ```
//! use cranberryvalve_coordination::feed::Changes;
//! use cranberryvalve_coordination::feed::FeedLog;
//! use cranberryvalve_coordination::feed::Merge;
//! use cranberryvalve_coordination::feed::Row;
//! use cranberryvalve_coordination::feed::RowChange;
//! use cranberryvalve_coordination::feed::Snapshot;
//! use cranberryvalve_core::StorePosition;
//!
//! let at = |version| StorePosition { era: 1, version };
//! let mut reader = FeedLog::default();
//! reader.replace(&Snapshot { rows: Vec::new(), position: at(5) });
//! let mut follower = FeedLog::default();
//! assert!(matches!(follower.merge(reader.since(None).unwrap()), Merge::Replaced { .. }));
//!
//! let put = RowChange::Put(Row { key: "engine-1".into(), value: vec![1] });
//! reader.apply(at(5), &Changes { changes: vec![put.clone()], position: at(7) });
//! let delta = reader.since(Some(at(5))).unwrap();
//! let changes = Changes { changes: vec![put], position: at(7) };
//! assert_eq!(follower.merge(delta), Merge::Changed(changes));
//! ```

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use cranberryvalve_core::StorePosition;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of recent changes that are kept for VMs that have missed some: several times the
/// 600 upstreams that the system is designed for.
const MAX_RECENT_CHANGES: usize = 2_000;

/// A row of a source's table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key that identifies the row within its table.
    pub key: Arc<str>,
    /// Encoded content, in the format of the source.
    pub value: Vec<u8>,
}

/// All rows of a table at one position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Rows in the order of the source.
    pub rows: Vec<Row>,
    /// Position from which to follow the table.
    pub position: StorePosition,
}

/// Change of a single row.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RowChange {
    /// The row was added or replaced.
    Put(Row),
    /// The row with this key was removed.
    Removed(Arc<str>),
}

/// Consecutive changes of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Changes {
    /// Changes from oldest to newest; empty if nothing changed.
    pub changes: Vec<RowChange>,
    /// Position after the changes.
    pub position: StorePosition,
}

/// What a VM sends to another one that is behind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FeedDelta {
    /// All changes between two positions.
    Changes {
        /// Position that the changes apply to, and any later one up to their end.
        base: StorePosition,
        /// The changes.
        changes: Changes,
    },
    /// The net difference between two positions, which applies to no position between them: a row
    /// that was added and removed in between is not listed.
    Difference {
        /// Position that the difference applies to.
        base: StorePosition,
        /// The difference.
        changes: Changes,
    },
    /// The whole table.
    Snapshot(Snapshot),
}

/// Result of merging a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Merge {
    /// The table was changed.
    Changed(Changes),
    /// The table was replaced.
    Replaced {
        /// The new table.
        snapshot: Snapshot,
        /// Whether the source was restored from a copy since the last position.
        is_restored: bool,
    },
    /// The delta contains nothing new.
    Known,
    /// The delta applies to a later position; ask for the changes since this VM's position.
    Gap,
}

/// A table with its recent changes.
#[derive(Debug, Default)]
pub struct FeedLog {
    /// Position of the table; `None` before the first snapshot.
    position: Option<StorePosition>,
    rows: BTreeMap<Arc<str>, Vec<u8>>,
    /// Recent steps from one position to the next.
    recent: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    base: StorePosition,
    changes: Changes,
    /// Whether the changes apply to positions between `base` and their end as well.
    is_complete: bool,
}

impl FeedLog {
    /// Returns the position of the table, or `None` before the first snapshot.
    pub const fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Replaces the table by a snapshot that was read from the source. Returns the delta to send to
    /// the other VMs, which is small unless the source was restored.
    pub fn replace(&mut self, snapshot: &Snapshot) -> Option<FeedDelta> {
        let base = self.position.filter(|it| it.era == snapshot.position.era);
        let changes = base.map(|_| self.changes_to(snapshot));
        match (base, changes) {
            (Some(base), Some(changes)) => {
                let is_new = self.step(base, &changes, false);
                is_new.then_some(FeedDelta::Difference { base, changes })
            }
            _ => {
                self.set(snapshot);
                Some(FeedDelta::Snapshot(snapshot.clone()))
            }
        }
    }

    /// Applies changes that follow on `base`. Returns `false` if they are not newer than the table
    /// or if changes before them are missing.
    pub fn apply(&mut self, base: StorePosition, changes: &Changes) -> bool {
        self.step(base, changes, true)
    }

    fn step(&mut self, base: StorePosition, changes: &Changes, is_complete: bool) -> bool {
        let Some(position) = self.position else { return false };
        let applies = base == position || (is_complete && base <= position);
        if base.era != position.era || !applies || changes.position <= position {
            return false;
        }
        for change in &changes.changes {
            match change {
                RowChange::Put(row) => drop(self.rows.insert(row.key.clone(), row.value.clone())),
                RowChange::Removed(key) => drop(self.rows.remove(key)),
            }
        }
        self.position = Some(changes.position);
        self.recent.push_back(Step { base, changes: changes.clone(), is_complete });
        while self.recent.iter().map(|it| it.changes.changes.len().max(1)).sum::<usize>()
            > MAX_RECENT_CHANGES
        {
            self.recent.pop_front();
        }
        true
    }

    /// Merges a delta from another VM.
    pub fn merge(&mut self, delta: FeedDelta) -> Merge {
        match delta {
            FeedDelta::Snapshot(snapshot) => {
                if self.position.is_some_and(|it| it >= snapshot.position) {
                    return Merge::Known;
                }
                let is_restored = self.position.is_some_and(|it| it.era < snapshot.position.era);
                self.set(&snapshot);
                Merge::Replaced { snapshot, is_restored }
            }
            FeedDelta::Changes { base, changes } => self.merge_step(base, changes, true),
            FeedDelta::Difference { base, changes } => self.merge_step(base, changes, false),
        }
    }

    fn merge_step(&mut self, base: StorePosition, changes: Changes, is_complete: bool) -> Merge {
        if self.position.is_some_and(|it| it >= changes.position) {
            Merge::Known
        } else if self.step(base, &changes, is_complete) {
            Merge::Changed(changes)
        } else {
            Merge::Gap
        }
    }

    /// Returns what a VM at `position` lacks, or `None` if this VM has nothing newer.
    pub fn since(&self, position: Option<StorePosition>) -> Option<FeedDelta> {
        let own = self.position?;
        let Some(position) = position.filter(|it| it.era == own.era) else {
            let is_newer = position.is_none_or(|it| it < own);
            return is_newer.then(|| FeedDelta::Snapshot(self.snapshot(own)));
        };
        if position >= own {
            return None;
        }
        let newer = || self.recent.iter().filter(|it| it.changes.position > position);
        let applies = newer()
            .next()
            .is_some_and(|it| it.base == position || (it.is_complete && it.base <= position));
        if !applies {
            return Some(FeedDelta::Snapshot(self.snapshot(own)));
        }
        let changes = newer().flat_map(|it| it.changes.changes.iter().cloned()).collect();
        let changes = Changes { changes, position: own };
        if newer().all(|it| it.is_complete) {
            Some(FeedDelta::Changes { base: position, changes })
        } else {
            Some(FeedDelta::Difference { base: position, changes })
        }
    }

    fn set(&mut self, snapshot: &Snapshot) {
        self.position = Some(snapshot.position);
        self.recent.clear();
        self.rows = snapshot.rows.iter().map(|it| (it.key.clone(), it.value.clone())).collect();
    }

    fn snapshot(&self, position: StorePosition) -> Snapshot {
        let rows = self.rows.iter();
        let rows = rows.map(|(key, value)| Row { key: key.clone(), value: value.clone() });
        Snapshot { rows: rows.collect(), position }
    }

    /// Returns the changes from the table to a snapshot.
    fn changes_to(&self, snapshot: &Snapshot) -> Changes {
        let present: BTreeMap<&Arc<str>, &Row> =
            snapshot.rows.iter().map(|it| (&it.key, it)).collect();
        let removed = self.rows.keys().filter(|it| !present.contains_key(it));
        let removed = removed.cloned().map(RowChange::Removed);
        let is_new = |it: &&&Row| self.rows.get(&it.key) != Some(&it.value);
        let put = present.values().filter(is_new).map(|it| RowChange::Put((*it).clone()));
        Changes { changes: removed.chain(put).collect(), position: snapshot.position }
    }
}
