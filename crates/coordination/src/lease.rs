//! Leases with fencing tokens, on a row of the table service.
//!
//! A lease is taken by a conditional write. Its holder counts its life from the moment it issued
//! that write, on its own clock. Another VM may take the row over once it has seen the row unchanged
//! for the lease's life and a margin, on its own clock; no clocks are compared. Each new holder has
//! a higher fencing token.
//!
//! A holder that is paused may act after its lease has lapsed. Receivers that refuse an old fencing
//! token are safe against it. For the others the holder checks [`Lease::may_act`] right before it
//! acts, and a new holder waits for the longest life of an action; a pause between the check and
//! the action remains.
//!
//! ```
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::lease::LeaseSeeker;
//! use cranberryvalve_coordination::lease::LeaseStep;
//! use cranberryvalve_coordination::store::Fate;
//! use cranberryvalve_coordination::store::MemoryStore;
//!
//! let now = Instant::now();
//! let mut store = MemoryStore::default();
//! let mut seeker = LeaseSeeker::new("lease/engine-1".into(), "token-1".into());
//! let mut command = seeker.start();
//! let lease = loop {
//!     match seeker.on_reply(now, store.execute(&command, Fate::Answered)) {
//!         LeaseStep::Command(next) => command = next,
//!         LeaseStep::Held(lease) => break lease,
//!         other => panic!("{other:?}"),
//!     }
//! };
//! assert_eq!(lease.fencing(), 1);
//! ```

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::FencingToken;
use serde::Deserialize;
use serde::Serialize;

use crate::store::Expected;
use crate::store::Row;
use crate::store::RowKey;
use crate::store::RowVersion;
use crate::store::StoreCommand;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::WriteResult;

/// Life of a lease from the moment its write was issued.
pub const LEASE_LIFE: Duration = Duration::from_secs(6);

/// Allowance for clocks that run at different speeds.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// Unique token of one holder.
pub type LeaseToken = Arc<str>;

/// Content of a lease's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Present holder; none when the lease was given back.
    pub holder: Option<LeaseToken>,
    /// Fencing token of the present or last holder.
    pub fencing: FencingToken,
    /// What holders leave for the next one.
    pub notes: Arc<str>,
}

impl LeaseRow {
    /// Parses the content of a row; none when it is not a lease.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a lease row holds only JSON-representable fields")
    }
}

/// Tries to take a lease.
#[derive(Debug, Clone)]
pub struct LeaseSeeker {
    key: RowKey,
    token: LeaseToken,
    observed: Option<Observed>,
    written: Option<Written>,
}

/// A row held by another one, and since when it has been unchanged.
#[derive(Debug, Clone, Copy)]
struct Observed {
    version: RowVersion,
    since: Instant,
}

/// A write that was issued.
#[derive(Debug, Clone)]
struct Written {
    row: LeaseRow,
    issued_at: Instant,
}

/// What a seeker needs next, or how it ended.
#[derive(Debug)]
pub enum LeaseStep {
    /// Carry out this command and hand the reply back.
    Command(StoreCommand),
    /// The lease is held.
    Held(Lease),
    /// Another one holds it; start again after the pause.
    Wait(Duration),
    /// The store has no answer; start again later.
    Failed(StoreError),
}

impl LeaseSeeker {
    /// Creates a seeker; `token` must never have been used before.
    pub const fn new(key: RowKey, token: LeaseToken) -> Self {
        Self { key, token, observed: None, written: None }
    }

    /// The command to start with, now and after each [`LeaseStep::Wait`] or
    /// [`LeaseStep::Failed`].
    pub fn start(&self) -> StoreCommand {
        StoreCommand::Read { key: self.key.clone() }
    }

    /// Takes the reply to the last command.
    pub fn on_reply(&mut self, now: Instant, reply: StoreReply) -> LeaseStep {
        match reply {
            StoreReply::Read(row) => self.on_row(now, row),
            StoreReply::Write(WriteResult::Written(version)) => self.held(version),
            StoreReply::Write(WriteResult::Conflict) => LeaseStep::Command(self.start()),
            StoreReply::Failed(error) => LeaseStep::Failed(error),
            StoreReply::PutObject | StoreReply::FetchObject(_) => {
                LeaseStep::Failed(StoreError::InDoubt)
            }
        }
    }

    fn on_row(&mut self, now: Instant, row: Option<Row>) -> LeaseStep {
        let Some(row) = row else {
            return self.write(now, Expected::Absent, &LeaseRow::default());
        };
        let Some(present) = LeaseRow::from_bytes(&row.value) else {
            return LeaseStep::Failed(StoreError::Rejected);
        };
        let is_own = present.holder.as_ref() == Some(&self.token);
        if is_own && self.written.is_some() {
            return self.held(row.version);
        }
        if present.holder.is_none() || self.has_lapsed(now, row.version) {
            return self.write(now, Expected::Version(row.version), &present);
        }
        self.written = None;
        LeaseStep::Wait(LEASE_MARGIN)
    }

    /// Whether the row has been unchanged for long enough.
    fn has_lapsed(&mut self, now: Instant, version: RowVersion) -> bool {
        let observed = self.observed.filter(|it| it.version == version);
        let observed = observed.unwrap_or(Observed { version, since: now });
        self.observed = Some(observed);
        now.saturating_duration_since(observed.since) >= LEASE_LIFE + LEASE_MARGIN
    }

    fn write(&mut self, now: Instant, expected: Expected, present: &LeaseRow) -> LeaseStep {
        let row = LeaseRow {
            holder: Some(self.token.clone()),
            fencing: present.fencing + 1,
            notes: present.notes.clone(),
        };
        let value = row.to_bytes();
        // An earlier write in doubt may be the one that takes effect, and its life began earlier.
        let issued_at = self.written.as_ref().map_or(now, |it| it.issued_at);
        self.written = Some(Written { row, issued_at });
        LeaseStep::Command(StoreCommand::Write { key: self.key.clone(), expected, value })
    }

    fn held(&mut self, version: RowVersion) -> LeaseStep {
        match self.written.take() {
            Some(Written { row, issued_at }) => LeaseStep::Held(Lease {
                key: self.key.clone(),
                version,
                row,
                valid_until: issued_at + LEASE_LIFE,
            }),
            None => LeaseStep::Failed(StoreError::InDoubt),
        }
    }
}

/// A lease that is held.
#[derive(Debug)]
pub struct Lease {
    key: RowKey,
    version: RowVersion,
    row: LeaseRow,
    valid_until: Instant,
}

impl Lease {
    /// Fencing token, to be sent with every action.
    pub const fn fencing(&self) -> FencingToken {
        self.row.fencing
    }

    /// What earlier holders, or this one, left.
    pub fn notes(&self) -> &str {
        &self.row.notes
    }

    /// Whether an action that takes `longest` ends before the lease does.
    pub fn may_act(&self, now: Instant, longest: Duration) -> bool {
        now + longest + LEASE_MARGIN <= self.valid_until
    }

    /// The write that leaves `notes` and prolongs the lease from `now`.
    ///
    /// Hand the reply to [`Lease::on_renewed`]. Until then the lease keeps its old end.
    pub fn renew(&self, notes: Arc<str>) -> StoreCommand {
        self.write(&LeaseRow { notes, ..self.row.clone() })
    }

    /// Takes the reply to a renewal issued at `issued_at`; none when the lease is lost, or may be.
    pub fn on_renewed(
        mut self,
        issued_at: Instant,
        notes: Arc<str>,
        reply: &StoreReply,
    ) -> Option<Self> {
        let StoreReply::Write(WriteResult::Written(version)) = reply else { return None };
        self.version = *version;
        self.row.notes = notes;
        self.valid_until = issued_at + LEASE_LIFE;
        Some(self)
    }

    /// The write that gives the lease back. If it fails, the lease lapses by itself.
    pub fn release(self) -> StoreCommand {
        self.write(&LeaseRow { holder: None, ..self.row.clone() })
    }

    fn write(&self, row: &LeaseRow) -> StoreCommand {
        StoreCommand::Write {
            key: self.key.clone(),
            expected: Expected::Version(self.version),
            value: row.to_bytes(),
        }
    }
}
