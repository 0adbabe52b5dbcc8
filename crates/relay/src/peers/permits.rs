//! Permits for requests to upstreams that name a rate limit.
//!
//! A VM asks the load coordinator of the upstream, which issues permits for all VMs; see
//! [`permits`](cranberryvalve_coordination::permits).

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use cranberryvalve_coordination::contacts::INITIAL_VM_COUNT;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::permits::PermitIssuer;
use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_policy::scheduler::SchedulerEvent;

use super::Peers;
use crate::state::Relay;

/// Issues permits for the upstreams that this VM coordinates.
#[derive(Debug, Default)]
pub(crate) struct PermitCoordinator {
    issuer: Mutex<PermitIssuer>,
}

impl PermitCoordinator {
    /// Decides on a request and counts the verdict. `fraction` is the part of the limit that this
    /// VM may issue.
    fn decide(&self, request: &PermitRequest, fraction: f64) -> PermitVerdict {
        let mut issuer = self.issuer.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = issuer.decide(Instant::now(), request, fraction);
        drop(issuer);
        let name = match verdict {
            PermitVerdict::Granted(_) => "granted",
            PermitVerdict::NotBefore(_) => "not_before",
            PermitVerdict::Lifted => "lifted",
        };
        metrics::counter!("cranberryvalve_permit_verdicts_total", "verdict" => name).increment(1);
        verdict
    }
}

impl Relay {
    /// Sends the scheduler's requests for permits to the coordinators. Never returns.
    pub(crate) fn run_permits(&self) {
        loop {
            for request in self.dispatcher.wait_for_permit_requests() {
                self.request_permit(request);
            }
        }
    }

    fn request_permit(&self, request: PermitRequest) {
        let Some(peers) = self.peers() else {
            let verdict = self.permits.decide(&request, 1.0 / INITIAL_VM_COUNT as f64);
            self.apply_permit_verdict(request.upstream, request.incarnation, verdict);
            return;
        };
        let Some(record) = self.dispatcher.upstream(&request.upstream) else { return };
        let mut coordinators =
            peers.group_by_coordinator(std::iter::once((&record, ()))).into_values();
        if let Some((coordinator, _)) = coordinators.next() {
            let message = PeerMessage::PermitRequest { from: peers.own_address(), request };
            peers.links.send(&coordinator, &message);
        } else {
            let verdict = self.permits.decide(&request, peers.issued_fraction());
            self.apply_permit_verdict(request.upstream, request.incarnation, verdict);
        }
    }

    pub(super) fn apply_permit_verdict(
        &self,
        upstream: UpstreamId,
        incarnation: u64,
        verdict: PermitVerdict,
    ) {
        let event = SchedulerEvent::PermitDecided { upstream, incarnation, verdict };
        self.dispatcher.handle(event);
    }
}

impl Peers {
    pub(super) fn handle_permit_request(&self, from: &PeerAddress, request: PermitRequest) {
        let verdict = self.relay.permits.decide(&request, self.issued_fraction());
        let PermitRequest { upstream, incarnation, .. } = request;
        let own_address = self.own_address();
        let message =
            PeerMessage::PermitVerdict { from: own_address, upstream, incarnation, verdict };
        self.links.send(from, &message);
    }

    /// Returns the part of a limit that this VM issues as a coordinator. VMs that are partitioned
    /// from this one, or that have not found it yet, have a coordinator of their own, which issues the
    /// rest.
    fn issued_fraction(&self) -> f64 {
        let alive = self.membership().alive_count();
        alive as f64 / self.possible_vm_count() as f64
    }
}
