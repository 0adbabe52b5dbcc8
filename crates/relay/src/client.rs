//! Minimal HTTP client for the platform's services.
//!
//! `ureq` does not expose its sockets, and a long poll needs keepalive probes, because its
//! connection may die silently while the call waits.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::body::BodyDecoder;
use crate::response::ResponseHead;
use crate::response::parse_response_head;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::ReadOutcome;
use crate::socket::Waker;
use crate::socket::wait;
use crate::sources::PollInterrupt;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response body, in bytes.
///
/// A response is in memory together with what is decoded from it. Changes that exceed this are read
/// as a snapshot, in pages of 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of interim responses before the response, as for upstreams.
const MAX_INTERIM_RESPONSES: usize = 8;

/// HTTP client for a single service. Requests are sent one at a time over a persistent connection.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle_connection: Mutex<Option<Connection>>,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Decoded body; empty if the response has none.
    pub body: Vec<u8>,
    head: ResponseHead,
}

impl HttpResponse {
    /// Returns the value of the first header called `name`, which must be in lower case, or `None`
    /// if there is none.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name)
    }
}

/// Why a request has no response.
#[derive(Debug)]
pub enum HttpError {
    /// The connection could not be established, or failed.
    Io(io::Error),
    /// No complete response arrived within the timeout.
    TimedOut,
    /// The response is not valid HTTP or is too large.
    Malformed,
    /// The request was interrupted.
    Interrupted,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::TimedOut => f.write_str("request timed out"),
            Self::Malformed => f.write_str("malformed response"),
            Self::Interrupted => f.write_str("request was interrupted"),
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
    /// Creates a client. The connection is established by the first request.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, idle_connection: Mutex::new(None) }
    }

    /// Sends a `GET` request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives within `timeout`.
    pub fn get(&self, target: &str, timeout: Duration) -> Result<HttpResponse, HttpError> {
        self.send_request("GET", target, None, Limit::new(timeout))
    }

    /// Sends a `GET` request whose response may take long, and waits for it. `interrupt` ends the wait
    /// and closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives within `timeout` and before `interrupt`.
    pub fn long_poll(
        &self,
        target: &str,
        timeout: Duration,
        interrupt: &PollInterrupt,
    ) -> Result<HttpResponse, HttpError> {
        let limit = Limit { interrupt: Some(interrupt.waker()), ..Limit::new(timeout) };
        self.send_request("GET", target, None, limit)
    }

    /// Sends a `POST` request with a JSON body and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives within `timeout`. The service may have
    /// executed the request nevertheless.
    pub fn post(
        &self,
        target: &str,
        json: &str,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpError> {
        self.send_request("POST", target, Some(json), Limit::new(timeout))
    }

    fn send_request(
        &self,
        method: &str,
        target: &str,
        json: Option<&str>,
        limit: Limit<'_>,
    ) -> Result<HttpResponse, HttpError> {
        let mut idle_connection =
            self.idle_connection.lock().unwrap_or_else(PoisonError::into_inner);
        let mut connection = match idle_connection.take().filter(Connection::is_idle) {
            Some(connection) => connection,
            None => self.connect(limit)?,
        };
        let body = json.unwrap_or_default();
        let content_type_header =
            if json.is_some() { "content-type: application/json\r\n" } else { "" };
        let request = format!(
            "{method} {target} HTTP/1.1\r\nhost: {}\r\n{content_type_header}\
             content-length: {}\r\n\r\n{body}",
            self.address,
            body.len(),
        );
        write_all(&connection, request.as_bytes(), limit)?;
        let head = receive_head(&mut connection, limit)?;
        let framing = head.framing(method).map_err(|_| HttpError::Malformed)?;
        let mut decoder = BodyDecoder::new(framing);
        let body = receive_body(&mut connection, &mut decoder, limit)?;
        if head.keeps_alive() && connection.is_idle() {
            *idle_connection = Some(connection);
        }
        Ok(HttpResponse { status: head.status, body, head })
    }

    fn connect(&self, limit: Limit<'_>) -> Result<Connection, HttpError> {
        let connection = Connection::connect(self.address)?;
        let deadline = limit.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        wait_ready(&connection, true, Limit { deadline, ..limit })?;
        match connection.connect_error()? {
            Some(error) => Err(error.into()),
            None => Ok(connection),
        }
    }
}

/// When a request ends without its response.
#[derive(Debug, Clone, Copy)]
struct Limit<'a> {
    deadline: Instant,
    /// Ends the request when it is woken.
    interrupt: Option<&'a Waker>,
}

impl Limit<'_> {
    fn new(timeout: Duration) -> Self {
        Self { deadline: Instant::now() + timeout, interrupt: None }
    }
}

fn write_all(connection: &Connection, bytes: &[u8], limit: Limit<'_>) -> Result<(), HttpError> {
    let mut sent = 0;
    while sent < bytes.len() {
        let written = connection.try_write(&bytes[sent..])?;
        sent += written;
        if written == 0 {
            wait_ready(connection, true, limit)?;
        }
    }
    Ok(())
}

/// Receives the head of the response. Interim responses (1xx), which consist of their head, are skipped.
fn receive_head(connection: &mut Connection, limit: Limit<'_>) -> Result<ResponseHead, HttpError> {
    let mut interim_responses = 0;
    loop {
        let parsed = parse_response_head(&connection.input).map_err(|_| HttpError::Malformed)?;
        if let Some((head, len)) = parsed {
            connection.input.drain(..len);
            if head.status >= 200 {
                return Ok(head);
            }
            interim_responses += 1;
            if interim_responses > MAX_INTERIM_RESPONSES {
                return Err(HttpError::Malformed);
            }
            continue;
        }
        if wait_and_read(connection, limit)? == ReadOutcome::Closed {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
}

fn receive_body(
    connection: &mut Connection,
    decoder: &mut BodyDecoder,
    limit: Limit<'_>,
) -> Result<Vec<u8>, HttpError> {
    let mut body = Vec::new();
    loop {
        decoder.decode(&mut connection.input, &mut body).map_err(|_| HttpError::Malformed)?;
        if decoder.is_complete() {
            return Ok(body);
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(HttpError::Malformed);
        }
        if wait_and_read(connection, limit)? == ReadOutcome::Closed {
            return if decoder.is_delimited_by_close() {
                Ok(body)
            } else {
                Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
            };
        }
    }
}

fn wait_and_read(connection: &mut Connection, limit: Limit<'_>) -> Result<ReadOutcome, HttpError> {
    wait_ready(connection, false, limit)?;
    Ok(connection.fill()?)
}

fn wait_ready(
    connection: &Connection,
    wants_write: bool,
    limit: Limit<'_>,
) -> Result<(), HttpError> {
    let interest = Interest {
        upstream: Some(connection),
        upstream_output: wants_write,
        waker: limit.interrupt,
        ..Interest::default()
    };
    let ready = wait(interest, limit.deadline)?;
    match ready {
        _ if ready.timed_out => Err(HttpError::TimedOut),
        _ if ready.woken => Err(HttpError::Interrupted),
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests;
