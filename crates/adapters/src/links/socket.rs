//! Sockets that carry the messages to one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use nng::PipeEvent;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::ReconnectMaxTime;
use nng::options::ReconnectMinTime;
use nng::options::SendBufferSize;

use super::url;

/// Maximum number of messages queued for a peer.
const SEND_BUFFER_MESSAGES: i32 = 16;

/// Interval between attempts to connect to a peer.
pub(super) const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Socket that sends messages to one peer.
pub trait LinkSocket: Send {
    /// Sends a message without blocking. Returns `false` if it was dropped.
    fn try_send(&self, bytes: &[u8]) -> bool;

    /// Returns whether the connection was lost after it had been made. Nothing is sent any more then.
    fn is_lost(&self) -> bool;

    /// Closes the socket. May block until the library's threads have let go of it.
    fn close(&self);
}

/// Opens the sockets of links.
pub trait Dialer: Send + Sync {
    /// Opens a socket to `address` without waiting for the connection. Returns `None` if there is no
    /// room for another socket.
    fn dial(&self, address: SocketAddr) -> Option<Box<dyn LinkSocket>>;
}

/// Opens `nng` push sockets.
#[derive(Debug, Clone, Copy)]
pub struct NngDialer;

impl Dialer for NngDialer {
    fn dial(&self, address: SocketAddr) -> Option<Box<dyn LinkSocket>> {
        let socket = PushSocket::dial(address).ok()?;
        Some(Box::new(socket))
    }
}

/// An `nng` push socket with one connection.
///
/// `nng` 1.4 may send over a connection that it has freed already, if the peer closes it while
/// messages are on their way. Nothing is sent once the connection was removed, which `nng` reports
/// before it frees it; the lock keeps the two apart.
struct PushSocket {
    socket: Socket,
    is_lost: Arc<Mutex<bool>>,
}

impl PushSocket {
    fn dial(address: SocketAddr) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_INTERVAL))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_INTERVAL))?;
        let is_lost = Arc::new(Mutex::new(false));
        let removed = is_lost.clone();
        socket.pipe_notify(move |pipe, event| match event {
            PipeEvent::RemovePost => *lock(&removed) = true,
            // A second connection would join a list that may still contain the freed one.
            PipeEvent::AddPre if is_set(&removed) => pipe.close(),
            _ => {}
        })?;
        socket.dial_async(&url(address))?;
        Ok(Self { socket, is_lost })
    }
}

fn is_set(is_lost: &Mutex<bool>) -> bool {
    *lock(is_lost)
}

fn lock(is_lost: &Mutex<bool>) -> MutexGuard<'_, bool> {
    is_lost.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LinkSocket for PushSocket {
    fn try_send(&self, bytes: &[u8]) -> bool {
        let is_lost = lock(&self.is_lost);
        !*is_lost && self.socket.try_send(bytes).is_ok()
    }

    fn is_lost(&self) -> bool {
        is_set(&self.is_lost)
    }

    fn close(&self) {
        self.socket.close();
    }
}
