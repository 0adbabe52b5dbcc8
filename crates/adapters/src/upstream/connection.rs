//! The connection of one attempt, which other threads can shut down.

use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ureq::Agent;
use ureq::Error;
use ureq::config::AutoHeaderValue;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::LazyBuffers;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

/// Size of the input buffer and of the output buffer, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Default timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeouts of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Maximum time for connecting.
    pub connect: Duration,
    /// Read timeout until the first bytes of the response.
    pub first_byte: Duration,
    /// Read timeout after the first bytes, and the timeout of every write.
    pub idle: Duration,
}

impl Timeouts {
    /// Creates timeouts with the default connect timeout.
    pub const fn new(first_byte: Duration, idle: Duration) -> Self {
        Self { connect: CONNECT_TIMEOUT, first_byte, idle }
    }
}

/// Handle with which other threads cancel an attempt; clones refer to the same attempt.
#[derive(Debug, Clone, Default)]
pub struct CancelHandle(Arc<AttemptState>);

#[derive(Debug, Default)]
struct AttemptState {
    stream: Mutex<Option<TcpStream>>,
    cancelled: AtomicBool,
    byte_sent: AtomicBool,
}

impl CancelHandle {
    /// Creates a handle for an attempt that has not started yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Shuts down the connection, either now or as soon as it is established.
    pub fn cancel(&self) {
        self.0.cancelled.store(true, Ordering::SeqCst);
        if let Some(stream) = &*self.lock() {
            // An error means that the connection is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.0.cancelled.load(Ordering::SeqCst)
    }

    /// Returns whether a byte was written, and so may have reached the upstream.
    pub fn is_byte_sent(&self) -> bool {
        self.0.byte_sent.load(Ordering::SeqCst)
    }

    /// Stores the established connection, and shuts it down if the attempt is already cancelled.
    fn attach(&self, stream: &TcpStream) -> io::Result<()> {
        *self.lock() = Some(stream.try_clone()?);
        if self.is_cancelled() {
            stream.shutdown(Shutdown::Both)?;
        }
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<TcpStream>> {
        self.0.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates an HTTP agent whose connections use `timeouts` and are shut down through `cancel`.
pub(super) fn agent(timeouts: Timeouts, cancel: &CancelHandle) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .max_redirects(0)
        .proxy(None)
        .user_agent(AutoHeaderValue::None)
        .accept(AutoHeaderValue::None)
        .accept_encoding(AutoHeaderValue::None)
        .allow_non_standard_methods(true)
        .build();
    let connector = AttemptConnector { timeouts, cancel: cancel.clone() };
    Agent::with_parts(config, connector, DefaultResolver::default())
}

#[derive(Debug)]
struct AttemptConnector {
    timeouts: Timeouts,
    cancel: CancelHandle,
}

impl<In: Transport> Connector<In> for AttemptConnector {
    type Out = AttemptTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<In>,
    ) -> Result<Option<AttemptTransport>, Error> {
        let Some(address) = details.addrs.iter().next() else {
            return Err(Error::HostNotFound);
        };
        let stream = TcpStream::connect_timeout(address, self.timeouts.connect)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.timeouts.idle))?;
        stream.set_read_timeout(Some(self.timeouts.first_byte))?;
        self.cancel.attach(&stream)?;
        Ok(Some(AttemptTransport {
            stream,
            buffers: LazyBuffers::new(BUFFER_BYTES, BUFFER_BYTES),
            idle: Some(self.timeouts.idle),
            cancel: self.cancel.clone(),
        }))
    }
}

struct AttemptTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
    /// Read timeout to set after the first read; `None` once it is set.
    idle: Option<Duration>,
    cancel: CancelHandle,
}

impl fmt::Debug for AttemptTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AttemptTransport").finish_non_exhaustive()
    }
}

impl Transport for AttemptTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _timeout: NextTimeout) -> Result<(), Error> {
        if self.cancel.is_cancelled() {
            return Err(Error::Io(io::ErrorKind::ConnectionAborted.into()));
        }
        self.cancel.0.byte_sent.store(true, Ordering::SeqCst);
        let output = &self.buffers.output()[..amount];
        self.stream.write_all(output)?;
        Ok(())
    }

    fn await_input(&mut self, _timeout: NextTimeout) -> Result<bool, Error> {
        let input = self.buffers.input_append_buf();
        let amount = loop {
            match self.stream.read(input) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other.map_err(hide_disconnection)?,
            }
        };
        self.buffers.input_appended(amount);
        if let Some(idle) = self.idle.take() {
            self.stream.set_read_timeout(Some(idle))?;
        }
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        false
    }
}

/// Wraps an error that `ureq` would take for the end of a body that ends with its connection.
fn hide_disconnection(error: io::Error) -> io::Error {
    match error.kind() {
        io::ErrorKind::ConnectionReset
        | io::ErrorKind::ConnectionAborted
        | io::ErrorKind::UnexpectedEof => io::Error::other(error),
        _ => error,
    }
}
