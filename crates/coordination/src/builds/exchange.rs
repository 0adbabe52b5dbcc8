//! Exchange of what each VM runs.
//!
//! A VM tells one VM after the other what it runs and what some others run, and forwards what is new
//! to it to its neighbours. An announcement takes a second for each of at most 9 hops among 340 VMs,
//! and 680 s between two VMs whose neighbours all run builds that forward nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberryvalve_core::VmId;
use serde::Serialize;

use super::BuildLog;
use super::UNANNOUNCED_PROTOCOL;
use super::VmBuild;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::peer::PeerAddress;

/// Number of announcements of other VMs that are repeated every second.
pub const REPEATED_BUILDS: usize = 4;

/// Number of announcements that a VM is sent when it joins. Other VMs send it others.
const BUILDS_FOR_NEW_VM: usize = 64;

/// Rounds in which each living VM sends its announcement to each other one twice, for each of them.
const SILENT_ROUNDS_PER_VM: usize = 4;

/// Minimum number of rounds without an announcement until a VM is named, so that a message may be lost
/// among few VMs, or a VM be suspended.
const MIN_SILENT_ROUNDS: usize = 10;

/// A living VM, with what it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct MemberBuild {
    /// Name of the VM.
    pub vm: VmId,
    /// Name of the build; `None` if the VM has not announced it, as those of older builds.
    pub build: Option<Arc<str>>,
    /// Version of the messages between VMs that the VM writes.
    pub protocol_version: u32,
    /// Names of what the VM is able to do.
    pub capabilities: Vec<&'static str>,
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

/// Announcements for one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcements {
    /// The VM to send them to.
    pub receiver: PeerAddress,
    /// What this VM and others run.
    pub builds: Vec<VmBuild>,
}

/// A living VM that has not announced its build.
#[derive(Debug)]
struct Silence {
    incarnation: u64,
    rounds: usize,
    is_named: bool,
}

/// One VM's part in the exchange.
#[derive(Debug)]
pub struct BuildExchange {
    /// Name of the build that this VM runs.
    build: Arc<str>,
    /// What this VM is able to do.
    capabilities: u64,
    log: BuildLog,
    silences: BTreeMap<VmId, Silence>,
}

impl BuildExchange {
    /// Creates the part of a VM that runs `build` and has these capabilities.
    pub fn new(build: Arc<str>, capabilities: u64) -> Self {
        Self { build, capabilities, log: BuildLog::default(), silences: BTreeMap::new() }
    }

    /// Returns the name of the build that this VM runs.
    pub const fn build(&self) -> &Arc<str> {
        &self.build
    }

    /// Returns what to send in this round, of which there is one a second: new announcements to all
    /// neighbours, and some others to one VM.
    pub fn on_round(&mut self, membership: &Membership, round: usize) -> Vec<Announcements> {
        self.log.retain(|vm| membership.is_known(vm));
        let neighbours = membership.neighbours();
        let repeated_to = receiver_of_repeated(membership, &neighbours, round);
        let updates = self.log.take_updates();
        let mut sent = Vec::new();
        if !updates.is_empty() {
            let forwarded = neighbours
                .into_iter()
                .map(|receiver| Announcements { receiver, builds: updates.clone() });
            sent.extend(forwarded);
        }
        if let Some(receiver) = repeated_to {
            let builds = self.with_own_build(membership, REPEATED_BUILDS);
            sent.push(Announcements { receiver, builds });
        }
        sent
    }

    /// Returns living VMs that had the time to announce their build in this incarnation and did not,
    /// each of them once; call it once a round.
    pub fn take_silent(&mut self, membership: &Membership) -> Vec<VmId> {
        let members = membership.list();
        let limit = MIN_SILENT_ROUNDS.max(SILENT_ROUNDS_PER_VM * members.len());
        let mut earlier = std::mem::take(&mut self.silences);
        let mut overdue = Vec::new();
        for it in members.iter().filter(|it| it.state == MemberState::Alive) {
            let (vm, incarnation) = (&it.member.vm, it.incarnation);
            if self.log.build_of(vm, incarnation).is_some() {
                continue;
            }
            let silence = earlier.remove(vm).filter(|it| it.incarnation == incarnation);
            let mut silence =
                silence.unwrap_or(Silence { incarnation, rounds: 0, is_named: false });
            silence.rounds += 1;
            if silence.rounds > limit && !silence.is_named {
                silence.is_named = true;
                overdue.push(vm.clone());
            }
            self.silences.insert(vm.clone(), silence);
        }
        overdue
    }

    /// Returns what to send to a VM that has joined.
    pub fn on_join(&mut self, membership: &Membership) -> Vec<VmBuild> {
        self.with_own_build(membership, BUILDS_FOR_NEW_VM)
    }

    /// Merges announcements of another VM, and returns those that are new.
    pub fn on_builds(&mut self, membership: &Membership, builds: Vec<VmBuild>) -> Vec<VmBuild> {
        self.log.merge(builds, |vm| membership.is_known(vm))
    }

    /// Returns what each living VM runs, this one first.
    pub fn members(&self, membership: &Membership) -> Vec<MemberBuild> {
        let own = self.own_build(membership);
        let members = membership.list();
        let alive = members.iter().filter(|it| it.state == MemberState::Alive).map(|it| {
            let vm = it.member.vm.clone();
            let build = self.log.build_of(&vm, it.incarnation);
            MemberBuild::new(vm, build)
        });
        std::iter::once(MemberBuild::new(own.vm.clone(), Some(&own))).chain(alive).collect()
    }

    /// Returns whether a VM has announced a capability in this incarnation.
    pub fn is_able(&self, vm: &str, incarnation: u64, capability: u64) -> bool {
        let build = self.log.build_of(vm, incarnation);
        build.is_some_and(|it| it.capabilities & capability != 0)
    }

    /// Returns the number of living VMs by protocol version.
    pub fn count_by_protocol(&self, membership: &Membership) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for member in self.members(membership) {
            *counts.entry(member.protocol_version).or_default() += 1;
        }
        counts
    }

    /// Returns the announcement of this VM and the next `count` others.
    fn with_own_build(&mut self, membership: &Membership, count: usize) -> Vec<VmBuild> {
        let mut builds = vec![self.own_build(membership)];
        builds.extend(self.log.next_repeated(count));
        builds
    }

    fn own_build(&self, membership: &Membership) -> VmBuild {
        let vm = membership.local().vm.clone();
        let build = VmBuild::of_this_build(vm, membership.incarnation(), self.build.clone());
        VmBuild { capabilities: self.capabilities, ..build }
    }
}

/// Returns the next neighbour and the next of all VMs by turns: all neighbours may run builds that
/// forward nothing.
fn receiver_of_repeated(
    membership: &Membership,
    neighbours: &[PeerAddress],
    round: usize,
) -> Option<PeerAddress> {
    let turn = round / 2;
    if round.is_multiple_of(2) {
        return neighbours.get(turn % neighbours.len().max(1)).cloned();
    }
    let own = &membership.local().vm;
    let mut others = membership.alive_addresses();
    others.retain(|it| it.vm != *own);
    others.get(turn % others.len().max(1)).cloned()
}
