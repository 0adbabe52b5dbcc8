//! Addresses of a few VMs in the store, through which VMs find each other.
//!
//! A VM that starts knows the addresses of its seeds only, and all of these may be gone. The store
//! therefore has a row with the addresses of a few living VMs. Every VM reads it when it starts and
//! while it knows no other VM. Among VMs that know each other, the first ones by name read it now and
//! then, write it if it names too few of them, and send heartbeats to VMs in it that they do not know:
//! two groups of VMs that do not know each other find one another this way.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::contacts::ContactRecord;
//! use cranberryvalve_coordination::contacts::Discovery;
//! use cranberryvalve_coordination::membership::Membership;
//! use cranberryvalve_coordination::peer::PeerAddress;
//!
//! let address = |name: &str, port: u16| PeerAddress {
//!     vm: name.into(),
//!     address: ([127, 0, 0, 1], port).into(),
//!     failure_domain: "lyttelton".into(),
//! };
//! let now = Instant::now();
//! let membership = Membership::new(address("vm-1", 7001), 1);
//! let mut discovery = Discovery::new(now);
//! assert!(discovery.is_read_due(now, &membership));
//! let contacts = vec![address("vm-2", 7002)];
//! discovery.on_read(now, &membership, ContactRecord { contacts, revision: 4 });
//! assert_eq!(discovery.unknown_contacts(now, &membership), [address("vm-2", 7002)]);
//! ```

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::membership::Membership;
use crate::membership::REMOVE_AFTER;
use crate::peer::PeerAddress;
use crate::watch::JOIN_TIME;

/// Number of VMs assumed until another one is known or the store names none, so that a VM without
/// peers claims only a small part of the limits that all VMs share.
pub const INITIAL_VM_COUNT: usize = 8;

/// Number of living VMs that the row has to name, so that two may fail at the same time.
const MIN_CONTACTS: usize = 3;

/// Number of VMs that a VM writes into the row: one of each failure domain of 340 VMs.
const WRITTEN_CONTACTS: usize = 8;

/// Maximum number of VMs in the row: those of two groups that do not know each other.
const MAX_CONTACTS: usize = 2 * WRITTEN_CONTACTS;

/// Interval between the first two reads; it doubles with each further read.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval between reads of the first VM. Groups of VMs find each other within this time.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(15);

/// Number of times that the interval between reads is doubled at most, once for each living VM before
/// the reader: all VMs together then read less than three times as often as the first one alone.
const MAX_RANK: u32 = 10;

/// Time after a read in which VMs that are not known are sent heartbeats.
const PROBE_TIME: Duration = Duration::from_secs(5);

/// The row in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ContactRecord {
    /// VMs that were alive when the row was written.
    pub contacts: Vec<PeerAddress>,
    /// Version of the row, which a conditional write names; 0 if there is no row.
    pub revision: u64,
}

/// One VM's view of the row.
#[derive(Debug)]
pub struct Discovery {
    started_at: Instant,
    /// The row as last read; `None` before the first read.
    record: Option<ContactRecord>,
    /// When the last read ended, or failed.
    tried_at: Option<Instant>,
    read_at: Instant,
    /// Number of reads that succeeded.
    reads: u32,
    /// Since when VMs in the row that are not known have been sent heartbeats.
    probed_since: BTreeMap<VmId, Instant>,
}

impl Discovery {
    /// Creates the view of a VM that starts now.
    pub const fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            record: None,
            tried_at: None,
            read_at: now,
            reads: 0,
            probed_since: BTreeMap::new(),
        }
    }

    /// Returns `true` if this VM has to read the row.
    pub fn is_read_due(&self, now: Instant, membership: &Membership) -> bool {
        let Some(tried_at) = self.tried_at else { return true };
        now.saturating_duration_since(tried_at) >= self.read_interval(membership)
    }

    fn read_interval(&self, membership: &Membership) -> Duration {
        let doublings = self.reads.saturating_sub(1).min(MAX_RANK);
        let interval = (MIN_READ_INTERVAL * (1 << doublings)).min(MAX_READ_INTERVAL);
        let own = &membership.local().vm;
        let rank = membership.alive_names().iter().filter(|it| *it < own).count();
        interval * (1 << u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK))
    }

    /// Records what a read has brought.
    pub fn on_read(&mut self, now: Instant, membership: &Membership, record: ContactRecord) {
        self.reads = self.reads.saturating_add(1);
        (self.tried_at, self.read_at) = (Some(now), now);
        let unknown: BTreeSet<&VmId> = record
            .contacts
            .iter()
            .map(|it| &it.vm)
            .filter(|it| !is_known(membership, it))
            .collect();
        self.probed_since.retain(|vm, _| unknown.contains(vm));
        for vm in unknown {
            self.probed_since.entry(vm.clone()).or_insert(now);
        }
        self.record = Some(record);
    }

    /// Records that a read failed.
    pub const fn on_failure(&mut self, now: Instant) {
        self.tried_at = Some(now);
    }

    /// Returns the VMs in the row that are not known, to which heartbeats are sent now.
    pub fn unknown_contacts(&self, now: Instant, membership: &Membership) -> Vec<PeerAddress> {
        if now.saturating_duration_since(self.read_at) >= PROBE_TIME {
            return Vec::new();
        }
        let unknown = self.contacts().iter().filter(|it| !is_known(membership, &it.vm));
        unknown.cloned().collect()
    }

    /// Returns the number of VMs that may be there though this VM does not know them. They issue parts
    /// of the limits that all VMs share.
    ///
    /// A VM that knows a living VM of the row knows all others through it.
    pub fn unseen_count(&self, now: Instant, membership: &Membership) -> usize {
        let is_alone = membership.known_count() == 1;
        let is_joining = now.saturating_duration_since(self.started_at) < JOIN_TIME;
        if is_alone && (self.record.is_none() || is_joining) {
            return INITIAL_VM_COUNT - 1;
        }
        if self.is_joined(membership) {
            return 0;
        }
        // A VM that was known at the last read, and was forgotten since, was never looked for.
        let unknown = self.contacts().iter().filter(|it| !is_known(membership, &it.vm));
        unknown.filter(|it| !self.is_gone(now, &it.vm)).count()
    }

    /// Returns the row to write on condition that it has the revision that was read, or `None` if it
    /// names enough living VMs.
    pub fn due_record(&self, now: Instant, membership: &Membership) -> Option<ContactRecord> {
        let record = self.record.as_ref()?;
        if now.saturating_duration_since(self.started_at) < JOIN_TIME {
            return None;
        }
        let alive = membership.alive_addresses();
        let listed = alive.iter().filter(|it| record.contacts.contains(it)).count();
        let is_gone = |vm: &VmId| !is_known(membership, vm) && self.is_gone(now, vm);
        let is_sufficient = listed >= MIN_CONTACTS.min(alive.len());
        if is_sufficient && !record.contacts.iter().any(|it| is_gone(&it.vm)) {
            return None;
        }
        let mut contacts = spread_over_domains(alive, WRITTEN_CONTACTS);
        let names: BTreeSet<VmId> = contacts.iter().map(|it| it.vm.clone()).collect();
        let others =
            record.contacts.iter().filter(|it| !names.contains(&it.vm) && !is_gone(&it.vm));
        contacts.extend(others.cloned());
        contacts.truncate(MAX_CONTACTS);
        Some(ContactRecord { contacts, revision: record.revision })
    }

    /// Returns whether a VM that is not known has been sent heartbeats in vain for long enough.
    fn is_gone(&self, now: Instant, vm: &VmId) -> bool {
        let since = self.probed_since.get(vm);
        since.is_some_and(|it| now.saturating_duration_since(*it) >= REMOVE_AFTER)
    }

    /// Returns whether this VM knows a living VM of the row, or the row names no other VM.
    fn is_joined(&self, membership: &Membership) -> bool {
        let own = &membership.local().vm;
        let alive = membership.alive_names();
        let mut others = self.contacts().iter().filter(|it| it.vm != *own).peekable();
        others.peek().is_none() || others.any(|it| alive.contains(&it.vm))
    }

    fn contacts(&self) -> &[PeerAddress] {
        self.record.as_ref().map_or(&[], |it| &it.contacts)
    }
}

fn is_known(membership: &Membership, vm: &str) -> bool {
    *membership.local().vm == *vm || membership.is_known(vm)
}

/// Returns `count` VMs, by turns of each failure domain.
fn spread_over_domains(vms: Vec<PeerAddress>, count: usize) -> Vec<PeerAddress> {
    let mut chosen_by_domain: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, PeerAddress)> = Vec::new();
    for vm in vms {
        let chosen = chosen_by_domain.entry(vm.failure_domain.clone()).or_default();
        ranked.push((*chosen, vm));
        *chosen += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, vm)| vm).take(count).collect()
}
