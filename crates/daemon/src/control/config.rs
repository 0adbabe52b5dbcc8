//! Fetches configurations from the store and from peers, and activates them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::plan::HEAD_KEY;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_coordination::plan::Restoration;
use cranberryvalve_coordination::plan::body_key;
use cranberryvalve_coordination::replica::FetchFrom;
use cranberryvalve_coordination::replica::ReplicaAction;
use cranberryvalve_coordination::replica::ReplicaEvent;
use cranberryvalve_coordination::store::Condition;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_coordination::store::execute;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::Digest;
use cranberryvalve_core::VmId;
use slog::info;
use slog::warn;

use super::heartbeats;
use super::sleep_with_jitter;
use crate::node::Node;

/// Interval between reads of the head row.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the head row periodically.
pub(super) fn poll(node: &Arc<Node>) {
    loop {
        match node.store.read(HEAD_KEY) {
            Ok(snapshot) => {
                let unchanged = snapshot.unchanged();
                let head = snapshot.row.and_then(|it| Head::from_bytes(&it.value));
                handle_replica_event(node, ReplicaEvent::StoreHead { head, unchanged });
                sleep_with_jitter(POLL_INTERVAL);
            }
            Err(error) => {
                warn!(node.log, "cannot read the head row of the configuration";
                    "error" => error.to_string());
                sleep_with_jitter(RETRY_DELAY);
            }
        }
    }
}

/// Passes an event to the replica and performs the resulting actions.
pub(crate) fn handle_replica_event(node: &Node, event: ReplicaEvent) {
    let actions = node.replica().handle(Instant::now(), event);
    for action in actions {
        match action {
            ReplicaAction::Fetch(FetchFrom::Store(digest)) => fetch_from_store(node, &digest),
            ReplicaAction::Fetch(FetchFrom::Peer(vm, version)) => request_from(node, &vm, version),
            ReplicaAction::Activate(document) => activate(node, &document),
            ReplicaAction::Restore { document, condition } => restore(node, &document, condition),
        }
    }
}

fn fetch_from_store(node: &Node, digest: &Digest) {
    let Ok(Some(body)) = node.store.fetch_object(&body_key(digest)) else { return };
    if Digest::of(&body) != *digest {
        warn!(node.log, "a stored configuration does not match its digest"; "digest" => digest.as_str());
        return;
    }
    if let Ok(document) = ConfigDocument::from_bytes(&body) {
        handle_replica_event(node, ReplicaEvent::Document(Arc::new(document)));
    }
}

/// Writes a configuration again that the store has lost.
fn restore(node: &Node, document: &ConfigDocument, condition: Condition) {
    let (restoration, first) = Restoration::new(document, condition);
    let mut result = execute(&node.store, &first);
    while let Some(next) = restoration.on_reply(&result) {
        result = execute(&node.store, &next);
    }
    warn!(node.log, "the store had lost the configuration, it is written again";
        "version" => document.version, "era" => condition.era,
        "result" => format!("{result:?}"));
}

fn request_from(node: &Node, vm: &VmId, version: ConfigVersion) {
    let (from, to) = {
        let membership = node.membership();
        (membership.local().clone(), membership.address_of(vm))
    };
    if let Some(to) = to {
        node.links.send(&to, &PeerMessage::DocumentRequest { from, version });
    }
}

/// Activates a document and announces its version to the neighbours, which fetch the document and
/// announce it in turn.
///
/// The announcement is small, so a neighbour that already has the document costs little.
fn activate(node: &Node, document: &Arc<ConfigDocument>) {
    node.activate_config(document.config.clone());
    metrics::gauge!("cranberryvalve_config_version").set(document.version as f64);
    info!(node.log, "configuration in force"; "version" => document.version, "plan" => &*document.plan);
    heartbeats::announce(node);
}
