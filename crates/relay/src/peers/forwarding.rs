//! Requests to other VMs to forward calls, and offers to do so.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::peer::QuestionId;
use cranberryvalve_core::UpstreamId;
use rand::seq::SliceRandom;

use super::Peers;
use crate::forwarding::accepting;

/// Number of VMs of the same failure domain that are asked at once.
const NEAR_VMS: usize = 2;

/// Number of VMs of other failure domains that are asked at once.
const FAR_VMS: usize = 4;

/// Maximum time in which a probe for another VM is answered: a round trip between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// Maximum time to wait for the answers of other VMs to a request for probes.
const PROBE_QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of upstreams that are probed for another VM at once.
const MAX_PROBED_UPSTREAMS: usize = 8;

impl Peers {
    /// Asks a few other VMs, chosen at random, for offers to forward calls.
    pub(crate) fn request_forwarding(&self) {
        let from = self.own_address();
        for receiver in self.random_others() {
            self.links.send(&receiver, &PeerMessage::ForwardRequest { from: from.clone() });
        }
    }

    /// Asks a few other VMs, chosen at random, which upstreams accept connections from them. Returns
    /// those of the first VM to which one does; empty if none does within [`PROBE_QUERY_TIMEOUT`].
    pub(crate) fn query_accepting(&self, upstreams: &[UpstreamId]) -> Vec<UpstreamId> {
        let receivers = self.random_others();
        if receivers.is_empty() {
            return Vec::new();
        }
        let vms = receivers.iter().map(|it| it.vm.clone()).collect();
        let (from, request_id) = (self.own_address(), self.probe_queries.open(vms));
        for receiver in receivers {
            let (from, upstreams) = (from.clone(), upstreams.to_vec());
            let message = PeerMessage::ProbeRequest { from, request_id, upstreams };
            if !self.links.send(&receiver, &message) {
                self.probe_queries.record_reply(request_id, &receiver.vm, None);
            }
        }
        self.probe_queries.wait(request_id, PROBE_QUERY_TIMEOUT, |it| !it.is_empty())
    }

    /// Probes upstreams for another VM, on a thread of its own.
    pub(super) fn handle_probe_request(
        &self,
        to: PeerAddress,
        request_id: QuestionId,
        upstreams: Vec<UpstreamId>,
    ) {
        let Some(peers) = self.relay.shared_peers() else { return };
        let probe = move || {
            let listed = upstreams.iter().filter_map(|it| peers.relay.dispatcher.upstream(it));
            let listed: Vec<_> = listed.take(MAX_PROBED_UPSTREAMS).collect();
            let accepting = accepting(&listed, PROBE_TIMEOUT, listed.len());
            let from = peers.own_address();
            let message = PeerMessage::ProbeResponse { from, request_id, accepting };
            peers.links.send(&to, &message);
        };
        // Without a thread there is no answer, which the other VM does not depend on.
        let _ = thread::Builder::new().name("probe".to_owned()).spawn(probe);
    }

    /// Returns a few other VMs, chosen at random.
    fn random_others(&self) -> Vec<PeerAddress> {
        let (own, mut others) = {
            let membership = self.membership();
            (membership.local().clone(), membership.alive_addresses())
        };
        others.retain(|it| it.vm != own.vm);
        others.shuffle(&mut rand::rng());
        let (near, far): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|it| it.failure_domain == own.failure_domain);
        near.into_iter().take(NEAR_VMS).chain(far.into_iter().take(FAR_VMS)).collect()
    }

    pub(crate) fn send_forward_offer(&self, to: &PeerAddress, address: SocketAddr) {
        let from = self.own_address();
        self.links.send(to, &PeerMessage::ForwardOffer { from, address });
    }
}
