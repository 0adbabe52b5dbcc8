//! Releases the ledger rows of calls that were not run.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::store::execute;

use crate::node::Node;

/// Interval between attempts to release the queued rows.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Processes the queued releases periodically.
pub(super) fn run(node: &Arc<Node>) {
    loop {
        thread::sleep(RETRY_INTERVAL);
        if node.store.rejects_calls() {
            continue;
        }
        let queued = std::mem::take(&mut *node.releases());
        let unfinished: Vec<Release> =
            queued.into_iter().filter_map(|it| try_release(node, it)).collect();
        node.releases().extend(unfinished);
    }
}

/// Releases one row; returns the release if it must be retried.
fn try_release(node: &Node, mut release: Release) -> Option<Release> {
    let mut command = release.start();
    loop {
        let reply = execute(&node.store, &command);
        match release.on_reply(&reply) {
            Some(next) => command = next,
            None => break,
        }
    }
    (!release.is_done()).then_some(release)
}
