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
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::SockRef;

use crate::engine::lock;
use crate::ports::free_address;

/// Interval between two checks whether connections are still stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// Maximum number of connections that fill the queue of a listener with the shortest one.
const MAX_QUEUED: usize = 4;

/// Time after which a connection attempt shows that the queue is full.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

/// Stack size of a thread that copies data, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// A proxy to one target address that runs until it is dropped.
pub struct Proxy {
    address: SocketAddr,
    listener: TcpListener,
    shared: Arc<Shared>,
}

struct Shared {
    target: SocketAddr,
    /// Connections with a lower number forward no data.
    stalled_below: AtomicU64,
    next_connection: AtomicU64,
    refusing: AtomicBool,
    delay_ms: AtomicU64,
    connections: Mutex<Vec<(TcpStream, TcpStream)>>,
    /// Thread that accepts connections.
    acceptor: Mutex<Option<JoinHandle<()>>>,
    /// Connections that fill the queue of those that wait to be accepted.
    queued: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy cannot listen.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(free_address())?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            stalled_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(0),
            refusing: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            connections: Mutex::default(),
            acceptor: Mutex::default(),
            queued: Mutex::default(),
        });
        shared.accept_from(&listener)?;
        Ok(Self { address, listener, shared })
    }

    /// Returns the address that the proxy listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Permanently stops forwarding on all open connections, without closing them.
    pub fn stall_open_connections(&self) {
        let next = self.shared.next_connection.load(Ordering::SeqCst);
        self.shared.stalled_below.store(next, Ordering::SeqCst);
    }

    /// Stops forwarding on all open and new connections until [`Proxy::heal`].
    pub fn stall_all(&self) {
        self.shared.stalled_below.store(u64::MAX, Ordering::SeqCst);
    }

    /// Closes all open connections, and closes new ones at once until [`Proxy::heal`].
    pub fn cut(&self) {
        self.shared.refusing.store(true, Ordering::SeqCst);
        for (caller, target) in lock(&self.shared.connections).drain(..) {
            let _ = caller.shutdown(Shutdown::Both);
            let _ = target.shutdown(Shutdown::Both);
        }
    }

    /// Drops what is sent on open connections and all attempts to connect, as a partition does, until
    /// [`Proxy::heal_links`].
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot listen.
    pub fn drop_packets(&self) -> io::Result<()> {
        self.stall_all();
        self.refuse_new();
        // With a full queue of connections that nobody accepts, the system drops further ones.
        SockRef::from(&self.listener).listen(0)?;
        let mut queued = lock(&self.shared.queued);
        while queued.len() < MAX_QUEUED {
            match TcpStream::connect_timeout(&self.address, QUEUE_TIMEOUT) {
                Ok(stream) => queued.push(stream),
                Err(_) => break,
            }
        }
        Ok(())
    }

    /// Refuses new connections while the open ones go on, until [`Proxy::heal_links`].
    pub fn refuse_new(&self) {
        // A socket that is shut down twice passes that on to the connections that it accepts later.
        if self.is_open() {
            let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
            // The thread would go on if the socket listened again before it noticed.
            if let Some(acceptor) = lock(&self.shared.acceptor).take() {
                let _ = acceptor.join();
            }
        }
    }

    /// Ends [`Proxy::drop_packets`], [`Proxy::refuse_new`] and [`Proxy::close`]. Open connections go
    /// on, with what was held up.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot listen.
    pub fn heal_links(&self) -> io::Result<()> {
        self.refuse_new();
        lock(&self.shared.queued).clear();
        self.shared.stalled_below.store(0, Ordering::SeqCst);
        self.open()
    }

    /// Closes all open connections and stops listening, as a process does that ends, until
    /// [`Proxy::open`].
    pub fn close(&self) {
        self.refuse_new();
        self.cut();
    }

    /// Listens again at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot listen.
    pub fn open(&self) -> io::Result<()> {
        // The socket keeps its port while it does not listen.
        SockRef::from(&self.listener).listen(BACKLOG)?;
        self.shared.refusing.store(false, Ordering::SeqCst);
        self.shared.accept_from(&self.listener)
    }

    /// Returns `true` if the proxy listens.
    pub fn is_open(&self) -> bool {
        SockRef::from(&self.listener).is_listener().unwrap_or(false)
    }

    /// Delays each chunk of data by `delay`, in both directions.
    pub fn delay(&self, delay: Duration) {
        self.shared.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Ends all faults for new connections.
    ///
    /// Connections that are open now forward no more data.
    pub fn heal(&self) {
        let next = self.shared.next_connection.load(Ordering::SeqCst);
        self.shared.stalled_below.store(next, Ordering::SeqCst);
        self.shared.refusing.store(false, Ordering::SeqCst);
        self.shared.delay_ms.store(0, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.close();
    }
}

impl Shared {
    /// Starts a thread that accepts connections until the listener is shut down.
    fn accept_from(self: &Arc<Self>, listener: &TcpListener) -> io::Result<()> {
        let (shared, listener) = (self.clone(), listener.try_clone()?);
        let acceptor = thread::spawn(move || {
            while let Ok((caller, _)) = listener.accept() {
                shared.connect(caller);
            }
        });
        *lock(&self.acceptor) = Some(acceptor);
        Ok(())
    }

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

    /// Starts a thread that copies data in one direction.
    fn copy(self: &Arc<Self>, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let shared = self.clone();
        let thread = thread::Builder::new().stack_size(STACK_BYTES);
        let _ = thread.spawn(move || {
            let mut bytes = [0; 16 * 1024];
            while let Ok(length) = from.read(&mut bytes) {
                if shared.wait_while_stalled(number) || length == 0 {
                    break;
                }
                thread::sleep(Duration::from_millis(shared.delay_ms.load(Ordering::SeqCst)));
                if shared.wait_while_stalled(number) || to.write_all(&bytes[..length]).is_err() {
                    break;
                }
            }
            if !shared.is_stalled(number) {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            }
        });
    }

    fn is_stalled(&self, number: u64) -> bool {
        number < self.stalled_below.load(Ordering::SeqCst)
    }

    /// Waits while all connections are stalled. Returns `true` if this one is stalled permanently.
    fn wait_while_stalled(&self, number: u64) -> bool {
        while self.stalled_below.load(Ordering::SeqCst) == u64::MAX {
            thread::sleep(STALL_CHECK_INTERVAL);
        }
        self.is_stalled(number)
    }
}
