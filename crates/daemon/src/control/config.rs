//! The configuration in force, from the store and from peers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::plan::HEAD_KEY;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_coordination::plan::body_key;
use cranberryvalve_coordination::replica::FetchFrom;
use cranberryvalve_coordination::replica::ReplicaAction;
use cranberryvalve_coordination::replica::ReplicaEvent;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::Digest;
use cranberryvalve_core::VmId;
use slog::info;
use slog::warn;

use super::heartbeats;
use super::sleep_about;
use crate::node::Node;

/// Pause between two reads of the head row.
const POLL: Duration = Duration::from_secs(2);

/// Pause after a read that failed.
const POLL_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// Reads the head row again and again.
pub(super) fn poll(node: &Arc<Node>) {
    loop {
        match node.store.read(HEAD_KEY) {
            Ok(row) => {
                let head = row.and_then(|it| Head::from_bytes(&it.value));
                handle_replica(node, ReplicaEvent::StoreHead(head));
                sleep_about(POLL);
            }
            Err(error) => {
                warn!(node.log, "cannot read the configuration's head"; "error" => error.to_string());
                sleep_about(POLL_AFTER_FAILURE);
            }
        }
    }
}

/// Hands an event to the replica and carries out what it asks for.
pub(crate) fn handle_replica(node: &Node, event: ReplicaEvent) {
    let actions = node.replica().handle(Instant::now(), event);
    for action in actions {
        match action {
            ReplicaAction::Fetch(FetchFrom::Store(digest)) => fetch(node, &digest),
            ReplicaAction::Fetch(FetchFrom::Peer(vm, version)) => ask(node, &vm, version),
            ReplicaAction::PutInForce(document) => put_in_force(node, &document),
        }
    }
}

fn fetch(node: &Node, digest: &Digest) {
    let Ok(Some(body)) = node.store.fetch_object(&body_key(digest)) else { return };
    if Digest::of(&body) != *digest {
        warn!(node.log, "a stored configuration does not match its digest"; "digest" => digest.as_str());
        return;
    }
    if let Ok(document) = ConfigDocument::from_bytes(&body) {
        handle_replica(node, ReplicaEvent::Document(Arc::new(document)));
    }
}

fn ask(node: &Node, vm: &VmId, version: ConfigVersion) {
    let (from, to) = {
        let membership = node.membership();
        (membership.own().clone(), membership.address_of(vm))
    };
    if let Some(to) = to {
        node.links.send(&to, &PeerMessage::DocumentWanted { from, version });
    }
}

/// Applies a document and announces it to the neighbours, who ask for it and announce it on.
///
/// The announcement is small; a neighbour that has the document already costs no more than that.
fn put_in_force(node: &Node, document: &Arc<ConfigDocument>) {
    node.put_in_force(document.config.clone());
    metrics::gauge!("cranberryvalve_config_version").set(document.version as f64);
    info!(node.log, "configuration in force"; "version" => document.version, "plan" => &*document.plan);
    heartbeats::announce(node);
}
