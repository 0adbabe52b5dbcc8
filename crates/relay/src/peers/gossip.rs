//! Gossip of heartbeats, members and routing tables between VMs.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::links::DropReport;
use cranberryvalve_adapters::links::Received;
use cranberryvalve_coordination::contacts::INITIAL_VM_COUNT;
use cranberryvalve_coordination::peer::Heartbeat;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::quarantine::SuspectUpdate;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use slog::info;
use slog::warn;

use super::Peers;

/// Interval between heartbeats to a neighbour.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between heartbeats to the seeds while no other VM is known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time between two replies to heartbeats of a VM that is not a neighbour.
const MIN_REPLY_INTERVAL: Duration = Duration::from_millis(500);

impl Peers {
    /// Sends heartbeats periodically. Never returns.
    pub(super) fn run_heartbeats(&self) {
        let mut round = 0;
        loop {
            round += 1;
            self.send_heartbeat_round(round);
            if self.is_minority() {
                self.relay.streams.record_minority();
            }
            self.relay.report_directory(None);
            self.relay.check_long_polls();
            self.relay.check_directory_source();
            self.repeat_suspects(round);
            self.spread_builds(round);
            let is_alone = self.membership().alive_count() == 1;
            thread::sleep(if is_alone { DISCOVERY_INTERVAL } else { HEARTBEAT_INTERVAL });
        }
    }

    /// Sends the evidence against calls that crash upstreams to one neighbour after the other, since
    /// messages may be lost.
    fn repeat_suspects(&self, round: usize) {
        self.relay.crash_guard.tick();
        let neighbours = self.membership().neighbours();
        if let Some(neighbour) = neighbours.get(round % neighbours.len().max(1)) {
            self.send_suspects_to(neighbour, self.relay.crash_guard.repeated_updates());
        }
    }

    fn send_suspects_to(&self, receiver: &PeerAddress, suspects: Vec<SuspectUpdate>) {
        if !suspects.is_empty() {
            let from = self.own_address();
            self.links.send(receiver, &PeerMessage::Suspects { from, suspects });
        }
    }

    /// Sends a heartbeat to each neighbour at once, to announce a new routing table.
    pub(crate) fn announce(&self) {
        let neighbours = self.membership().neighbours();
        neighbours.iter().for_each(|it| self.send_heartbeat(it));
    }

    /// Notifies the neighbours that this VM is shutting down. What it knows of streams is sent first,
    /// since nobody asks a VM that has left.
    pub(crate) fn leave(&self) {
        self.membership().stop();
        self.hand_over_origins();
        self.announce();
    }

    fn send_heartbeat_round(&self, round: usize) {
        let receivers = {
            let mut membership = self.membership();
            membership.on_tick(Instant::now());
            let mut receivers = membership.neighbours();
            receivers.extend(membership.probe_target(round));
            receivers
        };
        receivers.iter().for_each(|it| self.send_heartbeat(it));
        if self.membership().alive_count() == 1 {
            self.seeds.iter().for_each(|it| self.send_heartbeat(&seed_address(*it)));
        }
        // The address may be another VM's by now.
        self.unknown_contacts()
            .iter()
            .for_each(|it| self.send_heartbeat(&seed_address(it.address)));
        for vm in self.links.close_timed_out(&receivers) {
            info!(self.relay.log, "peer link was silent; reconnecting"; "peer" => &*vm);
        }
        self.update_vm_count();
    }

    /// Updates the number of VMs, which includes members believed dead: VMs that are only
    /// partitioned from this one continue to use their share. A VM that knows no other one claims only
    /// a small part.
    fn update_vm_count(&self) {
        let is_alone = self.membership().known_count() == 1;
        let minimum = if is_alone { INITIAL_VM_COUNT } else { 1 };
        let possible = self.possible_vm_count().max(minimum);
        let vm_count = u32::try_from(possible).unwrap_or(u32::MAX);
        self.relay.dispatcher.handle(SchedulerEvent::VmCountChanged(vm_count));
        metrics::gauge!("cranberryvalve_members_known").set(f64::from(vm_count));
    }

    fn send_heartbeat(&self, receiver: &PeerAddress) {
        let (from, incarnation, members) = {
            let mut membership = self.membership();
            let members = membership.updates_for(&receiver.vm);
            (membership.local().clone(), membership.incarnation(), members)
        };
        let heartbeat_sequence = self.links.next_heartbeat(receiver);
        let heartbeat = Heartbeat {
            from,
            incarnation,
            sequence: heartbeat_sequence.sequence,
            acknowledged: heartbeat_sequence.acknowledged,
            config_version: self.config_version(),
            config_fresh: false,
            pressure: PressureDigest::default(),
            members,
        };
        self.links.send(receiver, &PeerMessage::Heartbeat(heartbeat));
    }

    /// Returns the version of the active routing table, or 0 if there is none.
    fn config_version(&self) -> ConfigVersion {
        self.relay.routing_table().map_or(0, |it| it.version())
    }

    /// Handles messages from peers until the links are closed.
    pub(super) fn run_receiver(&self) {
        while let Ok(message) = self.links.receive() {
            match message {
                Received::Message(PeerMessage::Heartbeat(heartbeat)) => {
                    self.handle_heartbeat(heartbeat);
                }
                Received::Message(PeerMessage::Members { members, .. }) => {
                    let now = Instant::now();
                    let mut membership = self.membership();
                    members.iter().for_each(|it| membership.on_update(now, it));
                }
                Received::Message(PeerMessage::LoadReport { from, loads }) => {
                    self.relay.dispatcher.handle(SchedulerEvent::PeerLoads { vm: from.vm, loads });
                }
                Received::Message(PeerMessage::LoadRequest { from, request_id, upstreams }) => {
                    let loads = self.relay.dispatcher.loads_excluding(&from.vm, &upstreams);
                    let own_address = self.own_address();
                    self.links.send(
                        &from,
                        &PeerMessage::LoadResponse { from: own_address, request_id, loads },
                    );
                }
                Received::Message(PeerMessage::LoadResponse { from, request_id, loads }) => {
                    self.load_queries.record_reply(request_id, &from.vm, loads);
                }
                Received::Message(PeerMessage::Paces { paces, .. }) => {
                    self.relay.dispatcher.handle(SchedulerEvent::PeerPaces(paces));
                }
                Received::Message(PeerMessage::FeedReport { from, report }) => {
                    self.handle_feed_report(&from, report);
                }
                Received::Message(PeerMessage::FeedRequest { from, position }) => {
                    self.send_missing_changes(&from, position);
                }
                Received::Message(PeerMessage::Departures { departures, .. }) => {
                    self.relay.handle_peer_departures(departures);
                }
                Received::Message(PeerMessage::TableRequest { from, request }) => {
                    self.send_table_part(&from, &request);
                }
                Received::Message(PeerMessage::TablePart { from, part }) => {
                    self.handle_table_part(&from, &part);
                }
                Received::Message(PeerMessage::PermitRequest { from, request }) => {
                    self.handle_permit_request(&from, request);
                }
                Received::Message(PeerMessage::PermitVerdict {
                    upstream,
                    incarnation,
                    verdict,
                    ..
                }) => {
                    self.relay.apply_permit_verdict(upstream, incarnation, verdict);
                }
                Received::Message(PeerMessage::Suspects { suspects, .. }) => {
                    self.relay.merge_suspects(&suspects);
                }
                Received::Message(PeerMessage::StreamOrigins { streams, .. }) => {
                    self.relay.streams.record_all(streams);
                }
                Received::Message(PeerMessage::OriginCopies { streams, are_told, .. }) => {
                    self.relay.keep_origin_copies(streams, are_told);
                }
                Received::Message(PeerMessage::OriginRequest { from, request_id, stream }) => {
                    self.send_origin(&from, request_id, stream);
                }
                Received::Message(PeerMessage::OriginResponse { from, request_id, origin }) => {
                    self.origin_queries.record_reply(request_id, &from.vm, [origin]);
                }
                Received::Message(PeerMessage::Refusals { refusals, .. }) => {
                    self.relay.dispatcher.handle(SchedulerEvent::PeerRefusals(refusals));
                }
                Received::Message(PeerMessage::ProbeRequest { from, request_id, upstreams }) => {
                    self.handle_probe_request(from, request_id, upstreams);
                }
                Received::Message(PeerMessage::ProbeResponse { from, request_id, accepting }) => {
                    self.probe_queries.record_reply(request_id, &from.vm, accepting);
                }
                Received::Message(PeerMessage::ForwardRequest { from }) => {
                    self.relay.handle_forward_request(&from);
                }
                Received::Message(PeerMessage::ForwardOffer { from, address }) => {
                    self.relay.forwarding.record_offer(from, address);
                }
                Received::Message(PeerMessage::Builds { builds, .. }) => {
                    self.handle_builds(builds);
                }
                Received::Message(PeerMessage::Usage { from, message }) => {
                    self.handle_usage(&from, message);
                }
                // The relay does not enforce limits of customers, and the daemon's documents have
                // another format.
                Received::Message(
                    PeerMessage::LimitReport { .. }
                    | PeerMessage::LimitShares { .. }
                    | PeerMessage::DocumentRequest { .. }
                    | PeerMessage::Document { .. },
                ) => {}
                Received::Dropped(report) => self.log_dropped(report),
            }
        }
    }

    fn log_dropped(&self, report: Option<DropReport>) {
        let Some(report) = report else { return };
        warn!(self.relay.log, "message of a peer dropped"; "reason" => report.reason.name(),
            "from" => report.from.map(|it| it.to_string()), "unreported" => report.unreported);
    }

    fn handle_heartbeat(&self, heartbeat: Heartbeat) {
        let now = Instant::now();
        let sender = self.membership().on_heartbeat(now, &heartbeat);
        let from = heartbeat.from;
        self.links.on_heartbeat(&from, heartbeat.sequence, heartbeat.acknowledged);
        if sender.is_new {
            let own_address = self.own_address();
            let members = self.membership().list();
            self.links.send(&from, &PeerMessage::Members { from: own_address.clone(), members });
            let paces = self.relay.dispatcher.paces();
            self.links.send(&from, &PeerMessage::Paces { from: own_address.clone(), paces });
            let departures = self.relay.dispatcher.departures();
            if !departures.is_empty() {
                self.links.send(&from, &PeerMessage::Departures { from: own_address, departures });
            }
            self.send_suspects_to(&from, self.relay.crash_guard.updates());
            self.send_builds_to_new(&from);
        }
        // The minimum interval prevents two VMs that are not neighbours from replying to each other
        // endlessly.
        if !sender.is_neighbour && self.links.is_heartbeat_due(&from, MIN_REPLY_INTERVAL) {
            self.send_heartbeat(&from);
        }
        self.handle_announced_table(&from, heartbeat.config_version);
    }
}

/// Returns a peer address for a seed, whose name and failure domain are not known yet.
fn seed_address(address: SocketAddr) -> PeerAddress {
    PeerAddress { vm: address.to_string().into(), address, failure_domain: "".into() }
}
