//! A TCP proxy that injects faults.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::mem::take;
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

/// Interval between two checks whether a silent connection is to be reset.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// Maximum number of connections that fill the queue of a listener with the shortest one.
const MAX_QUEUED: usize = 4;

/// Time after which a connection attempt shows that the queue is full.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

/// One in this many connections and chunks of data is lost on a lossy link: 2 %.
const LOSS_INTERVAL: u64 = 50;

/// Time after which a lost chunk is sent again: the shortest retransmission timeout of Linux.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// Time after which a lost attempt to connect is repeated: the first timeout of Linux.
const RECONNECTION_DELAY: Duration = Duration::from_secs(1);

/// Stack size of a thread that copies data, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// A proxy to one target address that runs until it is dropped.
pub struct Proxy {
    address: SocketAddr,
    listener: TcpListener,
    shared: Arc<Shared>,
}

/// Direction of data on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

struct Shared {
    target: SocketAddr,
    /// Connections with a lower number forward no data.
    stalled_below: AtomicU64,
    /// Connections with a lower number are reset.
    reset_below: AtomicU64,
    next_connection: AtomicU64,
    refusing: AtomicBool,
    delay_ms: AtomicU64,
    /// Rate of each direction; 0 for no limit.
    bytes_per_s: AtomicU64,
    is_lossy: AtomicBool,
    /// Whether data from callers is held up.
    is_one_way: AtomicBool,
    /// Number of chunks of data so far.
    chunks: AtomicU64,
    /// Held while a chunk passes a link with a limited rate, one lock for each direction.
    to_target: Mutex<()>,
    to_caller: Mutex<()>,
    /// Open connections by number.
    connections: Mutex<BTreeMap<u64, (TcpStream, TcpStream)>>,
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
            reset_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(0),
            refusing: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            bytes_per_s: AtomicU64::new(0),
            is_lossy: AtomicBool::new(false),
            is_one_way: AtomicBool::new(false),
            chunks: AtomicU64::new(0),
            to_target: Mutex::default(),
            to_caller: Mutex::default(),
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
        for (caller, target) in take(&mut *lock(&self.shared.connections)).into_values() {
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

    /// Resets all open connections, while new ones are forwarded.
    pub fn reset_open(&self) {
        let next = self.shared.next_connection.load(Ordering::SeqCst);
        for (caller, target) in take(&mut *lock(&self.shared.connections)).into_values() {
            for stream in [caller, target] {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
        // The last handles of the sockets are those of the threads that copy data.
        self.shared.reset_below.store(next, Ordering::SeqCst);
    }

    /// Holds up what callers send, until [`Proxy::heal_quality`].
    pub fn hold_up_callers(&self) {
        self.shared.is_one_way.store(true, Ordering::SeqCst);
    }

    /// Limits each direction to a rate, until [`Proxy::heal_quality`].
    pub fn limit_rate(&self, bytes_per_s: u64) {
        self.shared.bytes_per_s.store(bytes_per_s, Ordering::SeqCst);
    }

    /// Loses 2 % of the data and of the attempts to connect, which arrive with the delay of a
    /// retransmission, until [`Proxy::heal_quality`].
    pub fn lose_packets(&self) {
        self.shared.is_lossy.store(true, Ordering::SeqCst);
    }

    /// Ends [`Proxy::hold_up_callers`], [`Proxy::limit_rate`] and [`Proxy::lose_packets`]. Open
    /// connections go on, with what was held up.
    pub fn heal_quality(&self) {
        self.shared.is_one_way.store(false, Ordering::SeqCst);
        self.shared.bytes_per_s.store(0, Ordering::SeqCst);
        self.shared.is_lossy.store(false, Ordering::SeqCst);
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
        if self.is_lossy.load(Ordering::SeqCst) && number.is_multiple_of(LOSS_INTERVAL) {
            let shared = self.clone();
            let thread = thread::Builder::new().stack_size(STACK_BYTES);
            let _ = thread.spawn(move || {
                thread::sleep(RECONNECTION_DELAY);
                shared.forward(number, caller);
            });
            return;
        }
        self.forward(number, caller);
    }

    fn forward(self: &Arc<Self>, number: u64, caller: TcpStream) {
        let Ok(target) = TcpStream::connect(self.target) else { return };
        for stream in [&caller, &target] {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(RESET_CHECK_INTERVAL));
        }
        let clones = (caller.try_clone(), target.try_clone());
        if let (Ok(caller), Ok(target)) = clones {
            lock(&self.connections).insert(number, (caller, target));
        }
        let clones = (caller.try_clone(), target.try_clone());
        if let (Ok(caller_end), Ok(target_end)) = clones {
            let was_reset = Arc::default();
            let flow = |from, to, direction| Flow {
                shared: self.clone(),
                number,
                from,
                to,
                direction,
                was_reset: Arc::clone(&was_reset),
            };
            flow(caller, target_end, Direction::ToTarget).start();
            flow(target, caller_end, Direction::ToCaller).start();
        }
    }

    /// Waits as long as a chunk of data takes on the link as it is now.
    fn pass_link(&self, length: usize, direction: Direction) {
        thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
        let chunk = self.chunks.fetch_add(1, Ordering::SeqCst);
        if self.is_lossy.load(Ordering::SeqCst) && chunk.is_multiple_of(LOSS_INTERVAL) {
            thread::sleep(RETRANSMISSION_DELAY);
        }
        let bytes_per_s = self.bytes_per_s.load(Ordering::SeqCst);
        if bytes_per_s > 0 {
            let _turn = lock(match direction {
                Direction::ToTarget => &self.to_target,
                Direction::ToCaller => &self.to_caller,
            });
            thread::sleep(Duration::from_secs_f64(length as f64 / bytes_per_s as f64));
        }
        while direction == Direction::ToTarget && self.is_one_way.load(Ordering::SeqCst) {
            thread::sleep(STALL_CHECK_INTERVAL);
        }
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

/// Data of a connection in one direction.
struct Flow {
    shared: Arc<Shared>,
    /// Number of the connection.
    number: u64,
    from: TcpStream,
    to: TcpStream,
    direction: Direction,
    /// Whether either end has reset the connection.
    was_reset: Arc<AtomicBool>,
}

impl Flow {
    /// Starts a thread that copies the data.
    fn start(self) {
        let thread = thread::Builder::new().stack_size(STACK_BYTES);
        let _ = thread.spawn(move || self.run());
    }

    fn run(mut self) {
        let mut bytes = [0; 16 * 1024];
        while let Some(length) = self.read(&mut bytes) {
            if self.shared.wait_while_stalled(self.number) || length == 0 {
                break;
            }
            self.shared.pass_link(length, self.direction);
            if self.shared.wait_while_stalled(self.number)
                || self.to.write_all(&bytes[..length]).is_err()
            {
                break;
            }
        }
        if self.shared.is_stalled(self.number) {
            return;
        }
        for stream in [&self.to, &self.from] {
            let _ = if self.is_reset() {
                SockRef::from(stream).set_linger(Some(Duration::ZERO))
            } else {
                stream.shutdown(Shutdown::Both)
            };
        }
        // A reset is passed on once no handle is left.
        lock(&self.shared.connections).remove(&self.number);
    }

    /// Reads data; `None` if the connection has failed or is to be reset.
    fn read(&mut self, bytes: &mut [u8]) -> Option<usize> {
        loop {
            match self.from.read(bytes) {
                _ if self.is_reset() => return None,
                Ok(length) => return Some(length),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                    self.was_reset.store(true, Ordering::SeqCst);
                    return None;
                }
                Err(_) => return None,
            }
        }
    }

    fn is_reset(&self) -> bool {
        self.was_reset.load(Ordering::SeqCst)
            || self.number < self.shared.reset_below.load(Ordering::SeqCst)
    }
}
