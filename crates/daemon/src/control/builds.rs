//! Exchange of what each VM runs, over the peer links.

use cranberryvalve_adapters::telemetry::log_other_protocols;
use cranberryvalve_adapters::telemetry::record_members;
use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_coordination::peer::PeerMessage;

use crate::node::Node;

/// Sends the announcements of a round.
pub(super) fn send(node: &Node, round: usize) {
    let (from, announcements, by_protocol) = {
        let membership = node.membership();
        let mut exchange = node.builds();
        let announcements = exchange.on_round(&membership, round);
        (membership.local().clone(), announcements, exchange.count_by_protocol(&membership))
    };
    record_members(&by_protocol);
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
