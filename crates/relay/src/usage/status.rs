//! What operators see of usage reports.

use std::sync::MutexGuard;
use std::sync::PoisonError;

use cranberryvalve_coordination::duties::DutyRow;
use cranberryvalve_coordination::usage::WindowId;
use cranberryvalve_core::FencingToken;
use cranberryvalve_core::VmId;
use serde::Serialize;

use super::UsageLedger;

/// State of usage reports on one VM.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub(crate) struct UsageStatus {
    /// Latest holder that this VM knows.
    holder: Option<VmId>,
    /// Fencing token of that holder.
    fencing: FencingToken,
    /// Whether this VM holds the lease.
    is_holder: bool,
    /// Last window whose report this VM has seen accepted.
    last_window: Option<WindowId>,
    /// Windows whose reports this VM still has to send.
    backlog: Vec<WindowId>,
    /// Estimate of the true time, in milliseconds since the Unix epoch.
    time_ms: u64,
}

impl UsageLedger {
    /// Returns what operators see.
    pub(crate) fn status(&self) -> UsageStatus {
        let holder = self.holder();
        UsageStatus {
            holder: holder.as_ref().map(|it| it.holder.vm.clone()),
            fencing: holder.map_or(0, |it| it.fencing),
            is_holder: self.is_holder(),
            time_ms: self.now_ms(),
            ..self.lock_status().clone()
        }
    }

    /// Updates the gauges.
    pub(crate) fn update_gauges(&self) {
        let status = self.status();
        metrics::gauge!("cranberryvalve_usage_is_holder")
            .set(f64::from(u8::from(status.is_holder)));
        metrics::gauge!("cranberryvalve_usage_fencing_token").set(status.fencing as f64);
        metrics::gauge!("cranberryvalve_usage_backlog").set(status.backlog.len() as f64);
        metrics::gauge!("cranberryvalve_usage_last_window")
            .set(status.last_window.unwrap_or(0) as f64);
    }

    pub(super) fn record_accepted(&self, window: WindowId) {
        let mut status = self.lock_status();
        status.last_window = status.last_window.max(Some(window));
        status.backlog.retain(|it| *it != window);
    }

    pub(super) fn record_backlog(&self, row: Option<&DutyRow>) {
        let intended = row.into_iter().flat_map(|it| &it.intended);
        self.lock_status().backlog = intended.map(|it| it.window).collect();
    }

    fn lock_status(&self) -> MutexGuard<'_, UsageStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
