//! Leases with fencing tokens, each stored in a row of the table service.
//!
//! A lease is acquired by a conditional write. The holder measures its duration on its own clock,
//! from the moment it issued that write. Another VM may take over the row once it has seen the row
//! unchanged for [`LEASE_DURATION`] plus [`CLOCK_DRIFT_MARGIN`], measured on its own clock; clocks
//! of different VMs are never compared. Each new holder has a higher fencing token.
//!
//! A store that is restored from a copy may have lost the row of a live lease. An acquisition that
//! finds a free row therefore waits until such a lease has expired, unless the row was written since
//! the restoration. The upper half of a fencing token is the era of the store, so that no token is
//! given out twice.
//!
//! A paused holder may act after its lease has expired. Receivers that refuse old fencing tokens
//! are protected against this. For other receivers, the holder checks [`Lease::covers_action`]
//! right before it acts, and a new holder waits for the maximum duration of an action. A pause
//! between the check and the action is still possible.
//!
//! ```
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::lease::LeaseAcquisition;
//! use cranberryvalve_coordination::lease::LeaseStep;
//! use cranberryvalve_coordination::store::Delivery;
//! use cranberryvalve_coordination::store::MemoryStore;
//!
//! let now = Instant::now();
//! let mut store = MemoryStore::default();
//! let mut acquisition = LeaseAcquisition::new("lease/engine-1".into(), "token-1".into());
//! let mut command = acquisition.start();
//! let lease = loop {
//!     match acquisition.on_reply(now, store.execute(&command, Delivery::Answered)) {
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
use cranberryvalve_core::StoreEra;
use serde::Deserialize;
use serde::Serialize;

use crate::era::EraWatch;
use crate::store::Condition;
use crate::store::RowKey;
use crate::store::Snapshot;
use crate::store::StoreCommand;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::WriteResult;

/// Duration of a lease, measured from the moment its write was issued.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);

/// Safety margin for clocks that run at different speeds.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// Number of low bits of a fencing token that count the holders within an era of the store.
const HOLDER_BITS: u32 = 32;

/// Token that is unique to one attempt to acquire a lease.
pub type LeaseToken = Arc<str>;

/// Content of the row that stores a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// Token of the current holder. `None` if the lease was released.
    pub holder: Option<LeaseToken>,
    /// Fencing token of the current holder, or of the last one if the lease was released.
    pub fencing: FencingToken,
    /// Era of the store in which the row was written.
    #[serde(default)]
    pub era: StoreEra,
    /// Text that each holder passes on to the next one.
    pub notes: Arc<str>,
}

impl LeaseRow {
    /// Parses the content of a row. Returns `None` if it is not a valid lease row.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("every field of a lease row can be represented in JSON")
    }
}

/// State machine that acquires a lease.
#[derive(Debug, Clone)]
pub struct LeaseAcquisition {
    key: RowKey,
    token: LeaseToken,
    last_observed: Option<ObservedRow>,
    pending_write: Option<PendingWrite>,
    eras: EraWatch,
}

/// State of the row last seen while another VM held the lease, and when it was first seen.
#[derive(Debug, Clone, Copy)]
struct ObservedRow {
    state: Condition,
    since: Instant,
}

/// Acquiring write whose outcome is not known yet.
#[derive(Debug, Clone)]
struct PendingWrite {
    row: LeaseRow,
    issued_at: Instant,
}

/// Next command of a [`LeaseAcquisition`], or its result.
#[derive(Debug)]
pub enum LeaseStep {
    /// Execute this command and pass the reply to [`LeaseAcquisition::on_reply`].
    Command(StoreCommand),
    /// The lease was acquired.
    Held(Lease),
    /// Another VM holds the lease; restart after this delay.
    Wait(Duration),
    /// The store operation failed; restart later.
    Failed(StoreError),
}

impl LeaseAcquisition {
    /// Creates a state machine for the lease at `key`; `token` must never have been used before.
    pub fn new(key: RowKey, token: LeaseToken) -> Self {
        Self { key, token, last_observed: None, pending_write: None, eras: EraWatch::default() }
    }

    /// Returns the first command, which is also the command to restart with after
    /// [`LeaseStep::Wait`] and [`LeaseStep::Failed`].
    pub fn start(&self) -> StoreCommand {
        StoreCommand::Read { key: self.key.clone() }
    }

    /// Processes the reply to the last command.
    pub fn on_reply(&mut self, now: Instant, reply: StoreReply) -> LeaseStep {
        match reply {
            StoreReply::Read(snapshot) => self.on_row(now, &snapshot),
            StoreReply::Write(WriteResult::Written(version)) => {
                let era = self.pending_write.as_ref().map_or(0, |it| it.row.era);
                self.acquired(Condition::version(era, version))
            }
            StoreReply::Write(WriteResult::Conflict) => LeaseStep::Command(self.start()),
            StoreReply::Failed(error) => LeaseStep::Failed(error),
            StoreReply::PutObject | StoreReply::FetchObject(_) => {
                LeaseStep::Failed(StoreError::InDoubt)
            }
        }
    }

    fn on_row(&mut self, now: Instant, snapshot: &Snapshot) -> LeaseStep {
        self.eras.observe(now, snapshot.era);
        let current = match &snapshot.row {
            Some(row) => LeaseRow::from_bytes(&row.value),
            None => Some(LeaseRow::default()),
        };
        let Some(current) = current else { return LeaseStep::Failed(StoreError::Rejected) };
        let state = snapshot.unchanged();
        // In another era, a later holder may be missing from the row.
        let is_ours = current.holder.as_ref() == Some(&self.token) && current.era == snapshot.era;
        if is_ours && self.pending_write.is_some() {
            return self.acquired(state);
        }
        let is_free = match current.holder {
            Some(_) => self.has_expired(now, state),
            None => current.era == snapshot.era || self.has_settled(now),
        };
        if is_free {
            return self.write(now, state, &current);
        }
        self.pending_write = None;
        LeaseStep::Wait(CLOCK_DRIFT_MARGIN)
    }

    /// Returns whether the row has been unchanged for long enough to take over the lease.
    fn has_expired(&mut self, now: Instant, state: Condition) -> bool {
        let observed = self.last_observed.filter(|it| it.state == state);
        let observed = observed.unwrap_or(ObservedRow { state, since: now });
        self.last_observed = Some(observed);
        now.saturating_duration_since(observed.since) >= LEASE_DURATION + CLOCK_DRIFT_MARGIN
    }

    /// Returns whether a lease that was lost with a restoration of the store has expired.
    fn has_settled(&self, now: Instant) -> bool {
        self.eras.settled_era(now, LEASE_DURATION + CLOCK_DRIFT_MARGIN).is_some()
    }

    fn write(&mut self, now: Instant, condition: Condition, current: &LeaseRow) -> LeaseStep {
        let row = LeaseRow {
            holder: Some(self.token.clone()),
            fencing: (current.fencing + 1).max(condition.era << HOLDER_BITS),
            era: condition.era,
            notes: current.notes.clone(),
        };
        let value = row.to_bytes();
        // An earlier write in doubt may be the one that takes effect, so the lease is counted from
        // the earliest write.
        let issued_at = self.pending_write.as_ref().map_or(now, |it| it.issued_at);
        self.pending_write = Some(PendingWrite { row, issued_at });
        LeaseStep::Command(StoreCommand::Write { key: self.key.clone(), condition, value })
    }

    fn acquired(&mut self, state: Condition) -> LeaseStep {
        match self.pending_write.take() {
            Some(PendingWrite { row, issued_at }) => LeaseStep::Held(Lease {
                key: self.key.clone(),
                state,
                row,
                expires_at: issued_at + LEASE_DURATION,
            }),
            None => LeaseStep::Failed(StoreError::InDoubt),
        }
    }
}

/// Lease that this VM has acquired.
#[derive(Debug)]
pub struct Lease {
    key: RowKey,
    /// State of the row in which this VM holds the lease.
    state: Condition,
    row: LeaseRow,
    expires_at: Instant,
}

impl Lease {
    /// Returns the fencing token, which must be sent with every action.
    pub const fn fencing(&self) -> FencingToken {
        self.row.fencing
    }

    /// Returns the notes written by the previous holders or by this one.
    pub fn notes(&self) -> &str {
        &self.row.notes
    }

    /// Returns whether an action that takes at most `max_duration` ends before the lease expires.
    pub fn covers_action(&self, now: Instant, max_duration: Duration) -> bool {
        now + max_duration + CLOCK_DRIFT_MARGIN <= self.expires_at
    }

    /// Returns the write that stores `notes` and extends the lease from the time it is issued.
    ///
    /// Pass the reply to [`Lease::on_renewed`]. Until then the lease keeps its old expiry.
    pub fn renew(&self, notes: Arc<str>) -> StoreCommand {
        self.write(&LeaseRow { notes, ..self.row.clone() })
    }

    /// Processes the reply to a renewal that was issued at `issued_at`.
    ///
    /// Returns `None` if the lease is or may be lost.
    pub fn on_renewed(
        mut self,
        issued_at: Instant,
        notes: Arc<str>,
        reply: &StoreReply,
    ) -> Option<Self> {
        let StoreReply::Write(WriteResult::Written(version)) = reply else { return None };
        self.state = Condition::version(self.state.era, *version);
        self.row.notes = notes;
        self.expires_at = issued_at + LEASE_DURATION;
        Some(self)
    }

    /// Returns the write that releases the lease. If it fails, the lease expires on its own.
    pub fn release(self) -> StoreCommand {
        self.write(&LeaseRow { holder: None, ..self.row.clone() })
    }

    fn write(&self, row: &LeaseRow) -> StoreCommand {
        StoreCommand::Write { key: self.key.clone(), condition: self.state, value: row.to_bytes() }
    }
}
