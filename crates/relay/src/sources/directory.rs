//! Directory of upstreams that tolerates entries lost in an outage of its source.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PoolId;
use cranberryvalve_policy::scheduler::UpstreamRecord;

/// Time after the end of an outage within which entries that expired during the outage are
/// registered again. The value is specified by the platform.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// Time after a restoration of the source for which upstreams that were removed before it stay out.
///
/// A copy may still list them. The platform removes the entry of an upstream that is silent for
/// three of its heartbeats, 1.2 s each; one that is still listed after that is alive.
const REMOVED_ENTRY_HOLD: Duration = Duration::from_secs(5);

/// Time for which a removed upstream is remembered: longer than a copy is old.
const REMOVED_ENTRY_MEMORY: Duration = Duration::from_secs(120);

/// How an entry arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// In a snapshot, which after a restoration holds entries that were written long before.
    Snapshot,
    /// As a change, which was just written.
    Change,
}

/// Upstreams by the key of their row.
///
/// Entries also expire because the source was down and received no heartbeats. An entry that is
/// missing shortly after an outage is therefore retained, and dropped if it does not reappear
/// within [`OUTAGE_GRACE_PERIOD`]. While most entries of a pool are present, the missing ones are
/// probably gone for good and are not used.
///
/// A source that is restored from a copy loses its latest changes. Entries that are missing from
/// the copy are then used until the grace period ends, and upstreams that were removed before the
/// restoration stay out even if the copy lists them.
#[derive(Debug, Default)]
pub(super) struct Directory {
    entries: HashMap<Arc<str>, Entry>,
    recovered_at: Option<Instant>,
    restored_at: Option<Instant>,
    /// Upstreams that were removed, by key.
    removed: HashMap<Arc<str>, RemovedEntry>,
    /// Entries of a copy that are not used until [`REMOVED_ENTRY_HOLD`] has passed.
    held: HashMap<Arc<str>, UpstreamRecord>,
}

#[derive(Debug)]
struct Entry {
    record: UpstreamRecord,
    is_missing: bool,
    /// Whether the entry is used although it is missing.
    is_used_when_missing: bool,
}

#[derive(Debug)]
struct RemovedEntry {
    incarnation: u64,
    removed_at: Instant,
}

impl Directory {
    /// Records that the source responds again after an outage.
    pub(super) const fn source_recovered(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Records that the source was restored from a copy.
    pub(super) fn source_restored(&mut self, now: Instant) {
        self.recovered_at = Some(now);
        self.restored_at = Some(now);
        self.held.clear();
    }

    /// Adds or replaces an entry, unless it is from a copy and was removed before.
    pub(super) fn insert(
        &mut self,
        now: Instant,
        key: Arc<str>,
        record: UpstreamRecord,
        origin: Origin,
    ) {
        let was_removed =
            self.removed.get(&key).is_some_and(|it| it.incarnation == record.incarnation);
        if origin == Origin::Snapshot && was_removed && self.holds_removed_entries(now) {
            self.held.insert(key, record);
            return;
        }
        self.removed.remove(&key);
        self.held.remove(&key);
        self.entries.insert(key, Entry { record, is_missing: false, is_used_when_missing: false });
    }

    /// Removes an entry, or marks it as missing within the grace period.
    pub(super) fn remove(&mut self, now: Instant, key: &str) {
        self.held.remove(key);
        if !self.is_in_grace_period(now) {
            self.drop_entry(now, key);
        } else if let Some(entry) = self.entries.get_mut(key) {
            entry.is_missing = true;
            entry.is_used_when_missing = false;
        }
    }

    /// Removes an entry whose row is there but names no upstream any more.
    pub(super) fn withdraw(&mut self, now: Instant, key: &str) {
        self.held.remove(key);
        self.drop_entry(now, key);
    }

    fn drop_entry(&mut self, now: Instant, key: &str) {
        let Some((key, entry)) = self.entries.remove_entry(key) else { return };
        let is_recent =
            |it: &RemovedEntry| now.saturating_duration_since(it.removed_at) < REMOVED_ENTRY_MEMORY;
        self.removed.retain(|_, it| is_recent(it));
        let incarnation = entry.record.incarnation;
        self.removed.insert(key, RemovedEntry { incarnation, removed_at: now });
    }

    /// Removes all entries whose keys are not in `present_keys`.
    pub(super) fn retain(&mut self, now: Instant, present_keys: &[Arc<str>]) {
        let missing_keys = self.entries.keys().filter(|it| !present_keys.contains(it)).cloned();
        let is_restored = self.restored_at.is_some() && self.restored_at == self.recovered_at;
        for key in missing_keys.collect::<Vec<_>>() {
            self.remove(now, &key);
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.is_used_when_missing = is_restored;
            }
        }
    }

    /// Drops missing entries once the grace period has ended, and adds those that were held long
    /// enough. Returns `true` if there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let mut is_changed = false;
        if !self.is_in_grace_period(now) {
            let missing = self.entries.iter().filter(|(_, it)| it.is_missing);
            let missing_keys: Vec<Arc<str>> = missing.map(|(key, _)| key.clone()).collect();
            is_changed |= !missing_keys.is_empty();
            missing_keys.iter().for_each(|it| self.drop_entry(now, it));
        }
        if !self.holds_removed_entries(now) {
            is_changed |= !self.held.is_empty();
            for (key, record) in std::mem::take(&mut self.held) {
                self.insert(now, key, record, Origin::Change);
            }
        }
        is_changed
    }

    /// Returns when [`Directory::expire`] is due, or `None` if no entry is missing or held.
    pub(super) fn expires_at(&self) -> Option<Instant> {
        let has_missing = self.entries.values().any(|it| it.is_missing);
        let missing_until =
            self.recovered_at.filter(|_| has_missing).map(|it| it + OUTAGE_GRACE_PERIOD);
        let is_holding = !self.held.is_empty();
        let held_until = self.restored_at.filter(|_| is_holding).map(|it| it + REMOVED_ENTRY_HOLD);
        missing_until.into_iter().chain(held_until).min()
    }

    /// Returns the upstreams to use.
    pub(super) fn records(&self) -> Vec<UpstreamRecord> {
        let mut excess_present: HashMap<&PoolId, i64> = HashMap::new();
        for entry in self.entries.values() {
            *excess_present.entry(&entry.record.pool).or_default() +=
                if entry.is_missing { -1 } else { 1 };
        }
        let is_mostly_missing =
            |it: &Entry| excess_present.get(&it.record.pool).is_some_and(|it| *it < 0);
        let selected = self
            .entries
            .values()
            .filter(|it| !it.is_missing || it.is_used_when_missing || is_mostly_missing(it));
        selected.map(|it| it.record.clone()).collect()
    }

    fn holds_removed_entries(&self, now: Instant) -> bool {
        self.restored_at.is_some_and(|it| now < it + REMOVED_ENTRY_HOLD)
    }

    fn is_in_grace_period(&self, now: Instant) -> bool {
        self.recovered_at.is_some_and(|it| now < it + OUTAGE_GRACE_PERIOD)
    }
}

#[cfg(test)]
mod tests;
