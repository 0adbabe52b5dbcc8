//! Writes the claims of live calls again after a restoration of the store.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cranberryvalve_coordination::ledger::RowUpdate;
use cranberryvalve_coordination::store::execute;
use slog::warn;

use crate::node::Node;

/// Interval between checks of the store's era.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Checks the era of the store periodically.
pub(super) fn run(node: &Arc<Node>) {
    let mut known_era = None;
    let mut pending = Vec::new();
    loop {
        thread::sleep(CHECK_INTERVAL);
        let era = node.store.eras().era();
        if known_era.is_some() && era != known_era {
            pending = node.live_calls.updates();
            metrics::counter!("cranberryvalve_store_restorations_total").increment(1);
            warn!(node.log, "store was restored from a copy"; "era" => era,
                "live_calls" => pending.len(),
                "repeat_window_ms" => node.settings.repeat_window.as_millis() as u64);
        }
        known_era = era;
        pending = pending.into_iter().filter_map(|it| try_update(node, it)).collect();
    }
}

/// Writes one row; returns the update if it must be retried.
fn try_update(node: &Node, mut update: RowUpdate) -> Option<RowUpdate> {
    let mut command = update.start();
    while let Some(next) = update.on_reply(&execute(&node.store, &command)) {
        command = next;
    }
    update.is_written().is_none().then_some(update)
}
