//! Customer limits that apply across all VMs.
//!
//! Each customer has one VM as its limit coordinator: the others report their demand to it and
//! receive their shares.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::home::coordinator_of;
use cranberryvalve_coordination::limits::LimitDemand;
use cranberryvalve_coordination::limits::LimitShare;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::VmId;

use crate::node::Node;

/// Interval between checks for due reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Periodically reports the demand of each customer to its coordinator.
pub(super) fn run(node: &Arc<Node>) {
    loop {
        thread::sleep(CHECK_INTERVAL);
        let demands = node.limits().due_reports(Instant::now());
        let alive = node.membership().alive_names();
        let mut by_coordinator = BTreeMap::<VmId, Vec<LimitDemand>>::new();
        for demand in demands {
            if let Some(coordinator) = coordinator_of(&demand.customer, &alive) {
                by_coordinator.entry(coordinator.clone()).or_default().push(demand);
            }
        }
        for (coordinator, demands) in by_coordinator {
            report(node, &coordinator, demands);
        }
    }
}

fn report(node: &Node, coordinator: &VmId, demands: Vec<LimitDemand>) {
    if *coordinator == node.settings.vm {
        let shares = compute_shares(node, coordinator, &demands);
        return apply_shares(node, &shares);
    }
    let (from, to) = {
        let membership = node.membership();
        (membership.local().clone(), membership.address_of(coordinator))
    };
    if let Some(to) = to {
        node.links.send(&to, &PeerMessage::LimitReport { from, demands });
    }
}

/// Handles a report and responds with the shares of the reporting VM.
pub(super) fn on_report(node: &Node, from: &PeerAddress, demands: &[LimitDemand]) {
    let shares = compute_shares(node, &from.vm, demands);
    let own = node.membership().local().clone();
    node.links.send(from, &PeerMessage::LimitShares { from: own, shares });
}

/// Applies shares received from a coordinator.
pub(super) fn apply_shares(node: &Node, shares: &[LimitShare]) {
    let now = Instant::now();
    let mut limits = node.limits();
    shares.iter().for_each(|share| limits.on_share(now, share));
}

/// Returns the shares of `from` in the limits of the customers that this VM coordinates.
fn compute_shares(node: &Node, from: &VmId, demands: &[LimitDemand]) -> Vec<LimitShare> {
    let now = Instant::now();
    let config = node.dispatcher.config();
    let (alive, known) = {
        let membership = node.membership();
        (membership.alive_names(), membership.known_count())
    };
    let fraction = alive.len() as f64 / known as f64;
    let mut coordinator = node.limit_coordinator();
    let shares = demands.iter().filter_map(|demand| {
        let own = coordinator_of(&demand.customer, &alive)?;
        if *own != node.settings.vm {
            return None;
        }
        let customer = config.customer(&demand.customer)?;
        Some(coordinator.on_report(now, from, demand, customer, fraction))
    });
    shares.collect()
}
