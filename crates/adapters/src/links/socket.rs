//! Sockets that carry the messages to one peer.

use std::net::SocketAddr;
use std::time::Duration;

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
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Socket that sends messages to one peer.
pub trait LinkSocket: Send {
    /// Sends a message without blocking. Returns `false` if it was dropped.
    fn try_send(&self, bytes: &[u8]) -> bool;

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
        let socket = dial(address).ok()?;
        Some(Box::new(socket))
    }
}

fn dial(address: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_INTERVAL))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_INTERVAL))?;
    socket.dial_async(&url(address))?;
    Ok(socket)
}

impl LinkSocket for Socket {
    fn try_send(&self, bytes: &[u8]) -> bool {
        Self::try_send(self, bytes).is_ok()
    }

    fn close(&self) {
        Self::close(self);
    }
}
