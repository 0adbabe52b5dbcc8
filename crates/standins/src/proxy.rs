//! A TCP proxy that injects faults.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::engine::lock;
use crate::ports::ANY;

/// Pause between two looks at whether a connection is silenced.
const LOOK: Duration = Duration::from_millis(10);

/// Stack of a copying thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// A proxy to one address that runs until it is dropped.
pub struct Proxy {
    address: SocketAddr,
    listener: TcpListener,
    shared: Arc<Shared>,
}

struct Shared {
    target: SocketAddr,
    /// Connections with a lower number carry nothing.
    silent_below: AtomicU64,
    next_connection: AtomicU64,
    refusing: AtomicBool,
    delay_ms: AtomicU64,
    connections: Mutex<Vec<(TcpStream, TcpStream)>>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// Fails when it cannot listen.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            silent_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(0),
            refusing: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let accepting = shared.clone();
        let accepted = listener.try_clone()?;
        thread::spawn(move || {
            while let Ok((caller, _)) = accepted.accept() {
                accepting.connect(caller);
            }
        });
        Ok(Self { address, listener, shared })
    }

    /// Address that it listens at.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all present connections carry nothing for good, without closing them.
    pub fn silence_present(&self) {
        let next = self.shared.next_connection.load(Ordering::SeqCst);
        self.shared.silent_below.store(next, Ordering::SeqCst);
    }

    /// Makes all connections, present and new, carry nothing until [`Proxy::heal`].
    pub fn silence_all(&self) {
        self.shared.silent_below.store(u64::MAX, Ordering::SeqCst);
    }

    /// Cuts all present connections, and refuses new ones until [`Proxy::heal`].
    pub fn cut(&self) {
        self.shared.refusing.store(true, Ordering::SeqCst);
        for (caller, target) in lock(&self.shared.connections).drain(..) {
            let _ = caller.shutdown(Shutdown::Both);
            let _ = target.shutdown(Shutdown::Both);
        }
    }

    /// Delays each piece of data.
    pub fn delay(&self, delay: Duration) {
        self.shared.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Lets new connections through again.
    pub fn heal(&self) {
        let next = self.shared.next_connection.load(Ordering::SeqCst);
        self.shared.silent_below.store(next, Ordering::SeqCst);
        self.shared.refusing.store(false, Ordering::SeqCst);
        self.shared.delay_ms.store(0, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.cut();
        let _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }
}

impl Shared {
    fn connect(self: &Arc<Self>, caller: TcpStream) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        if self.refusing.load(Ordering::SeqCst) {
            return;
        }
        let Ok(target) = TcpStream::connect(self.target) else { return };
        let _ = caller.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let clones = (caller.try_clone(), target.try_clone());
        if let (Ok(caller), Ok(target)) = clones {
            lock(&self.connections).push((caller, target));
        }
        let clones = (caller.try_clone(), target.try_clone());
        if let (Ok(caller_end), Ok(target_end)) = clones {
            self.copy(number, caller, target_end);
            self.copy(number, target, caller_end);
        }
    }

    fn copy(self: &Arc<Self>, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let shared = self.clone();
        let thread = thread::Builder::new().stack_size(STACK_BYTES);
        let _ = thread.spawn(move || {
            let mut bytes = [0; 16 * 1024];
            while let Ok(amount) = from.read(&mut bytes) {
                if shared.wait_while_silent(number) || amount == 0 {
                    break;
                }
                thread::sleep(Duration::from_millis(shared.delay_ms.load(Ordering::SeqCst)));
                if shared.wait_while_silent(number) || to.write_all(&bytes[..amount]).is_err() {
                    break;
                }
            }
            if !shared.is_silent(number) {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            }
        });
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    /// Holds a silenced connection's data back; true when the connection is silenced for good.
    fn wait_while_silent(&self, number: u64) -> bool {
        while self.silent_below.load(Ordering::SeqCst) == u64::MAX {
            thread::sleep(LOOK);
        }
        self.is_silent(number)
    }
}
