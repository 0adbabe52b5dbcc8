//! Loopback ports for servers under test.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Ports that are handed out; they lie below the range that the system picks from.
const FIRST: u16 = 10_000;
const COUNT: u16 = 20_000;

/// Ports between the starting points of two processes.
const STRIDE: u32 = 97;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// The loopback address at which the system picks a port.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A loopback address for another process, whose port is free at present and is not handed out again soon.
///
/// # Panics
///
/// Panics when no port is free.
pub fn free_address() -> SocketAddr {
    let start = (std::process::id().wrapping_mul(STRIDE) % u32::from(COUNT)) as u16;
    for _ in 0..COUNT {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start.wrapping_add(offset)) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // Binding would tell more, but a process that is being started from another thread may
        // hold the bound socket for a moment and keep the port from its owner.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("no loopback port is free");
}
