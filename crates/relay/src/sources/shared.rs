//! The directory as the VMs of a failure domain pass it on to each other.

use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::feed::FeedDelta;
use cranberryvalve_coordination::feed::FeedLog;
use cranberryvalve_coordination::feed::Merge;
use cranberryvalve_coordination::peer::FeedReport;
use cranberryvalve_coordination::watch::WatchDuty;
use cranberryvalve_core::StorePosition;
use cranberryvalve_core::VmId;

use super::follower::FeedUpdate;

/// What a VM needs to ask the sender of a report for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MissingChanges {
    /// Position of this VM; `None` if it has no snapshot yet.
    pub(crate) since: Option<StorePosition>,
}

/// State shared by the threads that read and apply the directory and those that exchange messages.
#[derive(Debug)]
pub(crate) struct SharedDirectory {
    state: Mutex<State>,
    updated: Condvar,
    reported: Condvar,
}

#[derive(Debug)]
struct State {
    duty: WatchDuty,
    log: FeedLog,
    /// Changes of the log that the directory does not contain yet.
    updates: VecDeque<FeedUpdate>,
    /// When the source last came back after an outage.
    recovered_at: Option<Instant>,
    /// Whether the last read of this VM succeeded; `None` if it does not read the source.
    own_read: Option<bool>,
}

impl SharedDirectory {
    pub(crate) fn new(now: Instant) -> Self {
        let state = State {
            duty: WatchDuty::new(now),
            log: FeedLog::default(),
            updates: VecDeque::new(),
            recovered_at: None,
            own_read: None,
        };
        Self { state: Mutex::new(state), updated: Condvar::new(), reported: Condvar::new() }
    }

    /// Returns the position of the directory, or `None` before the first snapshot.
    pub(crate) fn position(&self) -> Option<StorePosition> {
        self.lock().log.position()
    }

    /// Returns `true` if this VM has to read the source. `vms` are the living VMs of its failure
    /// domain.
    pub(crate) fn is_reader(&self, now: Instant, own: &VmId, vms: &[VmId]) -> bool {
        let mut state = self.lock();
        let is_reader = state.duty.is_reader(now, own, vms);
        if !is_reader {
            state.own_read = None;
        }
        is_reader
    }

    /// Returns `true` if this VM, which reads the source, is the first that does so in its failure
    /// domain. `vms` are the living VMs there.
    pub(crate) fn is_first_reader(&self, now: Instant, own: &VmId, vms: &[VmId]) -> bool {
        self.lock().duty.is_first_reader(now, own, vms)
    }

    /// Returns the first VM of a failure domain that reaches the source. `vms` are the living VMs there.
    pub(crate) fn first_reader(&self, now: Instant, vms: &[VmId]) -> Option<VmId> {
        self.lock().duty.first_reader(now, vms).cloned()
    }

    /// Returns the time after which a VM that does not read the source checks again whether it has to.
    pub(super) fn check_delay(&self, now: Instant) -> Duration {
        self.lock().duty.check_delay(now)
    }

    /// Returns `true` if this VM or one that reports to it reaches the source.
    pub(super) fn is_source_healthy(&self, now: Instant) -> bool {
        let state = self.lock();
        state.own_read.unwrap_or_else(|| state.duty.is_covered(now))
    }

    /// Returns `true` if nothing shows that changes of the source do not reach this VM.
    pub(crate) fn is_source_certain(&self, now: Instant) -> bool {
        self.is_source_healthy(now) && !self.lock().duty.is_doubted(now)
    }

    /// Returns when the source last came back after an outage, as far as is known.
    pub(crate) fn recovered_at(&self) -> Option<Instant> {
        self.lock().recovered_at
    }

    /// Records a read of the source that followed on `base`. Returns the delta for the other VMs,
    /// or `None` if there is nothing new.
    pub(super) fn record_read(
        &self,
        base: Option<StorePosition>,
        update: FeedUpdate,
        recovered_at: Option<Instant>,
        has_succeeded: bool,
    ) -> Option<FeedDelta> {
        let mut state = self.lock();
        state.own_read = Some(has_succeeded);
        state.recovered_at = state.recovered_at.max(recovered_at);
        let delta = match &update {
            FeedUpdate::Unchanged => return None,
            FeedUpdate::Snapshot { snapshot, .. } => {
                if state.log.position().is_some_and(|it| it > snapshot.position) {
                    return None;
                }
                state.log.replace(snapshot)
            }
            FeedUpdate::Changes(changes) => {
                let base = base?;
                let delta = FeedDelta::Changes { base, changes: changes.clone() };
                state.log.apply(base, changes).then_some(delta)
            }
        };
        // A snapshot at a known position changes nothing, but may show that entries are missing.
        if delta.is_some() || matches!(update, FeedUpdate::Snapshot { .. }) {
            state.updates.push_back(update);
            drop(state);
            self.updated.notify_all();
        }
        delta
    }

    /// Merges a report of another VM. Returns what this VM lacks.
    pub(crate) fn on_report(
        &self,
        now: Instant,
        sender: &VmId,
        report: FeedReport,
    ) -> Option<MissingChanges> {
        let mut state = self.lock();
        state.duty.on_report(now, sender, report.reaches_source);
        let recovered_at =
            report.recovered_ms.and_then(|it| now.checked_sub(Duration::from_millis(it.into())));
        state.recovered_at = state.recovered_at.max(recovered_at);
        let merge = report.delta.map_or(Merge::Known, |it| state.log.merge(it));
        match merge {
            Merge::Changed(changes) => state.updates.push_back(FeedUpdate::Changes(changes)),
            Merge::Replaced { snapshot, is_restored } => {
                state.updates.push_back(FeedUpdate::Snapshot { snapshot, is_restored });
            }
            Merge::Known | Merge::Gap => {}
        }
        let since = state.log.position();
        drop(state);
        self.updated.notify_all();
        self.reported.notify_all();
        (since < report.position).then_some(MissingChanges { since })
    }

    /// Returns a report for the other VMs, or `None` if this VM does not read the source.
    pub(crate) fn report(&self, now: Instant, delta: Option<FeedDelta>) -> Option<FeedReport> {
        let state = self.lock();
        let recovered_age = state.recovered_at.map(|it| now.saturating_duration_since(it));
        Some(FeedReport {
            reaches_source: state.own_read?,
            position: state.log.position(),
            recovered_ms: recovered_age.and_then(|it| u32::try_from(it.as_millis()).ok()),
            delta,
        })
    }

    /// Returns what a VM at `position` lacks, or `None` if this VM has nothing newer.
    pub(crate) fn since(&self, position: Option<StorePosition>) -> Option<FeedDelta> {
        self.lock().log.since(position)
    }

    /// Waits at most `timeout` for a report of another VM.
    pub(super) fn wait_for_report(&self, timeout: Duration) {
        let waited = self.reported.wait_timeout(self.lock(), timeout);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Waits at most `timeout` for changes that the directory does not contain yet, and takes them,
    /// oldest first.
    pub(super) fn wait_for_updates(&self, timeout: Duration) -> VecDeque<FeedUpdate> {
        let state = self.lock();
        let waited = self.updated.wait_timeout_while(state, timeout, |it| it.updates.is_empty());
        let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
        std::mem::take(&mut state.updates)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
