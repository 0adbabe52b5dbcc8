//! A duty that one VM at a time carries out, under a lease in the store.
//!
//! [`IdleDuty`] watches the lease, [`AcquiringDuty`] writes for it, and [`HeldDuty`] holds it. The
//! lease has a fencing token that rises with each holder, also across restorations of the store,
//! and carries the reports that the holder intends to send, so that the next holder repeats exactly
//! these. See `docs/design/usage-reports.md`.
//!
//! The lease differs from [`lease`](crate::lease): its duration is given, it is never released, and
//! it does not rely on the store to check the era of a condition. Each era has its own row, so that a
//! write that was meant for an earlier era cannot replace the present row.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::FencingToken;
use cranberryvalve_core::StoreEra;
use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::era::EraWatch;
use crate::era::UNRESTORED;
use crate::store::RowVersion;
use crate::usage::UsageReport;
use crate::usage::UsageRules;
use crate::usage::WindowId;

/// Name of the duty to report usage.
pub const USAGE_REPORT_DUTY: &str = "usage_report";

/// Part of the lease that is the margin for clocks that run at different speeds.
const MARGIN_DIVISOR: u32 = 10;

/// Number of renewals in the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Time between two reads of the row by a VM that does not hold the lease. The holder is replaced
/// within this time and the lease, which leaves time to report windows before they are due.
const WATCH_INTERVAL: Duration = Duration::from_millis(2_500);

/// Difference between the advances of the wall clock and of the monotonic clock from which a machine
/// may have been suspended. Below the time within which calls of a resumed sender are excused.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 200;

/// Time after a restoration was first seen up to which windows may have been reported by a holder
/// whose clock is ahead.
const CLOCK_SLACK_MS: u64 = 2_000;

/// Number of low bits of a fencing token that count the holders within an era of the store.
const HOLDER_BITS: u32 = 32;

/// Time on both clocks of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic clock, which stands still while the machine is suspended.
    pub at: Instant,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl Moment {
    /// Returns whether the machine may have been suspended, or its wall clock have jumped, since
    /// `earlier`.
    fn is_disturbed_since(&self, earlier: Self) -> bool {
        let elapsed = self.at.saturating_duration_since(earlier.at).as_millis();
        let expected = earlier.wall_ms.saturating_add(u64::try_from(elapsed).unwrap_or(u64::MAX));
        self.wall_ms.abs_diff(expected) > MAX_CLOCK_DIFFERENCE_MS
    }
}

/// Durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Duration of the lease, measured from the moment its write was issued.
    pub lease: Duration,
}

impl LeaseTiming {
    /// Returns the safety margin for clocks that run at different speeds.
    pub fn margin(&self) -> Duration {
        self.lease / MARGIN_DIVISOR
    }

    /// Returns the interval between renewals.
    pub fn renewal_interval(&self) -> Duration {
        self.lease / RENEWALS_PER_LEASE
    }

    /// Returns for how long a row must not have changed before another VM takes over.
    fn takeover(&self) -> Duration {
        self.lease + self.margin()
    }
}

/// Content of the row of a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DutyRow {
    /// The VM that holds the lease, or held it last.
    pub holder: VmId,
    /// Text that is unique to the acquisition.
    pub nonce: Arc<str>,
    /// Fencing token of the holder.
    pub fencing: FencingToken,
    /// Era of the store that the row belongs to.
    pub era: StoreEra,
    /// Last window that is not to be counted any more: it is among the intended reports, or over.
    pub concluded: WindowId,
    /// Reports that may have been sent and are to be repeated.
    pub intended: Vec<UsageReport>,
}

impl DutyRow {
    /// Parses the content of a row. Returns `None` if it is not valid.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// Returns the content of the row.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("every field of a duty row can be represented in JSON")
    }
}

/// Row of a duty as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDuty {
    /// Revision of the row, for a conditional write.
    pub revision: RowVersion,
    /// Content, or `None` if it cannot be read.
    pub row: Option<DutyRow>,
}

/// All rows of the duty, one for each era in which it had a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutySnapshot {
    /// Era of the response.
    pub era: StoreEra,
    /// The rows.
    pub rows: Vec<StoredDuty>,
}

/// Conditional write of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyWrite {
    /// Required revision of the row; 0 if it must not exist.
    pub revision: RowVersion,
    /// New content.
    pub row: DutyRow,
}

impl DutyWrite {
    /// Returns the key of the row.
    pub fn key(&self) -> String {
        format!("{USAGE_REPORT_DUTY}-{}", self.row.era)
    }
}

/// Reply to a [`DutyWrite`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyReply {
    /// The row was written in this era and has this revision.
    Written(StoreEra, RowVersion),
    /// The row has another revision.
    Conflict,
    /// It is not known whether the row was or will be written.
    InDoubt,
}

/// A VM that does not hold the lease.
#[derive(Debug)]
pub struct IdleDuty {
    vm: VmId,
    timing: LeaseTiming,
    rules: UsageRules,
    eras: EraWatch,
    /// The row last seen and when it was first seen.
    observed: Option<(StoreEra, RowVersion, Instant)>,
    /// When the era was first seen, in milliseconds since the Unix epoch.
    era_seen_ms: u64,
}

/// Result of a read by a VM that does not hold the lease.
#[derive(Debug)]
pub enum WatchStep {
    /// Read again after this time.
    Wait(IdleDuty, Duration),
    /// Write for the lease.
    Acquire(AcquiringDuty),
}

impl IdleDuty {
    /// Creates the duty of a VM that does not hold the lease.
    pub fn new(vm: VmId, timing: LeaseTiming, rules: UsageRules) -> Self {
        let eras = EraWatch::default();
        Self { vm, timing, rules, eras, observed: None, era_seen_ms: 0 }
    }

    /// Processes the rows, as read at `now`, which is `true_ms` since the Unix epoch. `nonce` must
    /// never have been used before.
    pub fn on_snapshot(
        mut self,
        now: Moment,
        true_ms: u64,
        nonce: Arc<str>,
        snapshot: &DutySnapshot,
    ) -> WatchStep {
        if self.eras.era().is_none_or(|it| it < snapshot.era) {
            self.era_seen_ms = true_ms;
        }
        self.eras.observe(now.at, snapshot.era);
        // A row that cannot be read may have a higher token than the others.
        let rows: Option<Vec<(RowVersion, &DutyRow)>> =
            snapshot.rows.iter().map(|it| Some((it.revision, it.row.as_ref()?))).collect();
        let is_current = self.eras.era() == Some(snapshot.era);
        let Some(rows) = rows.filter(|_| is_current) else {
            return WatchStep::Wait(self, WATCH_INTERVAL);
        };
        let current = rows.iter().find(|(_, row)| row.era == snapshot.era);
        let remaining = match current {
            Some((revision, _)) => self.remaining(now.at, snapshot.era, *revision),
            None if self.eras.settled_era(now.at, self.timing.takeover()).is_some() => {
                Duration::ZERO
            }
            None => WATCH_INTERVAL,
        };
        if !remaining.is_zero() {
            return WatchStep::Wait(self, remaining.min(WATCH_INTERVAL));
        }
        let write = self.acquisition(snapshot.era, nonce, &rows);
        WatchStep::Acquire(AcquiringDuty { idle: self, write })
    }

    /// Returns how long the row still has to remain unchanged until the lease has expired.
    fn remaining(&mut self, now: Instant, era: StoreEra, revision: RowVersion) -> Duration {
        let observed = self.observed.filter(|it| (it.0, it.1) == (era, revision));
        let observed = observed.unwrap_or((era, revision, now));
        self.observed = Some(observed);
        self.timing.takeover().saturating_sub(now.saturating_duration_since(observed.2))
    }

    fn acquisition(
        &self,
        era: StoreEra,
        nonce: Arc<str>,
        rows: &[(RowVersion, &DutyRow)],
    ) -> DutyWrite {
        let highest = rows.iter().map(|it| it.1.fencing).max().unwrap_or(0);
        let (revision, concluded, intended) = match rows.iter().find(|it| it.1.era == era) {
            Some((revision, row)) => (*revision, row.concluded, row.intended.clone()),
            None => (0, self.concluded_before(era), Vec::new()),
        };
        let row = DutyRow {
            holder: self.vm.clone(),
            nonce,
            fencing: (highest + 1).max(era << HOLDER_BITS),
            era,
            concluded,
            intended,
        };
        DutyWrite { revision, row }
    }

    /// Returns the last window that may have been reported in an earlier era.
    ///
    /// Rows of earlier eras do not tell: the copy may lack the intention of a report that was sent, and
    /// a delayed write whose revision was assigned again may have put another one into the row.
    fn concluded_before(&self, era: StoreEra) -> WindowId {
        if era == UNRESTORED {
            return 0;
        }
        let possibly_sent_ms = self.era_seen_ms.saturating_add(CLOCK_SLACK_MS);
        self.rules.window_at(possibly_sent_ms).saturating_sub(1)
    }
}

/// A VM that writes for the lease.
#[derive(Debug)]
pub struct AcquiringDuty {
    idle: IdleDuty,
    write: DutyWrite,
}

impl AcquiringDuty {
    /// Returns the write, whose reply is to be passed to [`Self::on_reply`].
    pub const fn write(&self) -> &DutyWrite {
        &self.write
    }

    /// Processes the reply to the write that was issued at `issued`. Nobody acts under a lease whose
    /// acquisition is in doubt.
    pub fn on_reply(self, issued: Moment, reply: DutyReply) -> DutyStep {
        let Self { idle, write: DutyWrite { row, .. } } = self;
        match reply {
            DutyReply::Written(era, revision) if era == row.era => {
                DutyStep::Held(HeldDuty { idle, row, revision, valid_from: issued })
            }
            _ => DutyStep::Lost(idle),
        }
    }
}

/// A VM that holds the lease.
#[derive(Debug)]
pub struct HeldDuty {
    idle: IdleDuty,
    /// The row as acknowledged last.
    row: DutyRow,
    revision: RowVersion,
    /// When the last acknowledged write was issued.
    valid_from: Moment,
}

/// State after a write, or after a read of what became of it.
#[derive(Debug)]
pub enum DutyStep {
    /// This VM holds the lease.
    Held(HeldDuty),
    /// Read the rows and pass them to [`HeldDuty::on_snapshot`].
    InDoubt(HeldDuty),
    /// This VM does not hold the lease.
    Lost(IdleDuty),
}

impl HeldDuty {
    /// Returns the row as the store has acknowledged it.
    pub const fn row(&self) -> &DutyRow {
        &self.row
    }

    /// Returns whether an action that takes at most `max_duration` ends before the lease expires.
    pub fn covers_action(&self, now: Moment, max_duration: Duration) -> bool {
        let expires_at = self.valid_from.at + self.idle.timing.lease;
        let is_covered = now.at + max_duration + self.idle.timing.margin() <= expires_at;
        is_covered && !now.is_disturbed_since(self.valid_from)
    }

    /// Returns the write that extends the lease and stores what is concluded and intended.
    pub fn renewal(&self, concluded: WindowId, intended: Vec<UsageReport>) -> DutyWrite {
        let row = DutyRow { concluded, intended, ..self.row.clone() };
        DutyWrite { revision: self.revision, row }
    }

    /// Processes the reply to a renewal that was issued at `issued`.
    pub fn on_renewed(mut self, issued: Moment, write: DutyWrite, reply: DutyReply) -> DutyStep {
        match reply {
            DutyReply::Written(era, revision) if era == self.row.era => {
                (self.row, self.revision, self.valid_from) = (write.row, revision, issued);
                DutyStep::Held(self)
            }
            DutyReply::Written(..) => DutyStep::Lost(self.into_idle()),
            DutyReply::Conflict | DutyReply::InDoubt => DutyStep::InDoubt(self),
        }
    }

    /// Finds out what became of a renewal in doubt. The lease is not extended.
    pub fn on_snapshot(mut self, snapshot: &DutySnapshot) -> DutyStep {
        let rows = snapshot.rows.iter().filter_map(|it| Some((it.revision, it.row.as_ref()?)));
        let own = rows
            .filter(|_| snapshot.era == self.row.era)
            .find(|(_, row)| row.era == self.row.era && row.nonce == self.row.nonce);
        match own {
            Some((revision, row)) => {
                (self.revision, self.row) = (revision, row.clone());
                DutyStep::Held(self)
            }
            None => DutyStep::Lost(self.into_idle()),
        }
    }

    /// Stops to act under the lease, which expires by itself.
    pub fn into_idle(self) -> IdleDuty {
        // What was seen of the row before is no observation of what it is now.
        IdleDuty { observed: None, ..self.idle }
    }
}
