//! Links between VMs over `nng`.
//!
//! Each VM listens on one pull socket and dials one push socket per peer that it sends to. Sending
//! never blocks: messages to a peer that does not accept them are dropped, and the next heartbeat
//! carries the state again. A link whose peer acknowledges no heartbeats is closed and redialled,
//! since a connection may stay open without ever delivering anything again. Closing may block, so it
//! is left to threads of its own.

mod closer;
mod drops;
mod socket;

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::VmId;
use nng::Message;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvMaxSize;
use nng::options::RemAddr;

use crate::shared_key::MAC_BYTES;
use crate::shared_key::SharedKey;

use closer::Closer;
use socket::RECONNECT_INTERVAL;

pub use drops::DropLog;
pub use drops::DropReason;
pub use drops::DropReport;
pub use socket::Dialer;
pub use socket::LinkSocket;
pub use socket::NngDialer;

/// Time without a new acknowledgement after which a link is closed and redialled.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two checks of the links that is not taken for a pause of this process: the interval of
/// heartbeats and a half.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// The links between this VM and its peers.
pub struct Links {
    listener: Socket,
    key: RwLock<SharedKey>,
    dialer: Box<dyn Dialer>,
    closer: Closer,
    peers: Mutex<HashMap<VmId, Link>>,
    /// When the links were last checked for silence; `None` before that.
    checked_at: Mutex<Option<Instant>>,
    drops: Mutex<DropLog>,
}

/// What arrived from a peer.
#[derive(Debug, Clone, PartialEq)]
pub enum Received {
    /// A message.
    Message(PeerMessage),
    /// Nothing that this build can use, with a report if it is to be logged.
    Dropped(Option<DropReport>),
}

struct Link {
    socket: Box<dyn LinkSocket>,
    dialled_at: Instant,
    address: SocketAddr,
    /// When the peer last acknowledged a new heartbeat, or when the link was dialled.
    acknowledged_at: Instant,
    /// Sequence number of the last heartbeat sent to the peer.
    sent_sequence: u64,
    /// Last sequence number that the peer acknowledged.
    acknowledged_sequence: u64,
    /// Sequence number of the last heartbeat received from the peer.
    received_sequence: u64,
    /// When the last heartbeat was sent; `None` before the first one.
    heartbeat_sent_at: Option<Instant>,
}

/// Sequence numbers that a heartbeat carries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeartbeatSequence {
    /// Sequence number of this heartbeat, starting at 1; 0 if the link could not be opened.
    pub sequence: u64,
    /// Sequence number of the last heartbeat received from the peer; 0 before the first one.
    pub acknowledged: u64,
}

impl Links {
    /// Starts listening for messages on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or does not belong to this machine.
    pub fn listen(address: SocketAddr, key: SharedKey) -> nng::Result<Self> {
        Self::listen_with(address, key, Box::new(NngDialer))
    }

    /// Starts listening like [`Links::listen`], and opens the sockets to peers by `dialer`.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or does not belong to this machine.
    pub fn listen_with(
        address: SocketAddr,
        key: SharedKey,
        dialer: Box<dyn Dialer>,
    ) -> nng::Result<Self> {
        let listener = Socket::new(Protocol::Pull0)?;
        listener.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        listener.listen(&url(address))?;
        let closer = Closer::start().map_err(|_| nng::Error::OutOfMemory)?;
        Ok(Self {
            listener,
            key: RwLock::new(key),
            dialer,
            closer,
            peers: Mutex::default(),
            checked_at: Mutex::default(),
            drops: Mutex::default(),
        })
    }

    /// Waits for the next message. Those that cannot be used are dropped and counted.
    ///
    /// # Errors
    ///
    /// Fails once the links are closed.
    pub fn receive(&self) -> nng::Result<Received> {
        let mut message = self.listener.recv()?;
        metrics::counter!("cranberryvalve_peer_bytes_total", "direction" => "in")
            .increment(message.len() as u64);
        metrics::counter!("cranberryvalve_peer_messages_total", "direction" => "in").increment(1);
        let reason = match decode(message.as_slice(), &self.key()) {
            Ok(message) => return Ok(Received::Message(message)),
            Err(reason) => reason,
        };
        metrics::counter!("cranberryvalve_peer_messages_refused_total", "reason" => reason.name())
            .increment(1);
        let mut drops = self.drops.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(Received::Dropped(drops.record(Instant::now(), reason, sender_of(&mut message))))
    }

    /// Replaces the key that authenticates messages.
    pub fn set_key(&self, key: SharedKey) {
        *self.key.write().unwrap_or_else(PoisonError::into_inner) = key;
    }

    fn key(&self) -> SharedKey {
        self.key.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a message without blocking; returns false if it was dropped.
    pub fn send(&self, to: &PeerAddress, message: &PeerMessage) -> bool {
        let Some(bytes) = encode(message, &self.key()) else { return false };
        self.send_bytes(to, &bytes)
    }

    /// Sends a message to several peers without blocking.
    pub fn broadcast(&self, receivers: &[PeerAddress], message: &PeerMessage) {
        let Some(bytes) = encode(message, &self.key()) else { return };
        for receiver in receivers {
            self.send_bytes(receiver, &bytes);
        }
    }

    fn send_bytes(&self, to: &PeerAddress, bytes: &[u8]) -> bool {
        let size = bytes.len() as u64;
        let mut peers = self.lock();
        let Some(link) = self.open_link(&mut peers, to) else { return false };
        let sent = link.socket.try_send(bytes);
        drop(peers);
        if sent {
            metrics::counter!("cranberryvalve_peer_bytes_total", "direction" => "out")
                .increment(size);
            metrics::counter!("cranberryvalve_peer_messages_total", "direction" => "out")
                .increment(1);
        }
        sent
    }

    /// Starts the next heartbeat to `peer` and returns the sequence numbers that it carries.
    pub fn next_heartbeat(&self, peer: &PeerAddress) -> HeartbeatSequence {
        let mut peers = self.lock();
        let Some(link) = self.open_link(&mut peers, peer) else {
            return HeartbeatSequence::default();
        };
        link.sent_sequence += 1;
        link.heartbeat_sent_at = Some(Instant::now());
        HeartbeatSequence { sequence: link.sent_sequence, acknowledged: link.received_sequence }
    }

    /// Returns whether no heartbeat was sent to `peer` within the last `interval`.
    pub fn is_heartbeat_due(&self, peer: &PeerAddress, interval: Duration) -> bool {
        let peers = self.lock();
        let sent_at = peers.get(&peer.vm).and_then(|it| it.heartbeat_sent_at);
        sent_at.is_none_or(|it| it.elapsed() >= interval)
    }

    /// Records the sequence numbers of a heartbeat from `peer`.
    pub fn on_heartbeat(&self, peer: &PeerAddress, sequence: u64, acknowledged: u64) {
        let mut peers = self.lock();
        let Some(link) = self.open_link(&mut peers, peer) else { return };
        link.received_sequence = sequence;
        if acknowledged != link.acknowledged_sequence {
            link.acknowledged_sequence = acknowledged;
            link.acknowledged_at = Instant::now();
        }
    }

    /// Closes the links without a new acknowledgement for [`ACKNOWLEDGEMENT_TIMEOUT`], and those that
    /// lost their connection; some of them only the next time, if many wait to be closed.
    ///
    /// Returns the peers among `wanted` whose link was closed for its silence. A closed link is
    /// redialled when it is next used.
    ///
    /// Call it every second. A later call finds that this process stood still, and that time is not
    /// taken for a silence of the peers, whose acknowledgements may wait to be received.
    pub fn close_timed_out(&self, wanted: &[PeerAddress]) -> Vec<VmId> {
        let now = Instant::now();
        let pause = self.record_check(now);
        let mut peers = self.lock();
        for link in peers.values_mut() {
            link.acknowledged_at = (link.acknowledged_at + pause).min(now);
        }
        let ended = peers.iter().filter(|(_, it)| it.is_timed_out() || it.socket.is_lost());
        let vms: Vec<VmId> = ended.map(|(vm, _)| vm.clone()).take(self.closer.capacity()).collect();
        let links: Vec<(VmId, Link)> =
            vms.into_iter().filter_map(|vm| peers.remove_entry(&vm)).collect();
        drop(peers);
        let is_reported =
            |(vm, link): &(VmId, Link)| link.is_timed_out() && wanted.iter().any(|it| it.vm == *vm);
        let reported = links.iter().filter(|it| is_reported(it)).map(|it| it.0.clone()).collect();
        links.into_iter().for_each(|(_, it)| self.closer.close(it.socket));
        reported
    }

    /// Records a check of the links. Returns for how long this process stood still before it.
    fn record_check(&self, now: Instant) -> Duration {
        let mut checked_at = self.checked_at.lock().unwrap_or_else(PoisonError::into_inner);
        let last = checked_at.replace(now).unwrap_or(now);
        now.saturating_duration_since(last).saturating_sub(MAX_CHECK_INTERVAL)
    }

    /// Stops listening, so that [`receive`](Self::receive) fails.
    pub fn close(&self) {
        self.listener.close();
    }

    /// Returns the link to `peer`, dialling it first if it is missing or lost, or if the address has
    /// changed.
    fn open_link<'a>(
        &self,
        peers: &'a mut HashMap<VmId, Link>,
        peer: &PeerAddress,
    ) -> Option<&'a mut Link> {
        if peers.get(&peer.vm).is_some_and(|it| it.address != peer.address)
            && let Some(old) = peers.remove(&peer.vm)
        {
            self.closer.close(old.socket);
        }
        if !peers.contains_key(&peer.vm) {
            let link = Link::new(self.dialer.dial(peer.address)?, peer.address);
            peers.insert(peer.vm.clone(), link);
        }
        let link = peers.get_mut(&peer.vm)?;
        if link.socket.is_lost() && link.dialled_at.elapsed() >= RECONNECT_INTERVAL {
            let socket = self.dialer.dial(peer.address)?;
            self.closer.close(std::mem::replace(&mut link.socket, socket));
            link.dialled_at = Instant::now();
        }
        Some(link)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<VmId, Link>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Link {
    fn new(socket: Box<dyn LinkSocket>, address: SocketAddr) -> Self {
        Self {
            socket,
            dialled_at: Instant::now(),
            address,
            acknowledged_at: Instant::now(),
            sent_sequence: 0,
            acknowledged_sequence: 0,
            received_sequence: 0,
            heartbeat_sent_at: None,
        }
    }

    fn is_timed_out(&self) -> bool {
        self.acknowledged_at.elapsed() >= ACKNOWLEDGEMENT_TIMEOUT
    }
}

/// Encodes a message as its authentication code, followed by its `postcard` encoding.
///
/// Returns `None` if the message cannot be encoded.
pub fn encode(message: &PeerMessage, key: &SharedKey) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(message).ok()?;
    let mut bytes = key.mac(&body).to_vec();
    bytes.extend_from_slice(&body);
    Some(bytes)
}

/// Verifies and decodes a message.
///
/// Bytes after the end of the message are ignored and counted: a later build may append fields to
/// the variants that it introduces, and all builds so far ignore such bytes.
///
/// # Errors
///
/// Returns the reason if the message is malformed or not authenticated with `key`.
pub fn decode(bytes: &[u8], key: &SharedKey) -> Result<PeerMessage, DropReason> {
    let (mac, body) = bytes.split_at_checked(MAC_BYTES).ok_or(DropReason::Truncated)?;
    if !key.verify(body, mac) {
        return Err(DropReason::Unauthenticated);
    }
    let (message, rest) = postcard::take_from_bytes(body).map_err(|_| DropReason::Unknown)?;
    if !rest.is_empty() {
        metrics::counter!("cranberryvalve_peer_messages_longer_total").increment(1);
    }
    Ok(message)
}

/// Returns the address that a message came from, or `None` if its connection is closed.
fn sender_of(message: &mut Message) -> Option<IpAddr> {
    match message.pipe()?.get_opt::<RemAddr>().ok()? {
        nng::SocketAddr::Inet(address) => Some((*address.ip()).into()),
        nng::SocketAddr::Inet6(address) => Some((*address.ip()).into()),
        _ => None,
    }
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
