//! Accepts connections and serves each on its own thread.

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

use super::request::CallerRequest;
use super::request::ReadError;
use super::request::RequestReader;
use super::response::Responder;
use super::work::WorkInProgress;

/// Stack size of a connection's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Delay before accepting again after a failure, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum time for which input of a refused caller is read, so that it receives its response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Message to a caller whose request was not read before the server stopped.
const STOPPING: &str = "this VM stops";

/// Limits of a [`CallerServer`] and of each of its connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections; a further one is refused with status 503.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum time for reading a request head.
    pub head_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for reading a request body.
    pub body_timeout: Duration,
    /// Maximum time without a request before a connection is closed.
    pub idle_timeout: Duration,
    /// Maximum time for which a write may block because the caller reads nothing.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(5),
            max_body_bytes: 4 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Handles the requests of a [`CallerServer`].
pub trait CallerHandler: Send + Sync + 'static {
    /// Handles one request; `stream` is the connection, for detecting that the caller disconnects.
    fn handle(&self, request: CallerRequest, stream: &TcpStream, responder: &mut Responder<'_>);

    /// Responds to a request that was refused before it could be handled.
    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>);
}

/// HTTP server that accepts connections until it is closed.
pub struct CallerServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    listener: TcpListener,
}

struct Shared {
    limits: ServerLimits,
    handler: Arc<dyn CallerHandler>,
    closing: AtomicBool,
    closed: AtomicBool,
    open_connections: AtomicUsize,
    active_requests: AtomicUsize,
    work: WorkInProgress,
}

impl CallerServer {
    /// Starts listening on `address` and accepting connections.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or does not belong to this machine, or if the accepting
    /// thread cannot be started.
    pub fn start(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<dyn CallerHandler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            limits,
            handler,
            closing: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            open_connections: AtomicUsize::new(0),
            active_requests: AtomicUsize::new(0),
            work: WorkInProgress::default(),
        });
        let (accepting, thread_guard) = (shared.clone(), shared.work.threads.begin());
        let accepted = listener.try_clone()?;
        thread::Builder::new().name("accept".to_owned()).spawn(move || {
            accepting.run(&accepted);
            drop(thread_guard);
        })?;
        Ok(Self { shared, address, listener })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that are being read or handled.
    pub fn active_requests(&self) -> usize {
        self.shared.active_requests.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::SeqCst)
    }

    /// Closes connections after their current request, but still accepts new ones.
    pub fn disable_keep_alive(&self) {
        self.shared.closing.store(true, Ordering::SeqCst);
    }

    /// Stops accepting connections.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread; an error means that the listener is already closed.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }

    /// Closes the connections on which no byte of a request has arrived.
    pub fn end_waits(&self) {
        self.shared.work.end_waits();
    }

    /// Closes these connections, and refuses the requests of which only a part has arrived.
    pub fn end_input(&self) {
        self.shared.work.end_input();
    }

    /// Waits until no thread accepts or serves a connection, but not longer than until `deadline`.
    ///
    /// Returns whether there is none. Call [`CallerServer::close`] first.
    pub fn wait_for_end(&self, deadline: Instant) -> bool {
        self.shared.work.threads.wait_for_end(deadline)
    }
}

impl Shared {
    fn run(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(_) if self.closed.load(Ordering::SeqCst) => return,
                Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
            }
        }
    }

    /// Starts a thread that serves the connection.
    fn spawn_connection(self: &Arc<Self>, stream: TcpStream) {
        let guard = ConnectionGuard::new(self.clone());
        let (shared, thread_guard) = (self.clone(), self.work.threads.begin());
        let thread = thread::Builder::new().name("caller".to_owned()).stack_size(STACK_BYTES);
        // If the thread cannot be started, dropping the closure closes the connection.
        let _ = thread.spawn(move || {
            shared.serve(&Arc::new(stream));
            drop(guard);
            drop(thread_guard);
        });
    }

    /// Serves requests until the connection must be closed.
    fn serve(&self, stream: &Arc<TcpStream>) {
        let options_set = stream
            .set_nodelay(true)
            .and_then(|()| stream.set_write_timeout(Some(self.limits.write_timeout)));
        if options_set.is_err() {
            return;
        }
        if self.open_connections.load(Ordering::SeqCst) > self.limits.max_connections {
            let message = format!("more than {} connections", self.limits.max_connections);
            self.refuse(stream, 503, &message, "");
            return;
        }
        let mut reader = RequestReader::new(stream, &self.limits);
        while self.serve_one(stream, &mut reader) {}
    }

    /// Serves one request; returns false if the connection must be closed.
    fn serve_one(&self, stream: &Arc<TcpStream>, reader: &mut RequestReader<'_>) -> bool {
        let input_guard = self.work.begin_wait(stream);
        if reader.wait(self.limits.idle_timeout).is_err() {
            return false;
        }
        input_guard.start_reading();
        let _guard = ActiveRequestGuard::new(&self.active_requests);
        let read = reader.read();
        drop(input_guard);
        let request = match read {
            Ok(request) => request,
            Err(ReadError::Closed) if self.work.are_waits_ended() => {
                self.refuse(stream, 503, STOPPING, reader.method());
                return false;
            }
            Err(ReadError::Closed) => return false,
            Err(ReadError::Refused(status, message)) => {
                self.refuse(stream, status, &message, reader.method());
                return false;
            }
        };
        let keep_alive = request.head.keep_alive && !self.closing.load(Ordering::SeqCst);
        let mut responder = Responder::new(stream, keep_alive, reader.method());
        self.handler.handle(request, stream, &mut responder);
        // What the response announced holds, even if the server is closing by now.
        responder.keeps_alive()
    }

    /// Sends a refusal of a request with this method, and reads the remaining input.
    fn refuse(&self, stream: &TcpStream, status: u16, message: &str, method: &str) {
        let mut responder = Responder::new(stream, false, method);
        self.handler.on_refused(status, message, &mut responder);
        discard_input(stream);
    }
}

/// Shuts down the sending side and discards the remaining input.
///
/// Closing a connection with unread input may discard the response before the caller reads it.
fn discard_input(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let deadline = Instant::now() + LINGER_TIMEOUT;
    let mut bytes = [0; 4_096];
    let _ = stream.set_read_timeout(Some(LINGER_TIMEOUT));
    let mut stream = stream;
    while Instant::now() < deadline {
        match io::Read::read(&mut stream, &mut bytes) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Arc<Shared>);

impl ConnectionGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.open_connections.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a request as in progress until it is dropped.
struct ActiveRequestGuard<'a>(&'a AtomicUsize);

impl<'a> ActiveRequestGuard<'a> {
    fn new(active_requests: &'a AtomicUsize) -> Self {
        active_requests.fetch_add(1, Ordering::SeqCst);
        Self(active_requests)
    }
}

impl Drop for ActiveRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
