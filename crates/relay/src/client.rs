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
use crate::exchange::push_header;
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
        self.send_request(&Request::new("GET", target), Limit::new(timeout))
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
        self.send_request(&Request::new("GET", target), limit)
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
        let request = Request { json: Some(json), ..Request::new("POST", target) };
        self.send_request(&request, Limit::new(timeout))
    }

    /// Sends a `POST` request with a JSON body and further headers, unless `may_send`, asked right
    /// before the first byte, returns `false`. The request does not arrive later than the timeout, for
    /// example after a partition: what is not sent by then is discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives within `timeout`, and
    /// [`HttpError::Interrupted`] if nothing was sent because of `may_send`.
    pub fn post_if(
        &self,
        target: &str,
        headers: &[(&str, &str)],
        json: &str,
        timeout: Duration,
        may_send: &dyn Fn() -> bool,
    ) -> Result<HttpResponse, HttpError> {
        let request = Request {
            json: Some(json),
            headers,
            may_send: Some(may_send),
            ..Request::new("POST", target)
        };
        self.send_request(&request, Limit::new(timeout))
    }

    fn send_request(
        &self,
        request: &Request<'_>,
        limit: Limit<'_>,
    ) -> Result<HttpResponse, HttpError> {
        let mut idle_connection =
            self.idle_connection.lock().unwrap_or_else(PoisonError::into_inner);
        let mut connection = match idle_connection.take().filter(Connection::is_idle) {
            Some(connection) => connection,
            None => self.connect(limit)?,
        };
        let bytes = request.encode(self.address);
        if let Some(may_send) = request.may_send {
            connection.discard_on_close()?;
            if !may_send() {
                return Err(HttpError::Interrupted);
            }
        }
        write_all(&connection, &bytes, limit)?;
        let head = receive_head(&mut connection, limit)?;
        let framing = head.framing(request.method).map_err(|_| HttpError::Malformed)?;
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

/// A request as sent.
struct Request<'a> {
    method: &'a str,
    target: &'a str,
    /// Further headers.
    headers: &'a [(&'a str, &'a str)],
    json: Option<&'a str>,
    /// Whether the request may be sent, asked right before its first byte.
    may_send: Option<&'a dyn Fn() -> bool>,
}

impl<'a> Request<'a> {
    fn new(method: &'a str, target: &'a str) -> Self {
        Self { method, target, headers: &[], json: None, may_send: None }
    }

    fn encode(&self, host: SocketAddr) -> Vec<u8> {
        let body = self.json.unwrap_or_default();
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        push_header(&mut head, "host", &host.to_string());
        if self.json.is_some() {
            push_header(&mut head, "content-type", "application/json");
        }
        self.headers.iter().for_each(|(name, value)| push_header(&mut head, name, value));
        push_header(&mut head, "content-length", &body.len().to_string());
        format!("{head}\r\n{body}").into_bytes()
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
