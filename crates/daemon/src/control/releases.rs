//! Releases the ledger rows of calls that were not run.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::store::execute;

use crate::node::Node;

/// Interval between attempts to release the queued rows.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Carries out releases periodically, and again after a restoration of the store.
pub(super) fn run(node: &Arc<Node>) {
    loop {
        thread::sleep(RETRY_INTERVAL);
        if node.store.rejects_calls() {
            continue;
        }
        let era = node.store.eras().era();
        let due = node.releases().start_round(Instant::now(), era);
        let tried = due.into_iter().map(|it| try_release(node, it)).collect();
        node.releases().end_round(Instant::now(), tried);
    }
}

/// Tries to release one row.
fn try_release(node: &Node, mut release: Release) -> Release {
    let mut command = release.start();
    loop {
        let reply = execute(&node.store, &command);
        match release.on_reply(&reply) {
            Some(next) => command = next,
            None => break,
        }
    }
    release
}
