//! Exchange of state between the VMs: membership, the active routing table and the load on
//! upstreams.
//!
//! Each upstream has a load coordinator: a VM in its failure domain. A VM that sends a long prompt
//! to an upstream reports that to the upstream's coordinator, and before it places the next long
//! prompt it queries the coordinators of the candidate upstreams. Each request therefore costs a
//! few small messages, regardless of the number of VMs, and the load figures are as old as one
//! round trip.

mod builds;
mod contacts;
mod directory;
mod forwarding;
mod gossip;
mod link_key;
mod origins;
mod permits;
mod queries;
mod tables;
mod usage;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::links::Links;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_adapters::telemetry::unix_time_ms;
use cranberryvalve_coordination::builds::ALL_CAPABILITIES;
use cranberryvalve_coordination::builds::BuildExchange;
use cranberryvalve_coordination::contacts::Discovery;
use cranberryvalve_coordination::home::coordinator_of;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::quarantine::SuspectUpdate;
use cranberryvalve_core::Departure;
use cranberryvalve_core::MAX_REFUSAL_RECEIVERS;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamRefusal;
use cranberryvalve_core::VmId;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use rand::seq::SliceRandom;
use slog::info;
use slog::warn;

use self::queries::PendingQueries;
use crate::sources::ContactStore;
use crate::sources::SecretStore;
use crate::state::Relay;

pub(crate) use self::origins::OriginReply;
pub(crate) use self::permits::PermitCoordinator;
pub(crate) use self::tables::TableExchange;

/// Maximum time that a call waits for load replies: a round trip between the failure domains of a
/// region, plus the processing time on two small VMs.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(8);

/// Interval between reports of all load in flight. It is well below the time after which a reported
/// load expires.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of upstreams in one load report.
const MAX_LOADS_PER_REPORT: usize = 64;

/// Maximum number of decode paces in one message. These are 150 bytes, sent to 9 neighbours among
/// 340 VMs every half second.
const MAX_PACES_PER_MESSAGE: usize = 24;

/// Settings for joining the peers.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Name of this VM, unique among its peers.
    pub vm: VmId,
    /// Address at which the peers reach this VM.
    pub address: SocketAddr,
    /// Address at which this VM listens for its peers.
    pub listen_address: SocketAddr,
    /// Failure domain that this VM runs in.
    pub failure_domain: Arc<str>,
    /// Addresses of VMs to contact first; some may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that nothing is in the store yet.
    pub is_first_start: bool,
    /// Name of the build that this VM runs.
    pub build: Arc<str>,
}

/// This VM's connection to its peers.
pub(crate) struct Peers {
    relay: Arc<Relay>,
    links: Links,
    membership: Mutex<Membership>,
    seeds: Vec<SocketAddr>,
    /// How this VM finds others that its seeds do not lead to.
    discovery: Mutex<Discovery>,
    contact_store: Arc<dyn ContactStore>,
    load_queries: PendingQueries<UpstreamLoad>,
    /// Each coordinator replies with one item.
    origin_queries: PendingQueries<Option<StreamOrigin>>,
    probe_queries: PendingQueries<UpstreamId>,
    secret: Arc<dyn SecretStore>,
    /// Key of the peer links, as in the store.
    key: Mutex<Vec<u8>>,
    /// What each VM runs.
    builds: Mutex<BuildExchange>,
}

/// Joins the peers in the background once the key of the peer links can be read. Until then the VM
/// serves calls without peers.
///
/// # Errors
///
/// Returns an error if a thread cannot be spawned.
pub fn join_peers(
    relay: &Arc<Relay>,
    settings: PeerSettings,
    secret: Arc<dyn SecretStore>,
    contacts: Arc<dyn ContactStore>,
) -> io::Result<()> {
    let relay = relay.clone();
    thread::Builder::new().name("join".to_owned()).spawn(move || {
        let key = link_key::load(&relay, &*secret, &settings.vm, settings.is_first_start);
        if let Err(error) = start(&relay, settings, key, secret, contacts) {
            warn!(relay.log, "failed to join the peers; serving without them";
                "error" => error.to_string());
        }
    })?;
    Ok(())
}

fn start(
    relay: &Arc<Relay>,
    settings: PeerSettings,
    key: Vec<u8>,
    secret: Arc<dyn SecretStore>,
    contact_store: Arc<dyn ContactStore>,
) -> io::Result<()> {
    let own_address = PeerAddress {
        vm: settings.vm,
        address: settings.address,
        failure_domain: settings.failure_domain,
    };
    let peers = Arc::new(Peers {
        relay: relay.clone(),
        links: Links::listen(settings.listen_address, SharedKey::new(&key))
            .map_err(io::Error::other)?,
        membership: Mutex::new(Membership::new(own_address, unix_time_ms())),
        seeds: settings.seeds.into_iter().filter(|it| *it != settings.address).collect(),
        discovery: Mutex::new(Discovery::new(Instant::now())),
        contact_store,
        load_queries: PendingQueries::default(),
        origin_queries: PendingQueries::default(),
        probe_queries: PendingQueries::default(),
        secret,
        key: Mutex::new(key),
        builds: Mutex::new(BuildExchange::new(settings.build, ALL_CAPABILITIES)),
    });
    relay.set_peers(peers.clone());
    // The store may have been restored since the key was read.
    if relay.store_era() > 0 {
        peers.check_link_key(relay.store_era());
    }
    info!(relay.log, "joining the peers"; "seeds" => peers.seeds.len());
    let receiver = peers.clone();
    thread::Builder::new().name("peers".to_owned()).spawn(move || receiver.run_receiver())?;
    let finder = peers.clone();
    thread::Builder::new().name("discovery".to_owned()).spawn(move || finder.run_discovery())?;
    let reporter = peers.clone();
    thread::Builder::new().name("reports".to_owned()).spawn(move || reporter.run_load_reports())?;
    thread::Builder::new().name("heartbeats".to_owned()).spawn(move || peers.run_heartbeats())?;
    Ok(())
}

impl Peers {
    /// Returns the load of other VMs on `upstreams`, as far as their load coordinators reply within
    /// [`LOAD_QUERY_TIMEOUT`].
    pub(crate) fn query_loads(&self, upstreams: &[UpstreamRecord]) -> Vec<UpstreamLoad> {
        let by_coordinator =
            self.group_by_coordinator(upstreams.iter().map(|it| (it, it.id.clone())));
        if by_coordinator.is_empty() {
            return Vec::new();
        }
        let vms = by_coordinator.keys().cloned().collect();
        let (request_id, from) = (self.load_queries.open(vms), self.own_address());
        for (coordinator, upstreams) in by_coordinator.into_values() {
            let message = PeerMessage::LoadRequest { from: from.clone(), request_id, upstreams };
            self.links.send(&coordinator, &message);
        }
        self.load_queries.wait(request_id, LOAD_QUERY_TIMEOUT, |_| false)
    }

    /// Reports this VM's load on `upstream` to its load coordinator.
    pub(crate) fn report_load(&self, upstream: &UpstreamRecord) {
        let load = self.relay.dispatcher.load_for_peers(&upstream.id);
        let Some(load) = load else { return };
        self.send_reports(self.group_by_coordinator([(upstream, load)].into_iter()));
    }

    /// Reports all load in flight periodically, since single reports may be lost. Never returns.
    fn run_load_reports(&self) {
        loop {
            thread::sleep(LOAD_REPORT_INTERVAL);
            self.continue_table_fetch();
            self.send_paces();
            self.send_origin_copies();
            let loads = self.relay.dispatcher.loads_for_peers();
            if loads.is_empty() {
                continue;
            }
            let records = self.relay.dispatcher.directory();
            let records: HashMap<&str, &UpstreamRecord> =
                records.iter().map(|it| (&*it.id, it)).collect();
            let known = loads.into_iter().filter_map(|it| Some((*records.get(&*it.upstream)?, it)));
            self.send_reports(self.group_by_coordinator(known.take(MAX_LOADS_PER_REPORT)));
        }
    }

    /// Sends decode paces that are new to this VM to the neighbours.
    fn send_paces(&self) {
        let paces = self.relay.dispatcher.take_pace_updates(MAX_PACES_PER_MESSAGE);
        if paces.is_empty() {
            return;
        }
        let from = self.own_address();
        self.send_to_neighbours(&PeerMessage::Paces { from, paces });
    }

    /// Tells the neighbours of upstreams that are shutting down.
    pub(crate) fn send_departures(&self, departures: &[Departure]) {
        let from = self.own_address();
        let departures = departures.to_vec();
        self.send_to_neighbours(&PeerMessage::Departures { from, departures });
    }

    /// Tells the neighbours of calls that may crash upstreams.
    pub(crate) fn send_suspects(&self, suspects: &[SuspectUpdate]) {
        let from = self.own_address();
        self.send_to_neighbours(&PeerMessage::Suspects { from, suspects: suspects.to_vec() });
    }

    /// Tells the other VMs of refusals: all of them in a small deployment, a random part in a large
    /// one, where each VM seldom sends to the same upstream.
    pub(crate) fn send_refusals(&self, refusals: Vec<UpstreamRefusal>) {
        let from = self.own_address();
        let mut receivers = self.membership().alive_addresses();
        receivers.retain(|it| it.vm != from.vm);
        receivers.shuffle(&mut rand::rng());
        receivers.truncate(MAX_REFUSAL_RECEIVERS);
        self.links.broadcast(&receivers, &PeerMessage::Refusals { from, refusals });
    }

    fn send_to_neighbours(&self, message: &PeerMessage) {
        let neighbours = self.membership().neighbours();
        self.links.broadcast(&neighbours, message);
    }

    fn send_reports(&self, by_coordinator: HashMap<VmId, (PeerAddress, Vec<UpstreamLoad>)>) {
        let from = self.own_address();
        for (coordinator, loads) in by_coordinator.into_values() {
            let message = PeerMessage::LoadReport { from: from.clone(), loads };
            self.links.send(&coordinator, &message);
        }
    }

    /// Groups items by the load coordinator of their upstream. Items whose coordinator is this VM
    /// are skipped.
    fn group_by_coordinator<'a, T>(
        &self,
        items: impl Iterator<Item = (&'a UpstreamRecord, T)>,
    ) -> HashMap<VmId, (PeerAddress, Vec<T>)> {
        let membership = self.membership();
        let own = membership.local().vm.clone();
        let mut alive_by_domain: HashMap<Arc<str>, Vec<VmId>> = HashMap::new();
        let mut by_coordinator: HashMap<VmId, (PeerAddress, Vec<T>)> = HashMap::new();
        for (record, item) in items {
            let domain = &record.failure_domain;
            let vms = alive_by_domain
                .entry(domain.clone())
                .or_insert_with(|| membership.alive_names_near(domain));
            let Some(vm) = coordinator_of(&record.id, vms).filter(|v| **v != own) else { continue };
            let Some(address) = membership.address_of(vm) else { continue };
            by_coordinator.entry(vm.clone()).or_insert_with(|| (address, Vec::new())).1.push(item);
        }
        by_coordinator
    }

    /// Returns the names of all VMs that are alive, including this one.
    pub(crate) fn alive_names(&self) -> Vec<String> {
        self.membership().alive_names().iter().map(ToString::to_string).collect()
    }

    fn own_address(&self) -> PeerAddress {
        self.membership().local().clone()
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
