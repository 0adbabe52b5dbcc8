//! Exchange of the directory within a failure domain.

use std::time::Instant;

use cranberryvalve_coordination::peer::FeedReport;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::StorePosition;
use cranberryvalve_core::VmId;

use super::Peers;

/// Name of the source in logs and metrics, as that of the feed that watchers read.
const DIRECTORY_SOURCE: &str = "directory";

impl Peers {
    /// Returns the name of this VM and the names of the living VMs of its failure domain, itself
    /// included.
    pub(crate) fn failure_domain_members(&self) -> (VmId, Vec<VmId>) {
        let membership = self.membership();
        let own = membership.local();
        (own.vm.clone(), membership.alive_names_near(&own.failure_domain))
    }

    /// Sends a report to the other VMs of the failure domain.
    pub(crate) fn broadcast_feed_report(&self, report: FeedReport) {
        let (_, vms) = self.failure_domain_members();
        let receivers: Vec<PeerAddress> = {
            let membership = self.membership();
            // This VM has no address in its own list.
            vms.iter().filter_map(|it| membership.address_of(it)).collect()
        };
        let message = PeerMessage::FeedReport { from: self.own_address(), report };
        self.links.broadcast(&receivers, &message);
    }

    pub(super) fn handle_feed_report(&self, from: &PeerAddress, report: FeedReport) {
        if report.reaches_source {
            self.relay.record_source_response(DIRECTORY_SOURCE);
        }
        let directory = &self.relay.shared_directory;
        let known = directory.position();
        let missing = directory.on_report(Instant::now(), &from.vm, report);
        if let Some(recovered_at) = directory.recovered_at() {
            self.relay.poll_interrupts.interrupt_begun_before(recovered_at);
        }
        if let (Some(known), Some(position)) = (known, directory.position())
            && position.era > known.era
        {
            self.relay.record_store_era(position.era);
        }
        if let Some(missing) = missing {
            let request =
                PeerMessage::FeedRequest { from: self.own_address(), position: missing.since };
            self.links.send(from, &request);
        }
    }

    pub(super) fn send_missing_changes(&self, to: &PeerAddress, position: Option<StorePosition>) {
        let directory = &self.relay.shared_directory;
        let Some(delta) = directory.since(position) else { return };
        // A VM that has ceased to read the source must not be counted as a reader.
        let Some(report) = directory.report(Instant::now(), Some(delta)) else { return };
        self.links.send(to, &PeerMessage::FeedReport { from: self.own_address(), report });
    }
}
