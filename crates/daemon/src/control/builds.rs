//! Exchange of what each VM runs, over the peer links.

use cranberryvalve_adapters::telemetry::log_other_protocols;
use cranberryvalve_adapters::telemetry::log_silent_vms;
use cranberryvalve_adapters::telemetry::record_members;
use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_coordination::peer::PeerMessage;

use crate::node::Node;

/// Sends the announcements of a round.
pub(super) fn send(node: &Node, round: usize) {
    let from = node.membership().local().clone();
    let (announcements, silent, own_build) = {
        let membership = node.membership();
        let mut exchange = node.builds();
        record_members(&exchange.count_by_protocol(&membership));
        let announcements = exchange.on_round(&membership, round);
        (announcements, exchange.take_silent(&membership), exchange.build().clone())
    };
    log_silent_vms(&node.log, &own_build, &silent);
    for it in announcements {
        let message = PeerMessage::Builds { from: from.clone(), builds: it.builds };
        node.links.send(&it.receiver, &message);
    }
}

/// Merges announcements of another VM.
pub(super) fn on_builds(node: &Node, builds: Vec<VmBuild>) {
    let (added, own_build) = {
        let membership = node.membership();
        let mut exchange = node.builds();
        (exchange.on_builds(&membership, builds), exchange.build().clone())
    };
    log_other_protocols(&node.log, &own_build, &added);
}
