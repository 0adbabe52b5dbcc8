//! Heartbeats between VMs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::links::DropReport;
use cranberryvalve_adapters::links::Received;
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
use slog::warn;

use super::builds;
use super::handle_replica_event;
use super::limits;
use crate::node::Node;

/// Interval between heartbeats to a neighbour.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for new pressure, which is reported immediately.
const PRESSURE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between replies to a VM that is not a neighbour.
const MIN_REPLY_INTERVAL: Duration = Duration::from_millis(500);

/// Pools and tiers that are under pressure.
type PressureKeys = BTreeSet<(PoolId, Tier)>;

/// Sends heartbeats at a fixed interval, and immediately when new pressure arises.
pub(super) fn send(node: &Arc<Node>) {
    let mut sent_at = None::<Instant>;
    let mut reported = PressureKeys::new();
    let mut round = 0;
    loop {
        let pressure = node.dispatcher.pressure();
        let keys = pressure_keys(&pressure);
        let is_due = sent_at.is_none_or(|it| it.elapsed() >= HEARTBEAT_INTERVAL);
        if is_due || !keys.is_subset(&reported) {
            round += usize::from(is_due);
            send_round(node, &pressure, is_due.then_some(round));
            if is_due {
                builds::send(node, round);
            }
            reported = keys;
            sent_at = Some(Instant::now());
        }
        thread::sleep(PRESSURE_CHECK_INTERVAL);
    }
}

fn pressure_keys(pressure: &PressureDigest) -> PressureKeys {
    pressure.entries.iter().map(|it| (it.pool.clone(), it.tier)).collect()
}

/// Sends a heartbeat to each neighbour immediately, to announce a new active configuration.
pub(super) fn announce(node: &Node) {
    let neighbours = node.membership().neighbours();
    send_heartbeats(node, &neighbours, &node.dispatcher.pressure());
}

/// Sends a heartbeat to each neighbour.
///
/// A regular round also probes one member that is considered dead.
fn send_round(node: &Node, pressure: &PressureDigest, regular_round: Option<usize>) {
    let receivers = {
        let mut membership = node.membership();
        membership.on_tick(Instant::now());
        let mut receivers = membership.neighbours();
        receivers.extend(regular_round.and_then(|round| membership.probe_target(round)));
        receivers
    };
    send_heartbeats(node, &receivers, pressure);
    for vm in node.links.close_timed_out(&receivers) {
        info!(node.log, "peer link was silent; reconnecting"; "peer" => &*vm);
        metrics::counter!("cranberryvalve_links_redialled_total").increment(1);
    }
    metrics::gauge!("cranberryvalve_members_alive").set(node.membership().alive_count() as f64);
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
        let members = membership.updates_for(&receiver.vm);
        (membership.local().clone(), membership.incarnation(), members)
    };
    let heartbeat_sequence = node.links.next_heartbeat(receiver);
    let heartbeat = Heartbeat {
        from,
        incarnation,
        sequence: heartbeat_sequence.sequence,
        acknowledged: heartbeat_sequence.acknowledged,
        config_version,
        config_fresh,
        pressure,
        members,
    };
    node.links.send(receiver, &PeerMessage::Heartbeat(heartbeat));
}

/// Handles messages from peers until the links are closed.
pub(super) fn receive(node: &Arc<Node>) {
    while let Ok(message) = node.links.receive() {
        match message {
            Received::Message(PeerMessage::Heartbeat(heartbeat)) => on_heartbeat(node, heartbeat),
            Received::Message(PeerMessage::DocumentRequest { from, version }) => {
                send_document(node, &from, version);
            }
            Received::Message(PeerMessage::LimitReport { from, demands }) => {
                limits::on_report(node, &from, &demands);
            }
            Received::Message(PeerMessage::LimitShares { shares, .. }) => {
                limits::apply_shares(node, &shares);
            }
            Received::Message(PeerMessage::Document { body, .. }) => on_document(node, &body),
            Received::Message(PeerMessage::Builds { builds, .. }) => {
                builds::on_builds(node, builds);
            }
            // This daemon gets members from the platform's list, and loads from the upstreams.
            Received::Message(
                PeerMessage::Members { .. }
                | PeerMessage::LoadReport { .. }
                | PeerMessage::LoadRequest { .. }
                | PeerMessage::LoadResponse { .. }
                | PeerMessage::Paces { .. }
                | PeerMessage::Departures { .. }
                | PeerMessage::FeedReport { .. }
                | PeerMessage::FeedRequest { .. }
                | PeerMessage::TableRequest { .. }
                | PeerMessage::TablePart { .. }
                | PeerMessage::PermitRequest { .. }
                | PeerMessage::PermitVerdict { .. }
                | PeerMessage::Suspects { .. }
                | PeerMessage::StreamOrigins { .. }
                | PeerMessage::OriginRequest { .. }
                | PeerMessage::OriginResponse { .. }
                | PeerMessage::ForwardRequest { .. }
                | PeerMessage::ForwardOffer { .. }
                | PeerMessage::ProbeRequest { .. }
                | PeerMessage::ProbeResponse { .. }
                | PeerMessage::Refusals { .. }
                | PeerMessage::Usage { .. }
                | PeerMessage::OriginCopies { .. },
            ) => {}
            Received::Dropped(report) => log_dropped(node, report),
        }
    }
}

fn log_dropped(node: &Node, report: Option<DropReport>) {
    let Some(report) = report else { return };
    warn!(node.log, "message of a peer dropped"; "reason" => report.reason.name(),
        "from" => report.from.map(|it| it.to_string()), "unreported" => report.unreported);
}

fn on_heartbeat(node: &Node, heartbeat: Heartbeat) {
    let now = Instant::now();
    let received = node.membership().on_heartbeat(now, &heartbeat);
    let from = heartbeat.from;
    node.links.on_heartbeat(&from, heartbeat.sequence, heartbeat.acknowledged);
    node.dispatcher.handle(Event::PeerPressure(heartbeat.pressure));
    // The minimum interval prevents an endless exchange between two VMs that are not neighbours.
    if !received.is_neighbour && node.links.is_heartbeat_due(&from, MIN_REPLY_INTERVAL) {
        send_heartbeat(node, &from, node.dispatcher.pressure());
    }
    if heartbeat.config_fresh || heartbeat.config_version > node.replica().version() {
        let event = ReplicaEvent::PeerHead { from: from.vm, version: heartbeat.config_version };
        handle_replica_event(node, event);
    }
}

fn send_document(node: &Node, to: &PeerAddress, version: ConfigVersion) {
    let document = node.replica().document().cloned();
    let Some(document) = document.filter(|it| it.version >= version) else { return };
    let from = node.membership().local().clone();
    node.links.send(to, &PeerMessage::Document { from, body: document.to_bytes() });
}

fn on_document(node: &Node, body: &[u8]) {
    if let Ok(document) = ConfigDocument::from_bytes(body) {
        handle_replica_event(node, ReplicaEvent::Document(Arc::new(document)));
    }
}
