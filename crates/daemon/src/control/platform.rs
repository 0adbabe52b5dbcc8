//! Polls the platform's list of VMs and upstreams, which lags behind their actual state.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::platform::VmList;
use cranberryvalve_core::UpstreamId;

use super::sleep_with_jitter;
use crate::node::Node;

/// Interval between reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between reads while no other VM is known.
const POLL_INTERVAL_ALONE: Duration = Duration::from_millis(300);

/// Reads the list periodically.
pub(super) fn poll(node: &Arc<Node>) {
    loop {
        if let Ok(list) = node.platform.vm_list() {
            apply_list(node, list);
        }
        let is_alone = node.membership().alive_count() == 1;
        sleep_with_jitter(if is_alone { POLL_INTERVAL_ALONE } else { POLL_INTERVAL });
    }
}

fn apply_list(node: &Node, list: VmList) {
    let now = Instant::now();
    for vm in list.entry_vms {
        node.membership().add_seed(now, vm);
    }
    let upstreams: Vec<(UpstreamId, bool)> =
        list.upstreams.into_iter().map(|it| (it.id, it.leaving)).collect();
    let changes = node.leaving().on_list(list.revision, &upstreams);
    for change in changes {
        node.on_leaving_change(change);
    }
}
