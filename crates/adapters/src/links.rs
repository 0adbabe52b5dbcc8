//! Links between VMs over `nng`.
//!
//! Each VM listens on one pull socket and dials one push socket to each peer that it talks to. A
//! message is sent without waiting: a peer that takes none has its messages dropped, and the next
//! heartbeat carries the state again. A link over which the peer acknowledges nothing is closed
//! and dialled anew, since an open connection may carry nothing for good.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::VmId;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::ReconnectMaxTime;
use nng::options::ReconnectMinTime;
use nng::options::RecvMaxSize;
use nng::options::SendBufferSize;

use crate::shared_key::CODE_BYTES;
use crate::shared_key::SharedKey;

/// Time without acknowledgement after which a link is dialled anew.
pub const SILENT_AFTER: Duration = Duration::from_secs(2);

/// Largest message that is accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Messages that wait for a peer, at most.
const SEND_BUFFER_MESSAGES: i32 = 16;

/// Pause between two attempts to connect to a peer.
const RECONNECT: Duration = Duration::from_millis(200);

/// This VM's end of all links.
pub struct Links {
    listener: Socket,
    key: SharedKey,
    peers: Mutex<HashMap<VmId, Link>>,
}

struct Link {
    socket: Socket,
    address: SocketAddr,
    alive_at: Instant,
    sequence: u64,
    acknowledged: u64,
    received: u64,
    heartbeat_at: Option<Instant>,
}

/// Counters of one link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Number of the next heartbeat.
    pub sequence: u64,
    /// Last number that was received from the peer.
    pub received: u64,
}

impl Links {
    /// Listens at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not this machine's.
    pub fn listen(address: SocketAddr, key: SharedKey) -> nng::Result<Self> {
        let listener = Socket::new(Protocol::Pull0)?;
        listener.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        listener.listen(&url(address))?;
        Ok(Self { listener, key, peers: Mutex::new(HashMap::new()) })
    }

    /// Waits for the next message; none when it is malformed or not from a VM of ours.
    ///
    /// # Errors
    ///
    /// Fails when the links are closed.
    pub fn receive(&self) -> nng::Result<Option<PeerMessage>> {
        let message = self.listener.recv()?;
        metrics::counter!("cranberryvalve_peer_bytes_total", "direction" => "in")
            .increment(message.len() as u64);
        metrics::counter!("cranberryvalve_peer_messages_total", "direction" => "in").increment(1);
        Ok(decode(message.as_slice(), &self.key))
    }

    /// Sends a message without waiting; false when it was dropped.
    pub fn send(&self, to: &PeerAddress, message: &PeerMessage) -> bool {
        let Some(bytes) = encode(message, &self.key) else { return false };
        let size = bytes.len() as u64;
        let mut peers = self.lock();
        let Some(link) = open_link(&mut peers, to) else { return false };
        let sent = link.socket.try_send(bytes.as_slice()).is_ok();
        drop(peers);
        if sent {
            metrics::counter!("cranberryvalve_peer_bytes_total", "direction" => "out")
                .increment(size);
            metrics::counter!("cranberryvalve_peer_messages_total", "direction" => "out")
                .increment(1);
        }
        sent
    }

    /// Counts a heartbeat to `peer` and returns the numbers to put into it.
    pub fn next_heartbeat(&self, peer: &PeerAddress) -> LinkCounters {
        let mut peers = self.lock();
        let Some(link) = open_link(&mut peers, peer) else { return LinkCounters::default() };
        link.sequence += 1;
        link.heartbeat_at = Some(Instant::now());
        LinkCounters { sequence: link.sequence, received: link.received }
    }

    /// Whether no heartbeat was sent to `peer` within `interval`.
    pub fn is_heartbeat_due(&self, peer: &PeerAddress, interval: Duration) -> bool {
        let peers = self.lock();
        let sent_at = peers.get(&peer.vm).and_then(|it| it.heartbeat_at);
        sent_at.is_none_or(|it| it.elapsed() >= interval)
    }

    /// Notes the numbers of a heartbeat from `peer`.
    pub fn on_heartbeat(&self, peer: &PeerAddress, sequence: u64, acknowledged: u64) {
        let mut peers = self.lock();
        let Some(link) = open_link(&mut peers, peer) else { return };
        link.received = sequence;
        if acknowledged != link.acknowledged {
            link.acknowledged = acknowledged;
            link.alive_at = Instant::now();
        }
    }

    /// Closes links that carry nothing, and those to peers that are not among `wanted`.
    ///
    /// The next message dials anew.
    pub fn close_silent(&self, wanted: &[PeerAddress]) -> Vec<VmId> {
        let mut closed = Vec::new();
        self.lock().retain(|vm, link| {
            let is_wanted = wanted.iter().any(|it| it.vm == *vm);
            let is_silent = link.alive_at.elapsed() >= SILENT_AFTER;
            if is_wanted && is_silent {
                closed.push(vm.clone());
            }
            let keep = !is_silent;
            if !keep {
                link.socket.close();
            }
            keep
        });
        closed
    }

    /// Closes all links.
    pub fn close(&self) {
        self.listener.close();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<VmId, Link>> {
        self.peers.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Encodes a message: an authentication code, then the message in `postcard`'s format.
pub fn encode(message: &PeerMessage, key: &SharedKey) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(message).ok()?;
    let mut bytes = key.code(&body).to_vec();
    bytes.extend_from_slice(&body);
    Some(bytes)
}

/// Decodes a message; none when it is malformed or was not encoded with `key`.
pub fn decode(bytes: &[u8], key: &SharedKey) -> Option<PeerMessage> {
    let (code, body) = bytes.split_at_checked(CODE_BYTES)?;
    if !key.verifies(body, code) {
        return None;
    }
    postcard::from_bytes(body).ok()
}

fn open_link<'a>(peers: &'a mut HashMap<VmId, Link>, peer: &PeerAddress) -> Option<&'a mut Link> {
    if peers.get(&peer.vm).is_some_and(|it| it.address != peer.address)
        && let Some(old) = peers.remove(&peer.vm)
    {
        old.socket.close();
    }
    if !peers.contains_key(&peer.vm) {
        let link = dial(peer.address).ok()?;
        peers.insert(peer.vm.clone(), link);
    }
    peers.get_mut(&peer.vm)
}

fn dial(address: SocketAddr) -> nng::Result<Link> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT))?;
    socket.dial_async(&url(address))?;
    Ok(Link {
        socket,
        address,
        alive_at: Instant::now(),
        sequence: 0,
        acknowledged: 0,
        received: 0,
        heartbeat_at: None,
    })
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
