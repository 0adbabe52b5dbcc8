//! Exchange of what each VM runs, over the peer links.

use std::collections::BTreeMap;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cranberryvalve_adapters::telemetry::log_other_protocols;
use cranberryvalve_adapters::telemetry::log_silent_vms;
use cranberryvalve_coordination::builds::BuildExchange;
use cranberryvalve_coordination::builds::MemberBuild;
use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_coordination::membership::MemberState;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;

use super::Peers;

impl Peers {
    /// Sends the announcements of a round.
    pub(super) fn spread_builds(&self, round: usize) {
        let (announcements, silent, own_build) = {
            let membership = self.membership();
            let mut exchange = self.builds();
            let announcements = exchange.on_round(&membership, round);
            (announcements, exchange.take_silent(&membership), exchange.build().clone())
        };
        log_silent_vms(&self.relay.log, &own_build, &silent);
        for it in announcements {
            self.send_builds(&it.receiver, it.builds);
        }
    }

    /// Sends announcements to a VM that has joined.
    pub(super) fn send_builds_to_new(&self, receiver: &PeerAddress) {
        let builds = {
            let membership = self.membership();
            self.builds().on_join(&membership)
        };
        self.send_builds(receiver, builds);
    }

    fn send_builds(&self, receiver: &PeerAddress, builds: Vec<VmBuild>) {
        let from = self.own_address();
        self.links.send(receiver, &PeerMessage::Builds { from, builds });
    }

    pub(super) fn handle_builds(&self, builds: Vec<VmBuild>) {
        let (added, own_build) = {
            let membership = self.membership();
            let mut exchange = self.builds();
            (exchange.on_builds(&membership, builds), exchange.build().clone())
        };
        log_other_protocols(&self.relay.log, &own_build, &added);
    }

    /// Returns what each living VM runs, this one included.
    pub(crate) fn member_builds(&self) -> Vec<MemberBuild> {
        let membership = self.membership();
        self.builds().members(&membership)
    }

    /// Returns those of some VMs that live and have announced a capability.
    pub(super) fn able(&self, mut vms: Vec<PeerAddress>, capability: u64) -> Vec<PeerAddress> {
        let membership = self.membership();
        let builds = self.builds();
        let mut members = membership.list();
        members.retain(|it| it.state == MemberState::Alive);
        vms.retain(|vm| {
            let member = members.iter().find(|it| it.member.vm == vm.vm);
            member.is_some_and(|it| builds.is_able(&vm.vm, it.incarnation, capability))
        });
        vms
    }

    /// Returns the number of living VMs by protocol version.
    pub(crate) fn members_by_protocol(&self) -> BTreeMap<u32, usize> {
        let membership = self.membership();
        self.builds().count_by_protocol(&membership)
    }

    /// Locks the exchange; after the membership, where both are needed.
    pub(super) fn builds(&self) -> MutexGuard<'_, BuildExchange> {
        self.builds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
