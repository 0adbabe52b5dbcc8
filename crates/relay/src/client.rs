//! A small HTTP client for the platform's services.
//!
//! `ureq` gives no access to its sockets. A call that waits for changes needs keepalive probes, as
//! a connection may go silent for good while the call waits.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::answer::AnswerHead;
use crate::answer::parse_answer_head;
use crate::body::BodyDecoder;
use crate::socket::Connection;
use crate::socket::Filled;
use crate::socket::Waits;
use crate::socket::wait;

/// Longest time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Calls one service, one call at a time, over a connection that it keeps.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    kept: Mutex<Option<Connection>>,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a call has no answer.
#[derive(Debug)]
pub enum HttpError {
    /// The connection could not be made, or ended.
    Io(io::Error),
    /// The time was over.
    TimedOut,
    /// What came back is not an answer.
    Malformed,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection: {error}"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::Malformed => f.write_str("the answer is malformed"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl HttpClient {
    /// Creates a client; it connects with the first call.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, kept: Mutex::new(None) }
    }

    /// Sends a request without a body and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer within `timeout`.
    pub fn get(&self, target: &str, timeout: Duration) -> Result<HttpAnswer, HttpError> {
        self.call("GET", target, None, timeout)
    }

    /// Sends a request with a JSON body and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer within `timeout`; the call may have been carried out.
    pub fn post(
        &self,
        target: &str,
        json: &str,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        self.call("POST", target, Some(json), timeout)
    }

    fn call(
        &self,
        method: &str,
        target: &str,
        json: Option<&str>,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        let until = Instant::now() + timeout;
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let mut connection = match kept.take().filter(Connection::is_quiet) {
            Some(connection) => connection,
            None => self.connect(until)?,
        };
        let body = json.unwrap_or_default();
        let content = if json.is_some() { "content-type: application/json\r\n" } else { "" };
        let request = format!(
            "{method} {target} HTTP/1.1\r\nhost: {}\r\n{content}content-length: {}\r\n\r\n{body}",
            self.address,
            body.len(),
        );
        send(&connection, request.as_bytes(), until)?;
        let head = receive_head(&mut connection, until)?;
        let framing = head.framing(method).map_err(|_| HttpError::Malformed)?;
        let mut decoder = BodyDecoder::new(framing);
        let body = receive_body(&mut connection, &mut decoder, until)?;
        if head.keeps_alive() && connection.is_quiet() {
            *kept = Some(connection);
        }
        Ok(HttpAnswer { status: head.status, body })
    }

    fn connect(&self, until: Instant) -> Result<Connection, HttpError> {
        let connection = Connection::start(self.address)?;
        let until = until.min(Instant::now() + CONNECT_TIMEOUT);
        wait_for(&connection, true, until)?;
        match connection.connect_error()? {
            Some(error) => Err(error.into()),
            None => Ok(connection),
        }
    }
}

fn send(connection: &Connection, bytes: &[u8], until: Instant) -> Result<(), HttpError> {
    let mut sent = 0;
    while sent < bytes.len() {
        let amount = connection.write_some(&bytes[sent..])?;
        sent += amount;
        if amount == 0 {
            wait_for(connection, true, until)?;
        }
    }
    Ok(())
}

fn receive_head(connection: &mut Connection, until: Instant) -> Result<AnswerHead, HttpError> {
    loop {
        let parsed = parse_answer_head(&connection.input).map_err(|_| HttpError::Malformed)?;
        if let Some((head, len)) = parsed {
            connection.input.drain(..len);
            return Ok(head);
        }
        if fill(connection, until)? == Filled::Closed {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
}

fn receive_body(
    connection: &mut Connection,
    decoder: &mut BodyDecoder,
    until: Instant,
) -> Result<Vec<u8>, HttpError> {
    let mut body = Vec::new();
    loop {
        decoder.decode(&mut connection.input, &mut body).map_err(|_| HttpError::Malformed)?;
        if decoder.is_complete() {
            return Ok(body);
        }
        if body.len() > MAX_ANSWER_BYTES {
            return Err(HttpError::Malformed);
        }
        if fill(connection, until)? == Filled::Closed {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
}

fn fill(connection: &mut Connection, until: Instant) -> Result<Filled, HttpError> {
    wait_for(connection, false, until)?;
    Ok(connection.fill()?)
}

fn wait_for(connection: &Connection, output: bool, until: Instant) -> Result<(), HttpError> {
    let waits = Waits { upstream: Some(connection), upstream_output: output, ..Waits::default() };
    let ready = wait(waits, until)?;
    if ready.timed_out { Err(HttpError::TimedOut) } else { Ok(()) }
}
