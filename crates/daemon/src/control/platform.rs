//! The platform's lagging list of VMs.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::platform::VmList;
use cranberryvalve_core::UpstreamId;

use super::sleep_about;
use crate::node::Node;

/// Pause between two reads of the list.
const POLL: Duration = Duration::from_secs(2);

/// Pause between two reads while no other VM is known.
const POLL_ALONE: Duration = Duration::from_millis(300);

/// Reads the list again and again.
pub(super) fn poll(node: &Arc<Node>) {
    loop {
        if let Ok(list) = node.platform.vm_list() {
            take_list(node, list);
        }
        let is_alone = node.membership().alive() == 1;
        sleep_about(if is_alone { POLL_ALONE } else { POLL });
    }
}

fn take_list(node: &Node, list: VmList) {
    let now = Instant::now();
    for vm in list.entry_vms {
        node.membership().on_seed(now, vm);
    }
    let upstreams: Vec<(UpstreamId, bool)> =
        list.upstreams.into_iter().map(|it| (it.id, it.leaving)).collect();
    let changes = node.leaving().on_list(list.revision, &upstreams);
    for change in changes {
        node.tell_leaving(change);
    }
}
