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

/// Upstreams by the key of their row.
///
/// Entries also expire because the source was down and received no heartbeats. An entry that is
/// missing shortly after an outage is therefore retained, and dropped if it does not reappear
/// within [`OUTAGE_GRACE_PERIOD`]. While most entries of a pool are present, the missing ones are
/// probably gone for good and are not used.
#[derive(Debug, Default)]
pub(super) struct Directory {
    entries: HashMap<Arc<str>, Entry>,
    recovered_at: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    record: UpstreamRecord,
    is_missing: bool,
}

impl Directory {
    /// Records that the source responds again after an outage.
    pub(super) const fn source_recovered(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Adds or replaces an entry.
    pub(super) fn insert(&mut self, key: Arc<str>, record: UpstreamRecord) {
        self.entries.insert(key, Entry { record, is_missing: false });
    }

    /// Removes an entry, or marks it as missing within the grace period.
    pub(super) fn remove(&mut self, now: Instant, key: &str) {
        if !self.is_in_grace_period(now) {
            self.entries.remove(key);
        } else if let Some(entry) = self.entries.get_mut(key) {
            entry.is_missing = true;
        }
    }

    /// Removes all entries whose keys are not in `present_keys`.
    pub(super) fn retain(&mut self, now: Instant, present_keys: &[Arc<str>]) {
        let missing_keys = self.entries.keys().filter(|it| !present_keys.contains(it)).cloned();
        for key in missing_keys.collect::<Vec<_>>() {
            self.remove(now, &key);
        }
    }

    /// Drops missing entries once the grace period has ended. Returns `true` if any were dropped.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        if self.is_in_grace_period(now) {
            return false;
        }
        let len_before = self.entries.len();
        self.entries.retain(|_, it| !it.is_missing);
        len_before != self.entries.len()
    }

    /// Returns when [`Directory::expire`] is due, or `None` if no entry is missing.
    pub(super) fn expires_at(&self) -> Option<Instant> {
        let has_missing = self.entries.values().any(|it| it.is_missing);
        self.recovered_at.filter(|_| has_missing).map(|it| it + OUTAGE_GRACE_PERIOD)
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
        let selected = self.entries.values().filter(|it| !it.is_missing || is_mostly_missing(it));
        selected.map(|it| it.record.clone()).collect()
    }

    fn is_in_grace_period(&self, now: Instant) -> bool {
        self.recovered_at.is_some_and(|it| now < it + OUTAGE_GRACE_PERIOD)
    }
}

#[cfg(test)]
mod tests;
