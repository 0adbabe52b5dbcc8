//! Which VMs of a failure domain read a source for all of them.
//!
//! If every VM read each change of a table itself, calls to the store would grow with the VMs times
//! the changes. Instead a few VMs of each failure domain, its watchers, read the table and send
//! what they read to the others ([`feed`](crate::feed)). Watchers are the first VMs by a hash
//! that all VMs agree on, so there is no election. They report each second that they reach the
//! source, and at once that they don't. While a VM hears from no watcher that does, further VMs
//! begin to read, by rank, so that the return of the source is not met by all VMs at once.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::watch::WatchDuty;
//!
//! let start = Instant::now();
//! let vms = (0..40).map(|it| format!("vm-{it}").into()).collect::<Vec<_>>();
//! let now = start + Duration::from_secs(3);
//! let readers = vms.iter().filter(|it| WatchDuty::new(start).is_reader(now, it, &vms));
//! assert_eq!(readers.count(), 3);
//! ```

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::VmId;
use cranberryvalve_core::stable_hash;

/// Number of watchers of a failure domain, so that two of them may fail at the same time.
pub const WATCHERS: usize = 3;

/// Interval between the reports of a watcher.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a change until the next report, so that a VM that missed the change soon finds out.
pub const REPORT_DELAY_AFTER_CHANGE: Duration = Duration::from_millis(250);

/// Time without a report after which a watcher is no longer relied on: two reports may be lost.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a report of any watcher after which a VM relies on none of them. They report
/// independently of each other, so that a lost report does not matter. What the watchers did not pass
/// on any more is read in the rest of the time in which a configuration has to be in force, 2 s on the
/// users' platform.
pub const COVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after the start of a VM in which it finds its peers before it takes up the duty.
pub const JOIN_TIME: Duration = Duration::from_millis(2_500);

/// Maximum time between two checks of a VM that does not read the source whether it has to.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// That time while no other VM of the failure domain reaches the source.
const UNCOVERED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which further VMs begin to read while no watcher reaches the source.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of readers of a failure domain during the first [`GENERAL_OUTAGE`] without a
/// watcher that reaches the source. If the source turns a third of the VMs away, one in 500,000
/// such groups has no VM that reaches it.
const MAX_READERS: usize = 4 * WATCHERS;

/// Time without a watcher that reaches the source after which every VM reads it.
const GENERAL_OUTAGE: Duration = Duration::from_secs(10);

/// Time for which a VM counts as failing after it reported that, or after its reports ended.
const FAILING_MEMORY: Duration = Duration::from_secs(10);

/// Decides whether this VM reads a source itself.
#[derive(Debug)]
pub struct WatchDuty {
    started_at: Instant,
    /// Last report of each VM that reads the source.
    reports: HashMap<VmId, Report>,
    /// Until when this VM is covered by a watcher.
    covered_until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    received_at: Instant,
    reaches_source: bool,
}

impl WatchDuty {
    /// Creates the duty of a VM that starts now.
    pub fn new(now: Instant) -> Self {
        let covered_until = now + JOIN_TIME + COVER_TIMEOUT;
        Self { started_at: now, reports: HashMap::new(), covered_until }
    }

    /// Records the report of another VM that reads the source.
    pub fn on_report(&mut self, now: Instant, vm: &VmId, reaches_source: bool) {
        self.reports.insert(vm.clone(), Report { received_at: now, reaches_source });
        if reaches_source {
            self.covered_until = now + COVER_TIMEOUT;
            return;
        }
        let reaching = self.reports.values().filter(|it| it.reaches_source);
        let covered_until = reaching.map(|it| it.received_at + COVER_TIMEOUT).max();
        self.covered_until = self.covered_until.min(covered_until.unwrap_or(now));
    }

    /// Returns `true` if another VM recently reported that it reaches the source.
    pub fn is_covered(&self, now: Instant) -> bool {
        now < self.covered_until
    }

    /// Returns `true` if another VM recently reported that it does not reach the source. Others may not have
    /// noticed, as they wait for changes.
    pub fn is_doubted(&self, now: Instant) -> bool {
        let age = |it: &Report| now.saturating_duration_since(it.received_at);
        self.reports.values().any(|it| !it.reaches_source && age(it) < REPORT_TIMEOUT)
    }

    /// Returns the time after which a VM that does not read the source checks again whether it has to.
    pub fn check_delay(&self, now: Instant) -> Duration {
        let time_to_join = (self.started_at + JOIN_TIME).saturating_duration_since(now);
        if !time_to_join.is_zero() {
            time_to_join.min(CHECK_INTERVAL)
        } else if self.is_covered(now) {
            CHECK_INTERVAL.min(self.covered_until - now)
        } else {
            UNCOVERED_CHECK_INTERVAL
        }
    }

    /// Returns `true` if the VM `own` reads the source itself. `vms` are the living VMs of its
    /// failure domain, itself included.
    ///
    /// While this VM is covered, the first VMs that do not fail read the source.
    pub fn is_reader(&self, now: Instant, own: &VmId, vms: &[VmId]) -> bool {
        if now < self.started_at + JOIN_TIME {
            return false;
        }
        let own_weight = weight(own);
        let before = vms.iter().filter(|it| *it != own && weight(it) > own_weight);
        if self.is_covered(now) {
            return before.filter(|it| !self.is_failing(now, it)).count() < WATCHERS;
        }
        let uncovered = now.saturating_duration_since(self.covered_until);
        if uncovered >= GENERAL_OUTAGE {
            return true;
        }
        let steps = uncovered.as_millis() / TAKEOVER_INTERVAL.as_millis();
        let groups = 2 + usize::try_from(steps).unwrap_or(MAX_READERS);
        before.count() < (WATCHERS * groups).min(MAX_READERS)
    }

    /// Returns `true` if the VM `own`, which reads the source itself, is the first reader that does not
    /// fail. It polls often, so that the failure domain soon learns of a restoration, which long polls
    /// do not show.
    pub fn is_first_reader(&self, now: Instant, own: &VmId, vms: &[VmId]) -> bool {
        let own_weight = weight(own);
        let mut before = vms.iter().filter(|it| *it != own && weight(it) > own_weight);
        before.all(|it| self.is_failing(now, it))
    }

    /// Returns the first VM of the failure domain that does not fail, as far as is known.
    pub fn first_reader<'a>(&self, now: Instant, vms: &'a [VmId]) -> Option<&'a VmId> {
        vms.iter().filter(|it| !self.is_failing(now, it)).max_by_key(|it| weight(it))
    }

    /// Returns `true` if a VM reported that it does not reach the source, or reports no longer.
    fn is_failing(&self, now: Instant, vm: &VmId) -> bool {
        self.reports.get(vm).is_some_and(|it| {
            let age = now.saturating_duration_since(it.received_at);
            age < FAILING_MEMORY && (!it.reaches_source || age >= REPORT_TIMEOUT)
        })
    }
}

/// Returns the weight by which VMs are ranked, which is the same on all VMs (rendezvous hashing:
/// Thaler and Ravishankar, 1998).
fn weight(vm: &VmId) -> u64 {
    stable_hash(("watch", vm))
}
