//! Customers' limits over all VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::home::home_of;
use cranberryvalve_coordination::limits::LimitDemand;
use cranberryvalve_coordination::limits::LimitShare;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::VmId;

use crate::node::Node;

/// Pause between two looks at which reports are due.
const INTERVAL: Duration = Duration::from_millis(200);

/// Reports to the customers' homes, again and again.
pub(super) fn run(node: &Arc<Node>) {
    loop {
        thread::sleep(INTERVAL);
        let demands = node.limits().reports(Instant::now());
        let alive = node.membership().alive_names();
        let mut by_home = BTreeMap::<VmId, Vec<LimitDemand>>::new();
        for demand in demands {
            if let Some(home) = home_of(&demand.customer, &alive) {
                by_home.entry(home.clone()).or_default().push(demand);
            }
        }
        for (home, demands) in by_home {
            report(node, &home, demands);
        }
    }
}

fn report(node: &Node, home: &VmId, demands: Vec<LimitDemand>) {
    if *home == node.settings.vm {
        let shares = share_out(node, home, &demands);
        return take_shares(node, &shares);
    }
    let (from, to) = {
        let membership = node.membership();
        (membership.own().clone(), membership.address_of(home))
    };
    if let Some(to) = to {
        node.links.send(&to, &PeerMessage::LimitReport { from, demands });
    }
}

/// Answers a report with the reporter's shares.
pub(super) fn on_report(node: &Node, from: &PeerAddress, demands: &[LimitDemand]) {
    let shares = share_out(node, &from.vm, demands);
    let own = node.membership().own().clone();
    node.links.send(from, &PeerMessage::LimitShares { from: own, shares });
}

/// Takes shares from a home.
pub(super) fn take_shares(node: &Node, shares: &[LimitShare]) {
    let now = Instant::now();
    let mut limits = node.limits();
    shares.iter().for_each(|share| limits.on_share(now, share));
}

fn share_out(node: &Node, from: &VmId, demands: &[LimitDemand]) -> Vec<LimitShare> {
    let now = Instant::now();
    let config = node.dispatcher.config();
    let mut home = node.limit_home();
    let shares = demands.iter().filter_map(|demand| {
        let customer = config.customer(&demand.customer)?;
        Some(home.on_report(now, from, demand, customer))
    });
    shares.collect()
}
