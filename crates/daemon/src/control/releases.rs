//! Frees ledger rows of calls that were not run.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::store::execute;

use crate::node::Node;

/// Pause between two rounds.
const INTERVAL: Duration = Duration::from_millis(200);

/// Works off the releases that wait, again and again.
pub(super) fn run(node: &Arc<Node>) {
    loop {
        thread::sleep(INTERVAL);
        if node.store.is_closed() {
            continue;
        }
        let waiting = std::mem::take(&mut *node.releases());
        let left: Vec<Release> = waiting.into_iter().filter_map(|it| free(node, it)).collect();
        node.releases().extend(left);
    }
}

/// Frees one row; returns the release when it must be tried again.
fn free(node: &Node, mut release: Release) -> Option<Release> {
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
