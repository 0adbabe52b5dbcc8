//! Loopback ports for servers under test.

use std::collections::VecDeque;
use std::env;
use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::PoisonError;
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

/// Name of the folder, in the one for temporary files, of the files that are locked for ports in use.
const LEASE_FOLDER: &str = "cranberryvalve-ports";

/// Maximum number of leases that a process keeps, each with an open file: more than the processes have
/// ports that run at the same time in a test.
const MAX_LEASES: usize = 400;

/// Leases of the ports that this process has handed out last.
static LEASES: Mutex<VecDeque<PortLease>> = Mutex::new(VecDeque::new());

/// Loopback address with port 0, for which the system picks a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Right of a process to hand out a port, which other test programs do not hand out meanwhile; ends
/// when it is dropped.
#[derive(Debug)]
pub struct PortLease {
    /// Locked as long as it is open.
    _file: File,
}

impl PortLease {
    /// Takes the lease of a port. Returns `None` if it is taken.
    pub fn take(port: u16) -> Option<Self> {
        let folder = env::temp_dir().join(LEASE_FOLDER);
        fs::create_dir_all(&folder).ok()?;
        let file = File::create(folder.join(port.to_string())).ok()?;
        file.try_lock().ok().map(|()| Self { _file: file })
    }
}

/// Returns a loopback address for another process.
///
/// The port is currently free, and no test program hands it out again for a long time while this process
/// runs, also if the process at the address stops for a while.
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
        let Some(lease) = PortLease::take(port) else { continue };
        if TcpStream::connect(address).is_err() {
            let mut leases = LEASES.lock().unwrap_or_else(PoisonError::into_inner);
            leases.push_front(lease);
            leases.truncate(MAX_LEASES);
            return address;
        }
    }
    panic!("no loopback port is free");
}
