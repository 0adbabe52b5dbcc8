//! Exchange of routing tables between VMs.
//!
//! Heartbeats announce the version of the active table. A VM that is behind fetches the difference
//! to its own table from one of the VMs that announced a later version; see
//! [`transfer`](cranberryvalve_coordination::transfer).
//!
//! Builds without the capability `empty_customer_lists` take an empty list of customers for an absent one.
//! A table without customers that such a VM sends is read from the store instead.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::builds::EMPTY_CUSTOMER_LISTS_BIT;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::transfer::Fetch;
use cranberryvalve_coordination::transfer::FetchStep;
use cranberryvalve_coordination::transfer::Part;
use cranberryvalve_coordination::transfer::PartRequest;
use cranberryvalve_coordination::transfer::TransferId;
use cranberryvalve_coordination::transfer::part_of;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::stable_hash;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_core::table::TableDelta;
use slog::info;
use slog::warn;

use super::Peers;

/// Number of recent tables that differences can refer to: those of a burst of changes, in which
/// some VMs are a few versions behind.
const KEPT_TABLES: usize = 4;

/// Maximum number of encoded differences that are kept for the receivers of later parts.
const KEPT_DIFFERENCES: usize = 3;

/// A request to send to a peer.
type OutgoingRequest = (PeerAddress, PartRequest);

/// Recent routing tables, and the transfer of the next one.
#[derive(Debug, Default)]
pub(crate) struct TableExchange {
    state: Mutex<State>,
    source_needed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    fetch: Fetch,
    /// Recent tables, the newest first.
    tables: VecDeque<Arc<RoutingTable>>,
    /// Recently sent differences, the newest first.
    differences: VecDeque<Difference>,
    /// Latest version that a VM sent without being able to tell whether it requires keys; 0 if none.
    ambiguous_version: ConfigVersion,
}

#[derive(Debug)]
struct Difference {
    id: TransferId,
    bytes: Vec<u8>,
}

/// Result of a part that arrived.
#[derive(Debug)]
enum Received {
    /// Nothing is to be done.
    Nothing,
    /// Send a request.
    Request(OutgoingRequest),
    /// A table is complete.
    Table { table: Box<RoutingTable>, id: TransferId, size_bytes: usize },
    /// A complete value cannot be used; a request for the whole table follows a difference.
    Unusable { error: String, request: Option<OutgoingRequest> },
}

impl TableExchange {
    /// Records the table that was put in force.
    pub(crate) fn record(&self, table: &Arc<RoutingTable>) {
        let mut state = self.lock();
        state.fetch.record_version(table.version());
        state.tables.push_front(table.clone());
        state.tables.truncate(KEPT_TABLES);
    }

    /// Waits at most `timeout` for a table that this VM has to read from the source. Returns `true` if
    /// there is one.
    pub(crate) fn wait_until_source_needed(&self, timeout: Duration) -> bool {
        let waited =
            self.source_needed.wait_timeout_while(self.lock(), timeout, |it| !it.needs_source());
        waited.unwrap_or_else(PoisonError::into_inner).0.needs_source()
    }

    /// Records that a VM sent this version without being able to tell whether it requires keys.
    fn record_ambiguous(&self, version: ConfigVersion) {
        let mut state = self.lock();
        state.ambiguous_version = state.ambiguous_version.max(version);
        state.fetch.drop_announced(version);
        drop(state);
        self.source_needed.notify_all();
    }

    /// Returns whether this VM has to read this version from the source, unless a VM sends it that is able
    /// to tell whether it requires keys.
    fn is_ambiguous(&self, version: ConfigVersion) -> bool {
        let state = self.lock();
        state.needs_source() && version <= state.ambiguous_version
    }

    fn on_announced(
        &self,
        now: Instant,
        peer: &PeerAddress,
        version: ConfigVersion,
    ) -> Option<OutgoingRequest> {
        self.lock().fetch.on_announced(now, peer, version)
    }

    fn on_tick(&self, now: Instant) -> Option<OutgoingRequest> {
        self.lock().fetch.on_tick(now)
    }

    fn on_part(&self, now: Instant, from: &PeerAddress, part: &Part) -> Received {
        let mut state = self.lock();
        match state.fetch.on_part(now, from, part) {
            FetchStep::Ignored => Received::Nothing,
            FetchStep::Request(to, request) => Received::Request((to, request)),
            FetchStep::Complete { id, bytes } => match state.table_from(&bytes) {
                Ok(table) => {
                    Received::Table { table: Box::new(table), id, size_bytes: bytes.len() }
                }
                Err(error) => {
                    Received::Unusable { error, request: state.fetch.on_unusable(now, id) }
                }
            },
        }
    }

    /// Returns the requested part, or `None` if this VM has no such version.
    fn part(&self, request: &PartRequest) -> Option<Part> {
        let mut state = self.lock();
        let difference = state.difference(request)?;
        // The first part, unless the receiver has parts of this very difference.
        let offset = if request.id == Some(difference.id) { request.offset } else { 0 };
        part_of(difference.id, &difference.bytes, offset)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Difference {
    /// Encodes a difference. Returns `None` if that fails.
    fn new(base: Option<&RoutingTable>, table: &RoutingTable) -> Option<Self> {
        let delta = TableDelta::between(base, table);
        let bytes = postcard::to_stdvec(&delta).ok()?;
        let id = TransferId {
            version: delta.version(),
            base: delta.base_version(),
            checksum: stable_hash(&bytes),
        };
        Some(Self { id, bytes })
    }
}

impl State {
    fn needs_source(&self) -> bool {
        self.ambiguous_version > self.tables.front().map_or(0, |it| it.version())
    }

    fn table(&self, version: ConfigVersion) -> Option<&Arc<RoutingTable>> {
        self.tables.iter().find(|it| it.version() == version)
    }

    /// Returns the difference from the version that a receiver has to the newest one, or the one
    /// that it has received parts of.
    fn difference(&mut self, request: &PartRequest) -> Option<&Difference> {
        let started = request.id.filter(|id| self.differences.iter().any(|it| it.id == *id));
        let table = match started {
            Some(id) => self.table(id.version)?,
            None => self.tables.front().filter(|it| it.version() >= request.version)?,
        };
        let base_version = started.map_or(request.base, |it| it.base);
        let base = base_version.and_then(|it| self.table(it));
        let key = (table.version(), base.map(|it| it.version()));
        let is_known = |it: &Difference| (it.id.version, it.id.base) == key;
        let index = match self.differences.iter().position(is_known) {
            Some(index) => index,
            None => {
                let difference = Difference::new(base.map(|it| &**it), table)?;
                self.differences.push_front(difference);
                self.differences.truncate(KEPT_DIFFERENCES);
                0
            }
        };
        self.differences.get(index)
    }

    /// Decodes a difference and applies it.
    fn table_from(&self, bytes: &[u8]) -> Result<RoutingTable, String> {
        let delta: TableDelta = postcard::from_bytes(bytes).map_err(|error| error.to_string())?;
        let base = delta.base_version().and_then(|it| self.table(it));
        delta.apply(base.map(|it| &**it)).map_err(|error| error.to_string())
    }
}

impl Peers {
    /// Requests the table that a peer announced, unless it is known or being fetched.
    pub(super) fn handle_announced_table(&self, from: &PeerAddress, version: ConfigVersion) {
        if self.relay.tables.is_ambiguous(version) && !self.tells_empty_customer_lists(from) {
            return;
        }
        let request = self.relay.tables.on_announced(Instant::now(), from, version);
        self.send_table_request(request);
    }

    /// Requests a part again that has not arrived.
    pub(super) fn continue_table_fetch(&self) {
        self.send_table_request(self.relay.tables.on_tick(Instant::now()));
    }

    pub(super) fn send_table_part(&self, to: &PeerAddress, request: &PartRequest) {
        let Some(part) = self.relay.tables.part(request) else { return };
        metrics::counter!("cranberryvalve_table_bytes_total", "direction" => "out")
            .increment(part.bytes.len() as u64);
        self.links.send(to, &PeerMessage::TablePart { from: self.own_address(), part });
    }

    pub(super) fn handle_table_part(&self, from: &PeerAddress, part: &Part) {
        metrics::counter!("cranberryvalve_table_bytes_total", "direction" => "in")
            .increment(part.bytes.len() as u64);
        match self.relay.tables.on_part(Instant::now(), from, part) {
            Received::Nothing => {}
            Received::Request(request) => self.send_table_request(Some(request)),
            Received::Table { table, id, size_bytes } => {
                info!(self.relay.log, "routing table received"; "peer" => &*from.vm,
                    "config_version" => id.version, "base_version" => id.base,
                    "bytes" => size_bytes);
                if table.requires_keys() || self.tells_empty_customer_lists(from) {
                    self.relay.activate_table(Arc::new(*table), "peer");
                } else {
                    info!(self.relay.log, "routing table without customers is read from the store";
                        "peer" => &*from.vm, "config_version" => id.version);
                    metrics::counter!("cranberryvalve_tables_ambiguous_total").increment(1);
                    self.relay.tables.record_ambiguous(id.version);
                }
            }
            Received::Unusable { error, request } => {
                warn!(self.relay.log, "received routing table cannot be used";
                    "peer" => &*from.vm, "error" => error);
                self.send_table_request(request);
            }
        }
    }

    /// Returns whether a VM tells an empty list of customers from an absent one.
    fn tells_empty_customer_lists(&self, vm: &PeerAddress) -> bool {
        !self.able(vec![vm.clone()], EMPTY_CUSTOMER_LISTS_BIT).is_empty()
    }

    fn send_table_request(&self, request: Option<OutgoingRequest>) {
        let Some((to, request)) = request else { return };
        let from = self.own_address();
        self.links.send(&to, &PeerMessage::TableRequest { from, request });
    }
}
