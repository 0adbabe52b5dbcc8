//! Which build each VM runs.
//!
//! VMs of two builds run side by side during an upgrade. Each VM tells its neighbours what it runs,
//! and they forward what is new to them. A VM of a build that does not announce itself counts as the
//! oldest, and so does a VM that has restarted since its announcement.
//!
//! ```
//! use cranberryvalve_coordination::builds::BuildLog;
//! use cranberryvalve_coordination::builds::VmBuild;
//!
//! let build = VmBuild {
//!     vm: "vm-2".into(),
//!     incarnation: 5,
//!     protocol_version: 1,
//!     build: "97079c5a7388".into(),
//!     capabilities: 0,
//! };
//! let mut log = BuildLog::default();
//! assert_eq!(log.merge(vec![build.clone()], |_| true), [build.clone()]);
//! assert_eq!(log.build_of("vm-2", 5), Some(&build));
//! // The VM has restarted, maybe with another build.
//! assert_eq!(log.build_of("vm-2", 6), None);
//! ```

mod exchange;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

pub use self::exchange::Announcements;
pub use self::exchange::BuildExchange;
pub use self::exchange::MemberBuild;
pub use self::exchange::REPEATED_BUILDS;

/// Version of the messages between VMs that this build writes.
pub const PROTOCOL_VERSION: u32 = 1;

/// Version that stands for all builds that do not announce one.
pub const UNANNOUNCED_PROTOCOL: u32 = 0;

/// Names of the capabilities that builds announce, by their bit. Names are only appended.
pub const CAPABILITIES: [&str; 8] = [
    "permits",
    "quarantine",
    "stream_origins",
    "forwarding",
    "refusals",
    "usage_reports",
    "origin_copies",
    "empty_customer_lists",
];

/// Bit of the capability to exchange [`UsageMessage`](crate::usage::UsageMessage)s.
pub const USAGE_REPORTS_BIT: u64 = 1 << 5;

/// Bit of the capability to keep copies of the origins of streams
/// ([`PeerMessage::OriginCopies`](crate::peer::PeerMessage::OriginCopies)).
pub const ORIGIN_COPIES_BIT: u64 = 1 << 6;

/// Bit of the capability to tell an empty list of customers in a routing table from an absent one.
pub const EMPTY_CUSTOMER_LISTS_BIT: u64 = 1 << 7;

/// Bits of all capabilities that this build knows.
pub const ALL_CAPABILITIES: u64 = (1 << CAPABILITIES.len()) - 1;

/// Maximum length of the name of a build, in bytes; longer ones are ignored.
const MAX_BUILD_BYTES: usize = 64;

/// Maximum number of new announcements that are forwarded in one message.
const MAX_UPDATES: usize = 8;

/// What a VM runs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmBuild {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of the VM that the announcement belongs to.
    pub incarnation: u64,
    /// Version of the messages between VMs that the VM writes.
    pub protocol_version: u32,
    /// Name of the build, such as the abbreviated hash of its commit.
    pub build: Arc<str>,
    /// What the VM is able to do: a bit for each of [`CAPABILITIES`], and for later ones.
    pub capabilities: u64,
}

impl VmBuild {
    /// Returns the announcement of a VM that runs this build and is able to do all that it knows.
    pub const fn of_this_build(vm: VmId, incarnation: u64, build: Arc<str>) -> Self {
        Self {
            vm,
            incarnation,
            protocol_version: PROTOCOL_VERSION,
            build,
            capabilities: ALL_CAPABILITIES,
        }
    }

    /// Returns the names of the capabilities that this build knows.
    pub fn capability_names(&self) -> impl Iterator<Item = &'static str> {
        let names = CAPABILITIES.iter().enumerate();
        names.filter(|(bit, _)| self.capabilities & (1 << bit) != 0).map(|(_, name)| *name)
    }
}

/// Announcements of the other VMs.
#[derive(Debug, Default)]
pub struct BuildLog {
    builds: BTreeMap<VmId, VmBuild>,
    /// VMs whose announcements are still to be forwarded.
    updates: BTreeSet<VmId>,
    /// VM whose announcement was repeated last.
    repeated: Option<VmId>,
}

impl BuildLog {
    /// Merges announcements of members, and returns those that are new. Announcements of other VMs
    /// are ignored, so that they cannot circulate after a VM is gone.
    pub fn merge(
        &mut self,
        builds: Vec<VmBuild>,
        is_member: impl Fn(&str) -> bool,
    ) -> Vec<VmBuild> {
        let mut added = Vec::new();
        for build in builds {
            let known = self.builds.get(&build.vm).map(|it| it.incarnation);
            let is_newer = known.is_none_or(|it| it < build.incarnation);
            if is_newer && build.build.len() <= MAX_BUILD_BYTES && is_member(&build.vm) {
                self.updates.insert(build.vm.clone());
                self.builds.insert(build.vm.clone(), build.clone());
                added.push(build);
            }
        }
        added
    }

    /// Forgets VMs that are not members any more.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.builds.retain(|vm, _| is_member(vm));
        self.updates.retain(|vm| is_member(vm));
    }

    /// Returns announcements to forward to the neighbours, a few at a time.
    pub fn take_updates(&mut self) -> Vec<VmBuild> {
        let due = std::iter::from_fn(|| self.updates.pop_first()).take(MAX_UPDATES);
        due.filter_map(|vm| self.builds.get(&vm).cloned()).collect()
    }

    /// Returns the next `count` announcements in the order of the VMs' names, which repeat without
    /// end, since messages may be lost.
    pub fn next_repeated(&mut self, count: usize) -> Vec<VmBuild> {
        let after = self.repeated.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.builds.range::<VmId, _>((after, Bound::Unbounded));
        let next = rest.chain(&self.builds).map(|it| it.1.clone());
        let next: Vec<VmBuild> = next.take(count.min(self.builds.len())).collect();
        self.repeated = next.last().map(|it| it.vm.clone());
        next
    }

    /// Returns what `vm` runs in this incarnation, or `None` if it has not announced that.
    pub fn build_of(&self, vm: &str, incarnation: u64) -> Option<&VmBuild> {
        self.builds.get(vm).filter(|it| it.incarnation >= incarnation)
    }
}
