//! Requests by window and customer, for usage reports.
//!
//! Each VM counts the requests that upstreams begin to run ([`LocalUsage`]) and sends its counts to
//! one VM, which merges them ([`MergedUsage`]). Counts are cumulative for each start of a VM, so that
//! messages may be lost, repeated or overtake each other.
//!
//! ```
//! use std::time::Duration;
//!
//! use cranberryvalve_coordination::usage::UsageRules;
//!
//! let rules = UsageRules {
//!     window: Duration::from_secs(5),
//!     due: Duration::from_secs(10),
//!     tolerance: 0.05,
//! };
//! assert_eq!(rules.window_at(12_000), 2);
//! assert_eq!(rules.end_ms(2), 15_000);
//! ```

mod clock;
mod merged;
mod plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::FencingToken;
use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::PeerAddress;

pub use self::clock::ClockReading;
pub use self::clock::ClockVotes;
pub use self::clock::TrueClock;
pub use self::merged::MergedUsage;
pub use self::merged::WindowState;
pub use self::plan::ReportPlan;

/// Number of a window: the windows since the start of 1970.
pub type WindowId = u64;

/// Number of requests of each customer.
pub type CustomerCounts = BTreeMap<CustomerId, u64>;

/// Time after the end of a window until its counts are sent as complete, so that requests which are
/// being counted at its end are included.
const CLOSE_DELAY_MS: u64 = 100;

/// Number of times that each complete window is sent unasked, since a message may be lost.
const COMPLETE_SENDS: u8 = 2;

/// Length of windows, and when and how exactly they have to be reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageRules {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    pub due: Duration,
    /// Maximum error of a count, as a fraction of the true value.
    pub tolerance: f64,
}

impl UsageRules {
    /// Returns the window that contains a time in milliseconds since the Unix epoch.
    pub fn window_at(&self, time_ms: u64) -> WindowId {
        time_ms / self.window_ms()
    }

    /// Returns the start of a window in milliseconds since the Unix epoch.
    pub fn start_ms(&self, window: WindowId) -> u64 {
        window.saturating_mul(self.window_ms())
    }

    /// Returns the end of a window in milliseconds since the Unix epoch.
    pub fn end_ms(&self, window: WindowId) -> u64 {
        self.start_ms(window.saturating_add(1))
    }

    /// Returns when the report of a window is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, window: WindowId) -> u64 {
        self.end_ms(window).saturating_add(millis(self.due))
    }

    /// Returns the first window whose report may not be due yet.
    pub fn first_open_window(&self, now_ms: u64) -> WindowId {
        self.window_at(now_ms.saturating_sub(millis(self.due + self.window)))
    }

    fn window_ms(&self) -> u64 {
        millis(self.window).max(1)
    }
}

/// The counts of one window, as reported or to be reported.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: WindowId,
    /// Number of requests of each customer.
    pub counts: CustomerCounts,
}

/// Counts of one VM in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowId,
    /// Whether these are all counts of a window that has ended.
    pub is_complete: bool,
    /// Number of requests of some customers since the start of the window.
    pub counts: Vec<(CustomerId, u64)>,
}

/// Counts of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmCounts {
    /// The VM that counted.
    pub vm: VmId,
    /// Start of the VM: an incarnation that it had since. Later starts have greater ones.
    pub incarnation: u64,
    /// Time since which it counts, in milliseconds since the Unix epoch; 0 if there was nothing to
    /// count before.
    pub counts_since_ms: u64,
    /// The counts.
    pub windows: Vec<WindowCounts>,
}

/// The VM that reports, as it is announced.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageHolder {
    /// Name and address of the VM.
    pub holder: PeerAddress,
    /// Its fencing token; the highest one is that of the latest holder.
    pub fencing: FencingToken,
}

/// A message between VMs about usage.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum UsageMessage {
    /// Counts for the holder, with the clocks of the sender.
    Counts(VmCounts, ClockReading),
    /// The VM to send counts to. The receiver forwards it if it is new.
    Holder(UsageHolder),
    /// The true time as agreed by the VMs, in milliseconds since the Unix epoch.
    Clock(u64),
    /// Asks for all counts of windows that are not over.
    Request,
}

/// Counts of this VM.
#[derive(Debug, Default)]
pub struct LocalUsage {
    windows: BTreeMap<WindowId, CustomerCounts>,
    /// Counts that were not sent since they changed.
    changed: BTreeSet<(WindowId, CustomerId)>,
    /// How often each window was sent as complete.
    complete_sends: BTreeMap<WindowId, u8>,
}

impl LocalUsage {
    /// Counts a request that an upstream has begun to run.
    pub fn record(&mut self, window: WindowId, customer: &CustomerId) {
        *self.windows.entry(window).or_default().entry(customer.clone()).or_default() += 1;
        self.changed.insert((window, customer.clone()));
    }

    /// Returns what is to be sent now: changed counts, and windows that have ended in full.
    pub fn take_due(&mut self, rules: &UsageRules, now_ms: u64) -> Vec<WindowCounts> {
        self.forget_old(rules, now_ms);
        let closed = rules.window_at(now_ms.saturating_sub(CLOSE_DELAY_MS));
        let mut due = Vec::new();
        for window in rules.first_open_window(now_ms)..closed {
            let sends = self.complete_sends.entry(window).or_default();
            if *sends < COMPLETE_SENDS {
                *sends += 1;
                due.push(window);
            }
        }
        let mut changed: BTreeMap<WindowId, Vec<(CustomerId, u64)>> = BTreeMap::new();
        for (window, customer) in std::mem::take(&mut self.changed) {
            let count = self.windows.get(&window).and_then(|it| it.get(&customer));
            if let Some(count) = count.filter(|_| !due.contains(&window)) {
                changed.entry(window).or_default().push((customer, *count));
            }
        }
        let changed = changed.into_iter().map(|(window, counts)| WindowCounts {
            window,
            is_complete: false,
            counts,
        });
        let complete = due.iter().map(|it| self.window_counts(*it, true));
        changed.chain(complete).collect()
    }

    /// Returns all counts of windows that are not over, for a VM that lacks some.
    pub fn all(&mut self, rules: &UsageRules, now_ms: u64) -> Vec<WindowCounts> {
        self.forget_old(rules, now_ms);
        let closed = rules.window_at(now_ms.saturating_sub(CLOSE_DELAY_MS));
        let last = rules.window_at(now_ms);
        let windows = rules.first_open_window(now_ms)..=last;
        windows.map(|it| self.window_counts(it, it < closed)).collect()
    }

    fn window_counts(&self, window: WindowId, is_complete: bool) -> WindowCounts {
        let counts = self.windows.get(&window).into_iter().flatten();
        let counts = counts.map(|(customer, count)| (customer.clone(), *count)).collect();
        WindowCounts { window, is_complete, counts }
    }

    /// Forgets windows that are over.
    pub fn forget_old(&mut self, rules: &UsageRules, now_ms: u64) {
        let first = rules.first_open_window(now_ms);
        self.windows = self.windows.split_off(&first);
        self.complete_sends = self.complete_sends.split_off(&first);
        self.changed.retain(|(window, _)| *window >= first);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
