//! Which software versions of a pool may have open streams.
//!
//! A stream whose origin no VM knows, as after the loss of all VMs, may continue only where one
//! version alone served its pool in all the time in which it may have begun. The directory does not
//! show that: the version that began the stream may have left a moment ago. The versions are therefore
//! recorded in the store, one row a pool. A version is added when it is first seen, and removed once
//! a VM has seen no upstream of it for [`STREAM_LIFETIME`]. No clock is compared between VMs.
//!
//! A VM that starts knows the versions of a pool once it has read the row, or has followed the
//! directory for [`STREAM_LIFETIME`]. Until then it neither continues unknown streams nor creates a row.
//!
//! A store that was restored from a copy may lack a version that was recorded since. The rows are
//! therefore believed only in the era of the store in which a VM that knew all versions has confirmed
//! them ([`RecordMark`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use cranberryvalve_core::PoolId;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::StoreEra;
use serde::Deserialize;
use serde::Serialize;

use crate::origins::STREAM_LIFETIME;

/// The versions of a pool as the store has them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionRecord {
    /// Pool that the versions serve.
    pub pool: PoolId,
    /// Versions that may have open streams.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Version of the row, which a conditional write names; 0 if there is no row.
    pub revision: u64,
}

/// The confirmation in the store that its records name all versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordMark {
    /// Era of the store in which the mark was read.
    pub store_era: StoreEra,
    /// Era in which the records were confirmed last; `None` if they never were.
    pub confirmed_era: Option<StoreEra>,
    /// Version of the row, which a conditional write names; 0 if there is no row.
    pub revision: u64,
}

impl RecordMark {
    /// Returns `true` if the records were confirmed in the present era of the store.
    pub fn is_current(&self) -> bool {
        self.confirmed_era == Some(self.store_era)
    }

    /// Returns `true` if the records name all versions. VMs of earlier builds confirm nothing, so rows
    /// without a mark are believed.
    pub fn is_trusted(&self) -> bool {
        self.confirmed_era.is_none() || self.is_current()
    }
}

/// One VM's view of the software versions of all pools.
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_coordination::versions::VersionHistory;
/// use cranberryvalve_coordination::versions::VersionRecord;
///
/// let now = Instant::now();
/// let mut history = VersionHistory::new(now);
/// history.observe(now, [("engines".into(), "v2".into())]);
/// assert_eq!(history.sole_version(now, "engines"), None);
/// let versions = ["v2".into()].into();
/// history.merge(now, &[VersionRecord { pool: "engines".into(), versions, revision: 4 }], true);
/// assert_eq!(history.sole_version(now, "engines"), Some("v2".into()));
/// ```
#[derive(Debug)]
pub struct VersionHistory {
    /// When the VM has followed the directory for long enough.
    complete_from: Instant,
    pools: BTreeMap<PoolId, PoolVersions>,
}

#[derive(Debug, Default)]
struct PoolVersions {
    /// When an upstream of the version was last seen; `None` while there is one.
    versions: BTreeMap<SoftwareVersion, Option<Instant>>,
    /// The row in the store as last read or written; `None` if no row is known.
    record: Option<VersionRecord>,
    /// Whether the row was read when it named all versions, so that none is missing.
    was_read: bool,
}

impl VersionHistory {
    /// Creates the view of a VM that starts now in a running system.
    pub fn new(now: Instant) -> Self {
        Self { complete_from: now + STREAM_LIFETIME, pools: BTreeMap::new() }
    }

    /// Declares that the whole system starts for the first time, so that there are no streams of
    /// versions that this VM does not know.
    pub const fn set_first_start(&mut self, now: Instant) {
        self.complete_from = now;
    }

    /// Records the upstreams of the directory. Returns the pools of which a further version may have
    /// open streams since then, while another one may too.
    pub fn observe(
        &mut self,
        now: Instant,
        upstreams: impl IntoIterator<Item = (PoolId, SoftwareVersion)>,
    ) -> Vec<PoolId> {
        let mut present: BTreeMap<PoolId, BTreeSet<SoftwareVersion>> = BTreeMap::new();
        for (pool, version) in upstreams {
            present.entry(pool).or_default().insert(version);
        }
        for (pool, known) in &mut self.pools {
            let is_present = |it| present.get(pool).is_some_and(|present| present.contains(it));
            for (version, last_seen) in &mut known.versions {
                if last_seen.is_none() && !is_present(version) {
                    *last_seen = Some(now);
                }
            }
        }
        let mut mixed = Vec::new();
        for (pool, versions) in present {
            let known = self.pools.entry(pool.clone()).or_default();
            let count = known.possible(now).count();
            known.versions.extend(versions.into_iter().map(|it| (it, None)));
            mixed.extend(known.has_become_mixed(now, count).then_some(pool));
        }
        mixed
    }

    /// Merges what the store has. A recorded version without an upstream counts as seen now. Records
    /// that are not trusted may lack versions.
    ///
    /// Returns the same as [`VersionHistory::observe`].
    pub fn merge(
        &mut self,
        now: Instant,
        records: &[VersionRecord],
        are_trusted: bool,
    ) -> Vec<PoolId> {
        let mut mixed = Vec::new();
        for record in records {
            let known = self.pools.entry(record.pool.clone()).or_default();
            let count = known.possible(now).count();
            for version in &record.versions {
                known.versions.entry(version.clone()).or_insert(Some(now));
            }
            known.record = Some(record.clone());
            known.was_read |= are_trusted;
            mixed.extend(known.has_become_mixed(now, count).then(|| record.pool.clone()));
        }
        mixed
    }

    /// Forgets what the store had, after it was restored from a copy.
    pub fn forget_records(&mut self) {
        self.pools.values_mut().for_each(|it| it.record = None);
    }

    /// Returns `true` if several versions of the pool may have open streams.
    pub fn is_mixed(&self, now: Instant, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|it| it.possible(now).count() > 1)
    }

    /// Returns the only version of the pool that may have open streams, or `None` if there are
    /// several or this VM may not know all of them.
    pub fn sole_version(&self, now: Instant, pool: &str) -> Option<SoftwareVersion> {
        let known = self.pools.get(pool).filter(|it| self.is_complete(now, it))?;
        let mut possible = known.possible(now);
        possible.next().filter(|_| possible.next().is_none()).cloned()
    }

    /// Returns the same as [`VersionHistory::sole_version`] if `records` name no other version. A VM that
    /// may have missed a version of the directory reads them from the store first.
    ///
    /// They are not merged: a VM that is out of step would date the versions by its own reads, and
    /// remove them from the store too early.
    pub fn confirmed_sole_version(
        &self,
        now: Instant,
        pool: &str,
        records: &[VersionRecord],
    ) -> Option<SoftwareVersion> {
        let sole = self.sole_version(now, pool)?;
        let record = records.iter().find(|it| &*it.pool == pool)?;
        record.versions.iter().eq([&sole]).then_some(sole)
    }

    /// Returns `true` if the store's record of some pool is not known.
    pub fn lacks_records(&self) -> bool {
        self.pools.values().any(|it| it.record.is_none())
    }

    /// Returns `true` if this VM may not know all versions of a pool that is in the store.
    pub fn is_incomplete(&self, now: Instant) -> bool {
        self.pools.values().any(|it| it.record.is_some() && !self.is_complete(now, it))
    }

    /// Returns `true` if the records in the store name all versions, as far as they were read.
    pub fn confirms_records(&self, now: Instant) -> bool {
        let is_any_known = self.pools.values().any(|it| it.record.is_some());
        is_any_known && !self.is_incomplete(now) && self.due_records(now).is_empty()
    }

    /// Returns the records to be written to the store, each on the condition that its row has the
    /// given revision.
    pub fn due_records(&self, now: Instant) -> Vec<VersionRecord> {
        let complete = self.pools.iter().filter(|(_, it)| self.is_complete(now, it));
        let due = complete.filter_map(|(pool, known)| {
            let versions: BTreeSet<SoftwareVersion> = known.possible(now).cloned().collect();
            let is_recorded = known.record.as_ref().is_some_and(|it| it.versions == versions);
            let revision = known.record.as_ref().map_or(0, |it| it.revision);
            (!is_recorded).then(|| VersionRecord { pool: pool.clone(), versions, revision })
        });
        due.collect()
    }

    fn is_complete(&self, now: Instant, pool: &PoolVersions) -> bool {
        pool.was_read || now >= self.complete_from
    }
}

impl PoolVersions {
    /// Returns `true` if there are several possible versions, and more than `previous_count`.
    fn has_become_mixed(&self, now: Instant, previous_count: usize) -> bool {
        self.possible(now).count() > previous_count.max(1)
    }

    /// Returns the versions that may have open streams.
    fn possible(&self, now: Instant) -> impl Iterator<Item = &SoftwareVersion> {
        let is_possible = move |last_seen: &Option<Instant>| {
            last_seen.is_none_or(|it| now.saturating_duration_since(it) < STREAM_LIFETIME)
        };
        self.versions.iter().filter(move |(_, it)| is_possible(it)).map(|(version, _)| version)
    }
}
