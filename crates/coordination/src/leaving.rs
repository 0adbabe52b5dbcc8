//! Which upstreams are leaving, from reports that lag and disagree.
//!
//! The latest report of each source is kept separately: an upstream is leaving as long as any
//! source reports so, and a report is replaced only by a newer one from the same source. An
//! outdated "live" report therefore never reinstates an upstream that another source reports as
//! leaving.
//!
//! ```
//! use cranberryvalve_coordination::leaving::LeavingView;
//!
//! let mut view = LeavingView::default();
//! view.on_self_report(&"engine-1".into(), true);
//! let change = view.on_list(7, &[("engine-1".into(), false)]);
//! assert!(change.is_empty());
//! assert!(view.is_leaving("engine-1"));
//! ```

use std::collections::BTreeMap;

use cranberryvalve_core::UpstreamId;

/// Revision of the platform's upstream list; higher is newer.
pub type ListRevision = u64;

/// Change of an upstream's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingChange {
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Whether the upstream is leaving now.
    pub leaving: bool,
}

/// Latest report of each source about each upstream.
#[derive(Debug, Default)]
pub struct LeavingView {
    list_revision: ListRevision,
    entries: BTreeMap<UpstreamId, SourceReports>,
}

#[derive(Debug, Default, Clone, Copy)]
struct SourceReports {
    reported_by_list: bool,
    reported_by_upstream: bool,
}

impl SourceReports {
    const fn is_leaving(self) -> bool {
        self.reported_by_list || self.reported_by_upstream
    }
}

impl LeavingView {
    /// Returns whether any source reports that `upstream` is leaving.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.entries.get(upstream).copied().is_some_and(SourceReports::is_leaving)
    }

    /// Returns all upstreams that at least one source reports as leaving.
    pub fn leaving_upstreams(&self) -> Vec<UpstreamId> {
        let leaving = self.entries.iter().filter(|(_, reports)| reports.is_leaving());
        leaving.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Processes a copy of the platform's list, which contains each upstream and whether it is
    /// leaving. Returns the upstreams whose state changed.
    ///
    /// A copy with a lower revision than the last one is ignored.
    pub fn on_list(
        &mut self,
        revision: ListRevision,
        list: &[(UpstreamId, bool)],
    ) -> Vec<LeavingChange> {
        if revision < self.list_revision {
            return Vec::new();
        }
        self.list_revision = revision;
        let changes = list.iter().filter_map(|(upstream, leaving)| {
            self.update(upstream, |reports| reports.reported_by_list = *leaving)
        });
        changes.collect()
    }

    /// Processes what `upstream` reported about itself, in a response or a load report.
    ///
    /// Returns `None` if its state did not change.
    pub fn on_self_report(
        &mut self,
        upstream: &UpstreamId,
        leaving: bool,
    ) -> Option<LeavingChange> {
        self.update(upstream, |reports| reports.reported_by_upstream = leaving)
    }

    fn update(
        &mut self,
        upstream: &UpstreamId,
        change: impl FnOnce(&mut SourceReports),
    ) -> Option<LeavingChange> {
        let reports = self.entries.entry(upstream.clone()).or_default();
        let before = reports.is_leaving();
        change(reports);
        let leaving = reports.is_leaving();
        (before != leaving).then(|| LeavingChange { upstream: upstream.clone(), leaving })
    }
}
