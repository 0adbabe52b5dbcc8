//! Counts of several VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cranberryvalve_core::VmId;

use super::CustomerCounts;
use super::UsageReport;
use super::UsageRules;
use super::VmCounts;
use super::WindowCounts;
use super::WindowId;

/// Time before a report is due at which it is decided without the VMs whose counts are missing. It is
/// left for the writes to the store and the calls of the report.
const DECISION_MARGIN_MS: u64 = 2_000;

/// Counts of several VMs, by start of the VM.
#[derive(Debug, Default)]
pub struct MergedUsage {
    vms: BTreeMap<VmId, BTreeMap<u64, Contribution>>,
}

/// Counts of one start of a VM.
#[derive(Debug, Default)]
struct Contribution {
    counts_since_ms: u64,
    windows: BTreeMap<WindowId, Part>,
}

/// Counts of a VM in a window.
#[derive(Debug, Default)]
struct Part {
    counts: CustomerCounts,
    is_complete: bool,
}

/// What is to be done about a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WindowState {
    /// The window has not ended, or counts of these VMs are missing.
    Open(Vec<VmId>),
    /// The counts are known.
    Ready(UsageReport),
    /// Too much is missing, or it is too late.
    Lost,
}

impl MergedUsage {
    /// Merges counts of a VM, of windows that are not over.
    pub fn merge(&mut self, rules: &UsageRules, now_ms: u64, vm_counts: VmCounts) {
        let first = rules.first_open_window(now_ms);
        let last = rules.window_at(now_ms.saturating_add(super::millis(rules.due)));
        let starts = self.vms.entry(vm_counts.vm).or_default();
        let contribution = starts.entry(vm_counts.incarnation).or_default();
        contribution.counts_since_ms = vm_counts.counts_since_ms;
        for it in vm_counts.windows {
            if (first..=last).contains(&it.window) {
                contribution.windows.entry(it.window).or_default().merge(it);
            }
        }
    }

    /// Forgets windows that are over, and VMs that have no others.
    pub fn forget_old(&mut self, rules: &UsageRules, now_ms: u64) {
        let first = rules.first_open_window(now_ms);
        for starts in self.vms.values_mut() {
            for it in starts.values_mut() {
                it.windows = it.windows.split_off(&first);
            }
            starts.retain(|_, it| !it.windows.is_empty());
        }
        self.vms.retain(|_, it| !it.is_empty());
    }

    /// Returns the counts of a VM, to pass them on.
    pub fn counts_of(&self, vm: &VmId) -> Vec<VmCounts> {
        let starts = self.vms.get(vm).into_iter().flatten();
        starts
            .map(|(incarnation, it)| VmCounts {
                vm: vm.clone(),
                incarnation: *incarnation,
                counts_since_ms: it.counts_since_ms,
                windows: it.windows.iter().map(|(window, part)| part.export(*window)).collect(),
            })
            .collect()
    }

    /// Returns what is to be done about `window`, of which all `living` VMs have counts.
    pub fn state(
        &self,
        rules: &UsageRules,
        now_ms: u64,
        window: WindowId,
        living: &[VmId],
    ) -> WindowState {
        if now_ms < rules.end_ms(window) {
            return WindowState::Open(Vec::new());
        }
        if now_ms >= rules.due_ms(window) {
            return WindowState::Lost;
        }
        let missing: Vec<VmId> =
            living.iter().filter(|it| !self.has_complete(it, window)).cloned().collect();
        let decides = now_ms.saturating_add(DECISION_MARGIN_MS) >= rules.due_ms(window);
        if !missing.is_empty() && !decides {
            return WindowState::Open(missing);
        }
        let mut vms: BTreeSet<&VmId> = living.iter().collect();
        vms.extend(self.vms.iter().filter(|it| has_window(it.1, window)).map(|it| it.0));
        let start_ms = rules.start_ms(window);
        let started = living.iter().filter(|it| self.may_have_lost(it, window, start_ms)).count();
        let is_mass_start = 2 * started > living.len();
        let is_much_missing = missing.len() as f64 > rules.tolerance * vms.len() as f64;
        if vms.is_empty() || is_mass_start || is_much_missing {
            return WindowState::Lost;
        }
        WindowState::Ready(UsageReport { window, counts: self.sum(window) })
    }

    /// Returns whether the latest start of a VM has sent the window in full.
    fn has_complete(&self, vm: &VmId, window: WindowId) -> bool {
        let latest = self.vms.get(vm).and_then(|it| it.values().next_back());
        latest.and_then(|it| it.windows.get(&window)).is_some_and(|it| it.is_complete)
    }

    /// Returns whether a VM began to count within the window, and no earlier start of it is known. A
    /// few such VMs are new; if most are, all of them were restarted and what they counted is lost.
    fn may_have_lost(&self, vm: &VmId, window: WindowId, start_ms: u64) -> bool {
        let Some(starts) = self.vms.get(vm) else { return true };
        // An earlier start that ended before the window lost nothing of it.
        let previous = window.saturating_sub(1);
        let counts_since_ms = starts.values().next_back().map_or(u64::MAX, |it| it.counts_since_ms);
        let knows_earlier =
            starts.values().rev().skip(1).any(|it| it.windows.range(previous..=window).count() > 0);
        counts_since_ms > start_ms && !knows_earlier
    }

    fn sum(&self, window: WindowId) -> CustomerCounts {
        let contributions = self.vms.values().flat_map(BTreeMap::values);
        let mut sum = CustomerCounts::new();
        for part in contributions.filter_map(|it| it.windows.get(&window)) {
            for (customer, count) in &part.counts {
                let total = sum.entry(customer.clone()).or_default();
                *total = total.saturating_add(*count);
            }
        }
        sum
    }
}

impl Part {
    fn merge(&mut self, counts: WindowCounts) {
        self.is_complete |= counts.is_complete;
        for (customer, count) in counts.counts {
            let known = self.counts.entry(customer).or_default();
            *known = count.max(*known);
        }
    }

    fn export(&self, window: WindowId) -> WindowCounts {
        let counts = self.counts.iter().map(|(customer, count)| (customer.clone(), *count));
        WindowCounts { window, is_complete: self.is_complete, counts: counts.collect() }
    }
}

fn has_window(starts: &BTreeMap<u64, Contribution>, window: WindowId) -> bool {
    starts.values().any(|it| it.windows.contains_key(&window))
}
