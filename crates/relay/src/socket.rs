//! Non-blocking sockets and polling of several of them.

use std::io;
use std::io::IoSlice;
use std::io::Read;
use std::io::Write;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::os::fd::OwnedFd;
use std::time::Duration;
use std::time::Instant;

use rustix::event::EventfdFlags;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::eventfd;
use rustix::event::poll;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;

/// Maximum size of one read, in bytes.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Time for which sent data may stay unacknowledged before the connection is considered lost.
///
/// Linux ends a connection after it, too, if the peer acknowledges everything but does not read.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time after which keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is considered lost.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which keepalive probes show that the peer of an idle connection has vanished.
pub(crate) const KEEPALIVE_TIMEOUT: Duration =
    KEEPALIVE_IDLE.saturating_add(KEEPALIVE_INTERVAL.saturating_mul(KEEPALIVE_RETRIES));

/// Value of `EINPROGRESS` on Linux.
const EINPROGRESS: i32 = 115;

/// Result of a non-blocking read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// Bytes were appended to the input buffer.
    Data,
    /// No data is available yet.
    WouldBlock,
    /// The peer has closed its sending side.
    Closed,
}

/// Who notices that the peer of a connection has vanished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossDetection {
    /// The system, by unacknowledged data and probes.
    System,
    /// The user of the connection, by a deadline.
    Deadline,
}

/// A non-blocking connection with its buffer of unprocessed input.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    pub(crate) input: Vec<u8>,
    loss_detection: LossDetection,
}

impl Connection {
    /// Wraps an accepted connection.
    pub(crate) fn from_accepted(stream: TcpStream) -> io::Result<Self> {
        set_socket_options(&SockRef::from(&stream))?;
        stream.set_nonblocking(true)?;
        Ok(Self { stream, input: Vec::new(), loss_detection: LossDetection::System })
    }

    /// Starts to connect to `address`. The attempt is finished once the socket becomes writable;
    /// [`Connection::connect_error`] then tells whether it failed.
    pub(crate) fn connect(address: SocketAddr) -> io::Result<Self> {
        let domain = Domain::for_address(address);
        let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        set_socket_options(&SockRef::from(&socket))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        Ok(Self { stream: socket.into(), input: Vec::new(), loss_detection: LossDetection::System })
    }

    /// Returns the error of a failed connection attempt, or `None` if it succeeded.
    pub(crate) fn connect_error(&self) -> io::Result<Option<io::Error>> {
        self.stream.take_error()
    }

    /// Releases the memory of an empty input buffer that has held more than a read.
    pub(crate) fn shrink_input(&mut self) {
        if self.input.is_empty() && self.input.capacity() > 2 * READ_CHUNK_BYTES {
            self.input = Vec::new();
        }
    }

    /// Reads available data into the input buffer.
    pub(crate) fn fill(&mut self) -> io::Result<ReadOutcome> {
        let len_before = self.input.len();
        self.input.resize(len_before + READ_CHUNK_BYTES, 0);
        let result = (&self.stream).read(&mut self.input[len_before..]);
        self.input.truncate(len_before + result.as_ref().map_or(0, |it| *it));
        match result {
            Ok(0) => Ok(ReadOutcome::Closed),
            Ok(_) => Ok(ReadOutcome::Data),
            Err(error) if is_transient(&error) => Ok(ReadOutcome::WouldBlock),
            Err(error) => Err(error),
        }
    }

    /// Writes as much as possible without blocking and returns the number of bytes written.
    pub(crate) fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.try_write_parts(&[IoSlice::new(bytes)])
    }

    /// Like [`Self::try_write`], of several parts.
    pub(crate) fn try_write_parts(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        match (&self.stream).write_vectored(parts) {
            Ok(0) if parts.iter().any(|it| !it.is_empty()) => Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => Ok(written),
            Err(error) if is_transient(&error) => Ok(0),
            Err(error) => Err(error),
        }
    }

    /// Sets the time for which sent data may stay unacknowledged or unread before the connection is
    /// considered lost.
    pub(crate) fn set_user_timeout(&self, timeout: Duration) {
        // An error means that the connection is lost already.
        let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout));
    }

    /// Returns who notices that the peer has vanished.
    pub(crate) const fn loss_detection(&self) -> LossDetection {
        self.loss_detection
    }

    /// Sets who notices that the peer has vanished.
    pub(crate) fn set_loss_detection(&mut self, loss_detection: LossDetection) -> io::Result<()> {
        if self.loss_detection != loss_detection {
            set_loss_detection(&SockRef::from(&self.stream), loss_detection)?;
            self.loss_detection = loss_detection;
        }
        Ok(())
    }

    /// Makes the system discard what it has not sent yet when the connection is closed, also by the end
    /// of the process, instead of sending it later.
    pub(crate) fn discard_on_close(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Returns `true` if no input is pending and the peer has not closed the connection.
    pub(crate) fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        self.input.is_empty() && peeked.is_err_and(|it| is_transient(&it))
    }

    /// Closes the sending side of the connection.
    pub(crate) fn shutdown_write(&self) {
        // An error means that the connection is closed already.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

fn set_socket_options(socket: &SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    set_loss_detection(socket, LossDetection::System)
}

fn set_loss_detection(socket: &SockRef<'_>, loss_detection: LossDetection) -> io::Result<()> {
    match loss_detection {
        LossDetection::System => {
            socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
            let keepalive = TcpKeepalive::new()
                .with_time(KEEPALIVE_IDLE)
                .with_interval(KEEPALIVE_INTERVAL)
                .with_retries(KEEPALIVE_RETRIES);
            socket.set_tcp_keepalive(&keepalive)
        }
        LossDetection::Deadline => {
            socket.set_tcp_user_timeout(None)?;
            socket.set_keepalive(false)
        }
    }
}

/// Wakes a thread that is blocked in [`wait`].
#[derive(Debug)]
pub(crate) struct Waker(OwnedFd);

impl Waker {
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self(eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?))
    }

    /// Wakes the waiting thread, or the next one to wait.
    pub(crate) fn wake(&self) {
        // The counter overflows only if a wake-up is pending already.
        let _ = rustix::io::write(&self.0, &1_u64.to_ne_bytes());
    }

    pub(crate) fn reset(&self) {
        // An error means that no wake-up is pending.
        let _ = rustix::io::read(&self.0, &mut [0; 8]);
    }
}

/// Events that [`wait`] waits for.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Interest<'a> {
    /// The caller's connection, always watched for disconnection.
    pub(crate) caller: Option<&'a Connection>,
    /// Whether to wait for input from the caller.
    pub(crate) caller_input: bool,
    /// Whether to wait until the caller's connection is writable.
    pub(crate) caller_output: bool,
    /// The upstream's connection, always watched for input.
    pub(crate) upstream: Option<&'a Connection>,
    /// Whether to wait until the upstream's connection is writable.
    pub(crate) upstream_output: bool,
    /// A waker that is reset once it has woken a thread.
    pub(crate) waker: Option<&'a Waker>,
    /// A waker shared by many threads, which is never reset.
    pub(crate) broadcast: Option<&'a Waker>,
}

/// Events reported by [`wait`]. None is set if the wait was interrupted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Readiness {
    /// The caller's connection is readable or writable, as requested.
    pub(crate) caller: bool,
    /// The caller has closed its connection.
    pub(crate) caller_disconnected: bool,
    /// The upstream's connection is readable, writable or closed.
    pub(crate) upstream: bool,
    /// The waker was woken.
    pub(crate) woken: bool,
    /// The shared waker was woken.
    pub(crate) broadcast: bool,
    /// The deadline has passed.
    pub(crate) timed_out: bool,
}

/// Blocks until one of the events occurs or `deadline` has passed.
pub(crate) fn wait(interest: Interest<'_>, deadline: Instant) -> io::Result<Readiness> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Ok(Readiness { timed_out: true, ..Readiness::default() });
    }
    poll_for(interest, remaining)
}

/// Returns which of the events have occurred already.
pub(crate) fn check(interest: Interest<'_>) -> io::Result<Readiness> {
    poll_for(interest, Duration::ZERO)
}

fn poll_for(interest: Interest<'_>, time: Duration) -> io::Result<Readiness> {
    let mut caller_events = PollFlags::RDHUP;
    caller_events.set(PollFlags::IN, interest.caller_input);
    caller_events.set(PollFlags::OUT, interest.caller_output);
    let mut upstream_events = PollFlags::IN;
    upstream_events.set(PollFlags::OUT, interest.upstream_output);
    let mut poll_fds = Vec::with_capacity(4);
    if let Some(caller) = interest.caller {
        poll_fds.push(PollFd::from_borrowed_fd(caller.stream.as_fd(), caller_events));
    }
    if let Some(upstream) = interest.upstream {
        poll_fds.push(PollFd::from_borrowed_fd(upstream.stream.as_fd(), upstream_events));
    }
    for waker in [interest.waker, interest.broadcast].into_iter().flatten() {
        poll_fds.push(PollFd::from_borrowed_fd(waker.0.as_fd(), PollFlags::IN));
    }
    let timeout = Timespec {
        tv_sec: i64::try_from(time.as_secs()).unwrap_or(i64::MAX),
        tv_nsec: i64::from(time.subsec_nanos()),
    };
    match poll(&mut poll_fds, Some(&timeout)) {
        Ok(0) => return Ok(Readiness { timed_out: true, ..Readiness::default() }),
        Ok(_) => {}
        Err(rustix::io::Errno::INTR) => return Ok(Readiness::default()),
        Err(error) => return Err(error.into()),
    }
    let mut events = poll_fds.iter().map(PollFd::revents);
    let mut readiness = Readiness::default();
    if interest.caller.is_some() {
        let caller = events.next().unwrap_or(PollFlags::empty());
        let disconnected = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        readiness.caller_disconnected = caller.intersects(disconnected);
        readiness.caller = caller.intersects(PollFlags::IN | PollFlags::OUT);
    }
    if interest.upstream.is_some() {
        readiness.upstream = !events.next().unwrap_or(PollFlags::empty()).is_empty();
    }
    if let Some(waker) = interest.waker {
        readiness.woken = !events.next().unwrap_or(PollFlags::empty()).is_empty();
        if readiness.woken {
            waker.reset();
        }
    }
    if interest.broadcast.is_some() {
        readiness.broadcast = !events.next().unwrap_or(PollFlags::empty()).is_empty();
    }
    Ok(readiness)
}
