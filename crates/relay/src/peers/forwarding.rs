//! Requests to other VMs to forward calls, and offers to do so.

use std::net::SocketAddr;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use rand::seq::SliceRandom;

use super::Peers;

/// Number of VMs of the same failure domain that are asked at once.
const NEAR_VMS: usize = 2;

/// Number of VMs of other failure domains that are asked at once.
const FAR_VMS: usize = 4;

impl Peers {
    /// Asks a few other VMs, chosen at random, for offers to forward calls.
    pub(crate) fn request_forwarding(&self) {
        let (own, mut others) = {
            let membership = self.membership();
            (membership.local().clone(), membership.alive_addresses())
        };
        others.retain(|it| it.vm != own.vm);
        others.shuffle(&mut rand::rng());
        let (near, far): (Vec<_>, Vec<_>) =
            others.iter().partition(|it| it.failure_domain == own.failure_domain);
        for receiver in near.iter().take(NEAR_VMS).chain(far.iter().take(FAR_VMS)) {
            self.links.send(receiver, &PeerMessage::ForwardRequest { from: own.clone() });
        }
    }

    pub(super) fn handle_forward_request(&self, from: &PeerAddress) {
        self.relay.handle_forward_request(from);
    }

    pub(crate) fn send_forward_offer(&self, to: &PeerAddress, address: SocketAddr) {
        let from = self.own_address();
        self.links.send(to, &PeerMessage::ForwardOffer { from, address });
    }
}
