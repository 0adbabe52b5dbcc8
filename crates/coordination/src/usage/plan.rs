//! What the holder of the duty writes into its row next.

use std::collections::BTreeSet;

use cranberryvalve_core::VmId;

use super::UsageReport;
use super::UsageRules;
use super::WindowId;
use super::WindowState;

/// Maximum number of reports that wait: windows of 5 s that are due within 10 s.
const MAX_INTENDED: usize = 3;

/// Maximum size of a report in the row, in bytes, so that [`MAX_INTENDED`] of them fit into a row of
/// 64 KiB. At 440 customers with 16 bytes each a report has 7 KB.
const MAX_REPORT_BYTES: usize = 20_000;

/// Maximum size of a customer's entry in a report besides its name, in bytes: quotes, separators and
/// the largest number.
const ENTRY_BYTES: usize = 24;

/// Next content of the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportPlan {
    /// Last window that is not to be counted any more.
    pub concluded: WindowId,
    /// Reports to send.
    pub intended: Vec<UsageReport>,
    /// Windows that are not reported.
    pub lost: Vec<WindowId>,
    /// VMs whose counts are missing in a window that has ended.
    pub missing: Vec<VmId>,
}

impl ReportPlan {
    /// Decides on the windows after `concluded`, and drops the reports of `intended` that are
    /// `confirmed` or over.
    pub fn next(
        rules: &UsageRules,
        now_ms: u64,
        (concluded, intended): (WindowId, &[UsageReport]),
        confirmed: &BTreeSet<WindowId>,
        state: impl Fn(WindowId) -> WindowState,
    ) -> Self {
        let is_due =
            |it: &&UsageReport| !confirmed.contains(&it.window) && now_ms < rules.due_ms(it.window);
        let intended = intended.iter().filter(is_due).cloned().collect();
        let mut plan = Self { concluded, intended, lost: Vec::new(), missing: Vec::new() };
        let first = rules.first_open_window(now_ms).max(concluded.saturating_add(1));
        for window in first..rules.window_at(now_ms) {
            if plan.intended.len() >= MAX_INTENDED {
                break;
            }
            match state(window) {
                WindowState::Open(missing) => {
                    plan.missing = missing;
                    break;
                }
                WindowState::Ready(report) if is_small(&report) => plan.intended.push(report),
                WindowState::Ready(_) | WindowState::Lost => plan.lost.push(window),
            }
            plan.concluded = window;
        }
        plan
    }
}

fn is_small(report: &UsageReport) -> bool {
    let bytes = report.counts.keys().map(|it| it.len() + ENTRY_BYTES).sum::<usize>();
    bytes <= MAX_REPORT_BYTES
}
