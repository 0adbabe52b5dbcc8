//! Loopback ports for servers under test.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// First port that is handed out. The range lies below the ephemeral ports of the system.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 20_000;

/// Distance between the first ports of two processes with consecutive process IDs.
const PROCESS_STRIDE: u32 = 97;

/// Offset of the next port from the first port of this process.
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Loopback address with port 0, for which the system picks a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns a loopback address for another process.
///
/// The port is currently free, and this process does not hand it out again soon.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    let process_offset =
        (std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (process_offset.wrapping_add(offset)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // Binding would be a stricter check, but a process that another thread is starting may
        // hold the bound socket for a moment and block the port for its owner.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("no loopback port is free");
}
