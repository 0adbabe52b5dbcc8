//! Exchange of what each VM runs.
//!
//! A VM tells one VM after the other what it runs and what some others run, and forwards what is new
//! to it to its neighbours. An announcement takes a second for each of at most 9 hops among 340 VMs,
//! and 680 s between two VMs whose neighbours all run builds that forward nothing.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cranberryvalve_coordination::builds::BuildLog;
use cranberryvalve_coordination::builds::PROTOCOL_VERSION;
use cranberryvalve_coordination::builds::UNANNOUNCED_PROTOCOL;
use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_coordination::membership::MemberState;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::VmId;
use serde::Serialize;
use slog::info;

use super::Peers;

/// Number of announcements of other VMs that are repeated every second.
const REPEATED_BUILDS: usize = 4;

/// Number of announcements that a VM is sent when it joins. Other VMs send it others.
const BUILDS_FOR_NEW_VM: usize = 64;

/// A living VM, with what it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct MemberBuild {
    vm: VmId,
    /// Name of the build; `None` if the VM has not announced it, as those of older builds.
    build: Option<Arc<str>>,
    protocol_version: u32,
    capabilities: Vec<&'static str>,
}

impl MemberBuild {
    fn new(vm: VmId, build: Option<&VmBuild>) -> Self {
        Self {
            vm,
            build: build.map(|it| it.build.clone()),
            protocol_version: build.map_or(UNANNOUNCED_PROTOCOL, |it| it.protocol_version),
            capabilities: build.map(|it| it.capability_names().collect()).unwrap_or_default(),
        }
    }
}

impl Peers {
    /// Sends announcements: new ones to all neighbours, and some others to one of them.
    pub(super) fn spread_builds(&self, round: usize) {
        let updates = {
            let membership = self.membership();
            let mut log = self.builds();
            log.retain(|vm| membership.is_known(vm));
            log.take_updates()
        };
        if !updates.is_empty() {
            let from = self.own_address();
            self.send_to_neighbours(&PeerMessage::Builds { from, builds: updates });
        }
        if let Some(receiver) = self.receiver_of_repeated(round) {
            self.send_builds_to(&receiver, REPEATED_BUILDS);
        }
    }

    /// Returns the next neighbour and the next of all VMs by turns: all neighbours may run builds that
    /// forward nothing.
    fn receiver_of_repeated(&self, round: usize) -> Option<PeerAddress> {
        let membership = self.membership();
        let receivers = if round.is_multiple_of(2) {
            membership.neighbours()
        } else {
            let own = &membership.local().vm;
            membership.alive_addresses().into_iter().filter(|it| it.vm != *own).collect()
        };
        receivers.get(round / 2 % receivers.len().max(1)).cloned()
    }

    /// Sends announcements to a VM that has joined.
    pub(super) fn send_builds_to_new(&self, receiver: &PeerAddress) {
        self.send_builds_to(receiver, BUILDS_FOR_NEW_VM);
    }

    /// Sends the announcement of this VM and `count` others.
    fn send_builds_to(&self, receiver: &PeerAddress, count: usize) {
        let mut builds = vec![self.own_build()];
        builds.extend(self.builds().next_repeated(count));
        let from = self.own_address();
        self.links.send(receiver, &PeerMessage::Builds { from, builds });
    }

    pub(super) fn handle_builds(&self, builds: Vec<VmBuild>) {
        let added = {
            let membership = self.membership();
            self.builds().merge(builds, |vm| membership.is_known(vm))
        };
        for build in added.iter().filter(|it| it.protocol_version != PROTOCOL_VERSION) {
            info!(self.relay.log, "VM of another protocol version"; "peer" => &*build.vm,
                "peer_build" => &*build.build, "peer_protocol" => build.protocol_version,
                "own_build" => &*self.build, "own_protocol" => PROTOCOL_VERSION);
        }
    }

    /// Returns what each living VM runs, this one included.
    pub(crate) fn member_builds(&self) -> Vec<MemberBuild> {
        let own = self.own_build();
        let members = self.membership().list();
        let builds = self.builds();
        let alive = members.iter().filter(|it| it.state == MemberState::Alive).map(|it| {
            let vm = it.member.vm.clone();
            let build = builds.build_of(&vm, it.incarnation);
            MemberBuild::new(vm, build)
        });
        std::iter::once(MemberBuild::new(own.vm.clone(), Some(&own))).chain(alive).collect()
    }

    /// Returns the number of living VMs by protocol version.
    pub(crate) fn members_by_protocol(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for member in self.member_builds() {
            *counts.entry(member.protocol_version).or_default() += 1;
        }
        counts
    }

    fn own_build(&self) -> VmBuild {
        let membership = self.membership();
        let vm = membership.local().vm.clone();
        VmBuild::of_this_build(vm, membership.incarnation(), self.build.clone())
    }

    /// Locks the announcements; after the membership, where both are needed.
    fn builds(&self) -> MutexGuard<'_, BuildLog> {
        self.builds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
