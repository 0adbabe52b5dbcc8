//! Heartbeats between VMs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::Heartbeat;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::replica::Freshness;
use cranberryvalve_coordination::replica::ReplicaEvent;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::Tier;
use cranberryvalve_policy::Event;
use slog::info;

use super::handle_replica;
use super::limits;
use crate::node::Node;

/// Pause between two heartbeats to a neighbour.
const INTERVAL: Duration = Duration::from_secs(1);

/// Pause between two looks at whether new pressure must be told at once.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(200);

/// Pause between two replies to a VM that is no neighbour.
const REPLY_PAUSE: Duration = Duration::from_millis(500);

type PressureKeys = BTreeSet<(PoolId, Tier)>;

/// Sends heartbeats at the interval, and at once when new pressure arises.
pub(super) fn send(node: &Arc<Node>) {
    let mut sent_at = None::<Instant>;
    let mut told = PressureKeys::new();
    let mut turn = 0;
    loop {
        let pressure = node.dispatcher.pressure();
        let keys = keys(&pressure);
        let is_due = sent_at.is_none_or(|it| it.elapsed() >= INTERVAL);
        if is_due || !keys.is_subset(&told) {
            turn += 1;
            send_round(node, &pressure, is_due.then_some(turn));
            told = keys;
            sent_at = Some(Instant::now());
        }
        thread::sleep(PRESSURE_INTERVAL);
    }
}

fn keys(pressure: &PressureDigest) -> PressureKeys {
    pressure.entries.iter().map(|it| (it.pool.clone(), it.tier)).collect()
}

/// Sends a heartbeat to each neighbour at once, since a new configuration is in force.
pub(super) fn announce(node: &Node) {
    let neighbours = node.membership().neighbours();
    send_heartbeats(node, &neighbours, &node.dispatcher.pressure());
}

/// Sends one heartbeat to each neighbour, and on regular rounds to one member thought dead.
fn send_round(node: &Node, pressure: &PressureDigest, regular_turn: Option<usize>) {
    let receivers = {
        let mut membership = node.membership();
        membership.on_tick(Instant::now());
        let mut receivers = membership.neighbours();
        receivers.extend(regular_turn.and_then(|turn| membership.probe_target(turn)));
        receivers
    };
    send_heartbeats(node, &receivers, pressure);
    for vm in node.links.close_silent(&receivers) {
        info!(node.log, "link was silent and is dialled anew"; "peer" => &*vm);
        metrics::counter!("cranberryvalve_links_redialled_total").increment(1);
    }
    metrics::gauge!("cranberryvalve_members_alive").set(node.membership().alive() as f64);
}

fn send_heartbeats(node: &Node, receivers: &[PeerAddress], pressure: &PressureDigest) {
    for receiver in receivers {
        send_heartbeat(node, receiver, pressure.clone());
    }
}

fn send_heartbeat(node: &Node, receiver: &PeerAddress, pressure: PressureDigest) {
    let (config_version, config_fresh) = {
        let replica = node.replica();
        let is_fresh = replica.freshness(Instant::now()) == Freshness::Current;
        (replica.version(), is_fresh)
    };
    let (from, incarnation, members) = {
        let mut membership = node.membership();
        let members = membership.news_for(&receiver.vm);
        (membership.own().clone(), membership.incarnation(), members)
    };
    let counters = node.links.next_heartbeat(receiver);
    let heartbeat = Heartbeat {
        from,
        incarnation,
        sequence: counters.sequence,
        acknowledged: counters.received,
        config_version,
        config_fresh,
        pressure,
        members,
    };
    node.links.send(receiver, &PeerMessage::Heartbeat(heartbeat));
}

/// Takes messages from peers until the links are closed.
pub(super) fn receive(node: &Arc<Node>) {
    while let Ok(message) = node.links.receive() {
        match message {
            Some(PeerMessage::Heartbeat(heartbeat)) => on_heartbeat(node, heartbeat),
            Some(PeerMessage::DocumentWanted { from, version }) => {
                send_document(node, &from, version);
            }
            Some(PeerMessage::LimitReport { from, demands }) => {
                limits::on_report(node, &from, &demands);
            }
            Some(PeerMessage::LimitShares { shares, .. }) => limits::take_shares(node, &shares),
            Some(PeerMessage::Document { body, .. }) => on_document(node, &body),
            // This program learns members from the platform's list and loads from the upstreams.
            Some(
                PeerMessage::Members { .. }
                | PeerMessage::LoadReport { .. }
                | PeerMessage::LoadsWanted { .. }
                | PeerMessage::LoadsTold { .. }
                | PeerMessage::Paces { .. },
            ) => {}
            None => {
                metrics::counter!("cranberryvalve_peer_messages_refused_total").increment(1);
            }
        }
    }
}

fn on_heartbeat(node: &Node, heartbeat: Heartbeat) {
    let now = Instant::now();
    let heard = node.membership().on_heartbeat(now, &heartbeat);
    let from = heartbeat.from;
    node.links.on_heartbeat(&from, heartbeat.sequence, heartbeat.acknowledged);
    node.dispatcher.handle(Event::PeerPressure(heartbeat.pressure));
    // The pause keeps two VMs that are no neighbours of each other from answering without end.
    if !heard.is_neighbour && node.links.is_heartbeat_due(&from, REPLY_PAUSE) {
        send_heartbeat(node, &from, node.dispatcher.pressure());
    }
    if heartbeat.config_fresh || heartbeat.config_version > node.replica().version() {
        let event = ReplicaEvent::PeerHead { from: from.vm, version: heartbeat.config_version };
        handle_replica(node, event);
    }
}

fn send_document(node: &Node, to: &PeerAddress, version: ConfigVersion) {
    let document = node.replica().document().cloned();
    let Some(document) = document.filter(|it| it.version >= version) else { return };
    let from = node.membership().own().clone();
    node.links.send(to, &PeerMessage::Document { from, body: document.to_bytes() });
}

fn on_document(node: &Node, body: &[u8]) {
    if let Ok(document) = ConfigDocument::from_bytes(body) {
        handle_replica(node, ReplicaEvent::Document(Arc::new(document)));
    }
}
