//! Accepts connections and runs one thread for each.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

use super::connection::CallerRequest;
use super::connection::ReadError;
use super::connection::RequestReader;
use super::response::Responder;

/// Stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Pause of the accepting thread after a failure, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a refused caller is read from, so that it gets its answer.
const LINGER: Duration = Duration::from_millis(500);

/// What one caller may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Connections at the same time.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Time for a request's head.
    pub head_time: Duration,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's body.
    pub body_time: Duration,
    /// Time for which a connection may lie idle between requests.
    pub idle_time: Duration,
    /// Time for which a caller may take no byte of its answer.
    pub write_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 16 * 1024,
            head_time: Duration::from_secs(5),
            body_bytes: 4 * 1024 * 1024,
            body_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(30),
            write_time: Duration::from_secs(10),
        }
    }
}

/// Answers requests.
pub trait CallerHandler: Send + Sync + 'static {
    /// Answers one request; `stream` is the connection, for watching whether the caller is there.
    fn handle(&self, request: CallerRequest, stream: &TcpStream, responder: &mut Responder<'_>);

    /// Reports a request that was refused before it could be handled.
    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>);
}

/// A server that accepts connections until it is closed.
pub struct CallerServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    listener: TcpListener,
}

struct Shared {
    limits: Limits,
    handler: Arc<dyn CallerHandler>,
    closing: AtomicBool,
    closed: AtomicBool,
    connections: AtomicUsize,
    busy: AtomicUsize,
}

impl CallerServer {
    /// Listens at `address` and starts to accept connections.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not this machine's.
    pub fn start(
        address: SocketAddr,
        limits: Limits,
        handler: Arc<dyn CallerHandler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            limits,
            handler,
            closing: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        });
        let accepting = shared.clone();
        let accepted = listener.try_clone()?;
        thread::Builder::new().name("accept".to_owned()).spawn(move || accepting.run(&accepted))?;
        Ok(Self { shared, address, listener })
    }

    /// The address that it listens at.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that are being read or answered.
    pub fn busy(&self) -> usize {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Closes connections after their present request, and goes on to accept new ones.
    pub fn end_keep_alive(&self) {
        self.shared.closing.store(true, Ordering::SeqCst);
    }

    /// Stops to accept connections.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread; an error means that it is closed already.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }
}

impl Shared {
    fn run(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.admit(stream),
                Err(_) if self.closed.load(Ordering::SeqCst) => return,
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        }
    }

    fn admit(self: &Arc<Self>, stream: TcpStream) {
        let guard = ConnectionGuard::new(self.clone());
        let shared = self.clone();
        let thread = thread::Builder::new().name("caller".to_owned()).stack_size(STACK_BYTES);
        // When no thread can be had, the connection is closed by dropping it.
        let _ = thread.spawn(move || {
            let _guard = guard;
            shared.serve(&stream);
        });
    }

    fn serve(&self, stream: &TcpStream) {
        let is_set_up = stream
            .set_nodelay(true)
            .and_then(|()| stream.set_write_timeout(Some(self.limits.write_time)));
        if is_set_up.is_err() {
            return;
        }
        if self.connections.load(Ordering::SeqCst) > self.limits.connections {
            let message = format!("more than {} connections", self.limits.connections);
            self.refuse(stream, 503, &message);
            return;
        }
        let mut reader = RequestReader::new(stream, &self.limits);
        while self.serve_one(stream, &mut reader) {}
    }

    /// Serves one request; false when the connection must be closed.
    fn serve_one(&self, stream: &TcpStream, reader: &mut RequestReader<'_>) -> bool {
        if reader.wait(self.limits.idle_time).is_err() {
            return false;
        }
        let _busy = BusyGuard::new(&self.busy);
        let request = match reader.read() {
            Ok(request) => request,
            Err(ReadError::Gone) => return false,
            Err(ReadError::Refused(status, message)) => {
                self.refuse(stream, status, &message);
                return false;
            }
        };
        let keep_alive = request.head.keep_alive && !self.closing.load(Ordering::SeqCst);
        let mut responder = Responder::new(stream, keep_alive);
        self.handler.handle(request, stream, &mut responder);
        responder.keeps_alive() && (reader.has_input() || !self.closing.load(Ordering::SeqCst))
    }

    fn refuse(&self, stream: &TcpStream, status: u16, message: &str) {
        let mut responder = Responder::new(stream, false);
        self.handler.on_refused(status, message, &mut responder);
        drain(stream);
    }
}

/// Reads what a refused caller still sends, since closing with unread input may discard the
/// answer.
fn drain(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let until = Instant::now() + LINGER;
    let mut bytes = [0; 4_096];
    let _ = stream.set_read_timeout(Some(LINGER));
    let mut stream = stream;
    while Instant::now() < until {
        match io::Read::read(&mut stream, &mut bytes) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

struct ConnectionGuard(Arc<Shared>);

impl ConnectionGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.connections.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

struct BusyGuard<'a>(&'a AtomicUsize);

impl<'a> BusyGuard<'a> {
    fn new(busy: &'a AtomicUsize) -> Self {
        busy.fetch_add(1, Ordering::SeqCst);
        Self(busy)
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
