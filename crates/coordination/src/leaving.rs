//! Which upstreams leave, from sources that lag and disagree.
//!
//! Each source is believed about itself only: an upstream leaves as long as any source says so,
//! and a source is overruled only by a newer word of its own. An old "live" therefore never brings
//! an upstream back that another source has seen leaving.
//!
//! ```
//! use cranberryvalve_coordination::leaving::LeavingView;
//!
//! let mut view = LeavingView::default();
//! view.on_own_word(&"engine-1".into(), true);
//! let change = view.on_list(7, &[("engine-1".into(), false)]);
//! assert!(change.is_empty());
//! assert!(view.is_leaving("engine-1"));
//! ```

use std::collections::BTreeMap;

use cranberryvalve_core::UpstreamId;

/// Revision of the platform's list; higher is newer.
pub type ListRevision = u64;

/// An upstream whose state changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingChange {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Whether it leaves now.
    pub leaving: bool,
}

/// What each source last said of each upstream.
#[derive(Debug, Default)]
pub struct LeavingView {
    list_revision: ListRevision,
    entries: BTreeMap<UpstreamId, Sources>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Sources {
    by_list: bool,
    by_itself: bool,
}

impl Sources {
    const fn leaving(self) -> bool {
        self.by_list || self.by_itself
    }
}

impl LeavingView {
    /// Whether any source says that `upstream` leaves.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.entries.get(upstream).copied().is_some_and(Sources::leaving)
    }

    /// All upstreams that some source says leave.
    pub fn leaving_upstreams(&self) -> Vec<UpstreamId> {
        let leaving = self.entries.iter().filter(|(_, sources)| sources.leaving());
        leaving.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Takes a copy of the platform's list: each upstream and whether it leaves.
    ///
    /// A copy with a lower revision than one already seen is ignored.
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
            self.update(upstream, |sources| sources.by_list = *leaving)
        });
        changes.collect()
    }

    /// Takes what `upstream` said of itself, in an answer or a load report.
    pub fn on_own_word(&mut self, upstream: &UpstreamId, leaving: bool) -> Option<LeavingChange> {
        self.update(upstream, |sources| sources.by_itself = leaving)
    }

    fn update(
        &mut self,
        upstream: &UpstreamId,
        change: impl FnOnce(&mut Sources),
    ) -> Option<LeavingChange> {
        let sources = self.entries.entry(upstream.clone()).or_default();
        let before = sources.leaving();
        change(sources);
        let leaving = sources.leaving();
        (before != leaving).then(|| LeavingChange { upstream: upstream.clone(), leaving })
    }
}
