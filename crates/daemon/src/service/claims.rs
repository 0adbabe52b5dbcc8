//! Claims on calls that may not be repeated.

use std::sync::Arc;

use cranberryvalve_adapters::telemetry::unix_ms;
use cranberryvalve_coordination::ledger::Claim;
use cranberryvalve_coordination::ledger::ClaimStep;
use cranberryvalve_coordination::ledger::RecordedAnswer;
use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::ledger::SentCall;
use cranberryvalve_coordination::store::StoreReply;
use cranberryvalve_coordination::store::execute;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::Digest;

use crate::node::Node;

/// Times that an answer is written to the record.
const RECORD_TRIES: u32 = 2;

/// Releases that may wait for the store, at most.
const MAX_RELEASES: usize = 10_000;

/// Runs a claim on the call named by `customer` and `idempotency_key` to its decision.
pub(super) fn claim(
    node: &Node,
    customer: &CustomerId,
    idempotency_key: &str,
    request: Digest,
) -> ClaimStep {
    let key_digest = Digest::of(idempotency_key.as_bytes());
    let key = format!("ledger/{customer}/{key_digest}");
    let (mut claim, mut command) = Claim::new(key.into(), unique_token(node), request);
    loop {
        let reply = execute(&node.store, &command);
        match claim.on_reply(reply) {
            ClaimStep::Command(next) => command = next,
            decided => return decided,
        }
    }
}

/// Records the answer of a call; true when the store confirmed it.
pub(super) fn record(node: &Node, sent: &SentCall, answer: RecordedAnswer) -> bool {
    let command = sent.record(answer);
    // A write in doubt may have been carried out; writing again under the same condition is safe,
    // and a conflict then tells that it was.
    let mut tries = (0..RECORD_TRIES).map(|_| execute(&node.store, &command));
    tries.any(|reply| matches!(reply, StoreReply::Write(_)))
}

/// Frees the row of a call that was not run, as soon as the store can be reached.
pub(super) fn release(node: &Node, release: Release) {
    let mut releases = node.releases();
    if !release.is_done() && releases.len() < MAX_RELEASES {
        releases.push(release);
    }
}

/// A token that no other claim has, on this VM or another, before or after a restart.
fn unique_token(node: &Node) -> Arc<str> {
    format!("{}-{}-{:032x}", node.settings.vm, unix_ms(), rand::random::<u128>()).into()
}
