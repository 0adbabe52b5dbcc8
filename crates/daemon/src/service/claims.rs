//! Ledger claims, which ensure that a non-repeatable call runs at most once.

use std::sync::Arc;
use std::time::Instant;

use cranberryvalve_adapters::telemetry::unix_time_ms;
use cranberryvalve_coordination::ledger::Claim;
use cranberryvalve_coordination::ledger::ClaimStep;
use cranberryvalve_coordination::ledger::RecordedResponse;
use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::ledger::SentCall;
use cranberryvalve_coordination::store::execute;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::Digest;
use slog::warn;

use crate::node::Node;

/// Maximum number of attempts to write a response to the ledger.
const MAX_RECORD_ATTEMPTS: u32 = 2;

/// Claims the call identified by `customer` and `idempotency_key`.
///
/// Runs the store commands of the claim until it is decided and returns the final step.
pub(super) fn acquire(
    node: &Node,
    customer: &CustomerId,
    idempotency_key: &str,
    request: Digest,
) -> ClaimStep {
    let key_digest = Digest::of(idempotency_key.as_bytes());
    let key = format!("ledger/{customer}/{key_digest}");
    let settled_era = node.store.eras().settled_era(Instant::now(), node.settings.repeat_window);
    let (mut claim, mut command) = Claim::new(key.into(), unique_token(node), request, settled_era);
    loop {
        let reply = execute(&node.store, &command);
        match claim.on_reply(reply) {
            ClaimStep::Command(next) => command = next,
            final_step => return final_step,
        }
    }
}

/// Records the response of a call in the ledger; returns `true` if the store confirmed the write.
pub(super) fn record(node: &Node, sent: &SentCall, response: RecordedResponse) -> bool {
    let (mut update, first) = sent.record(response);
    let mut command = first;
    for _ in 0..MAX_RECORD_ATTEMPTS {
        while let Some(next) = update.on_reply(&execute(&node.store, &command)) {
            command = next;
        }
        if let Some(is_written) = update.is_written() {
            return is_written;
        }
        // A write without a reply may have been applied, which the next read shows.
        command = update.start();
    }
    false
}

/// Queues the release of the ledger row of a call that was not run.
///
/// The row is released as soon as the store can be reached.
pub(super) fn queue_release(node: &Node, release: Release) {
    if release.is_done() {
        return;
    }
    let key = release.key().to_owned();
    if node.releases().add(release) {
        return;
    }
    metrics::counter!("cranberryvalve_releases_dropped_total").increment(1);
    warn!(node.log, "too many releases wait for the store; a key stays claimed";
        "key" => key);
}

/// Returns a token that no other claim has: on any VM, before or after a restart.
fn unique_token(node: &Node) -> Arc<str> {
    format!("{}-{}-{:032x}", node.settings.vm, unix_time_ms(), rand::random::<u128>()).into()
}
