//! One caller's connection.

use std::io;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::caller::BodyKind;
use cranberryvalve_adapters::caller::HeadError;
use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_adapters::caller::parse_head;
use cranberryvalve_core::table::CallerLimits;

use crate::answer::AnswerHead;
use crate::answer::Framing;
use crate::body::BodyDecoder;
use crate::dialect::Refusal;
use crate::exchange::WholeAnswer;
use crate::exchange::forwarded;
use crate::exchange::push_header;
use crate::socket::Connection;
use crate::socket::Filled;
use crate::socket::Waits;
use crate::socket::Waker;
use crate::socket::wait;

/// Time within which a body must be complete.
const BODY_TIME: Duration = Duration::from_secs(15);

/// Time for which a caller may take no byte of an answer that is not a stream.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// Time for which a refused caller is read from.
const LINGER: Duration = Duration::from_millis(500);

/// A request with its whole body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    /// When its first byte was there.
    pub(crate) arrived_at: Instant,
}

/// Why no request could be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The caller is gone, or sent nothing for too long.
    Gone,
    /// The request is refused, and the connection closed.
    Refused(Refusal),
}

impl ReadError {
    fn refused(status: u16, message: impl Into<Box<str>>) -> Self {
        Self::Refused(Refusal { status, retry_after: None, message: message.into() })
    }
}

impl From<HeadError> for ReadError {
    fn from(error: HeadError) -> Self {
        let status = if error == HeadError::TooManyHeaders { 431 } else { 400 };
        Self::refused(status, error.to_string())
    }
}

/// A caller's connection: requests are read from it and answers written to it.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) connection: Connection,
    /// Whether the connection may be used for another request.
    pub(crate) keeps_alive: bool,
}

impl Caller {
    pub(crate) const fn new(connection: Connection) -> Self {
        Self { connection, keeps_alive: true }
    }

    /// Waits for the first byte of the next request; `closing` ends the wait.
    pub(crate) fn wait_for_request(
        &mut self,
        idle: Duration,
        closing: &Waker,
    ) -> Result<(), ReadError> {
        let until = Instant::now() + idle;
        while self.connection.input.is_empty() {
            let waits = Waits {
                caller: Some(&self.connection),
                caller_input: true,
                broadcast: Some(closing),
                ..Waits::default()
            };
            let ready = wait(waits, until).map_err(|_| ReadError::Gone)?;
            let filled = self.connection.fill().map_err(|_| ReadError::Gone)?;
            let is_over = ready.timed_out || ready.broadcast;
            if filled == Filled::Closed || (filled == Filled::Nothing && is_over) {
                return Err(ReadError::Gone);
            }
        }
        Ok(())
    }

    /// Reads a whole request.
    pub(crate) fn read(&mut self, limits: &CallerLimits) -> Result<CallerRequest, ReadError> {
        let arrived_at = Instant::now();
        let head = self.read_head(limits, arrived_at + limits.head_time)?;
        self.keeps_alive = head.keep_alive;
        let framing = match head.body_kind()? {
            BodyKind::Length(length) if length > limits.body_bytes => {
                return Err(too_large(limits));
            }
            BodyKind::Length(length) => Framing::Length(length as u64),
            BodyKind::Chunked => Framing::Chunked,
        };
        if head.header("expect").is_some_and(|it| it.eq_ignore_ascii_case("100-continue")) {
            let until = Instant::now() + WRITE_TIME;
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n", until).map_err(|_| ReadError::Gone)?;
        }
        let body = self.read_body(framing, limits)?;
        Ok(CallerRequest { head, body, arrived_at })
    }

    fn read_head(
        &mut self,
        limits: &CallerLimits,
        until: Instant,
    ) -> Result<RequestHead, ReadError> {
        loop {
            if let Some((head, len)) = parse_head(&self.connection.input)? {
                check_line_ends(&self.connection.input[..len])?;
                if len > limits.head_bytes {
                    return Err(head_too_large(limits));
                }
                self.connection.input.drain(..len);
                if head.headers().filter(|(name, _)| *name == "host").count() != 1 {
                    return Err(ReadError::refused(400, "there must be one Host header"));
                }
                return Ok(head);
            }
            if self.connection.input.len() > limits.head_bytes {
                return Err(head_too_large(limits));
            }
            if self.fill(until)? == Filled::Nothing && Instant::now() >= until {
                return Err(ReadError::refused(408, "the request head took too long"));
            }
        }
    }

    fn read_body(&mut self, framing: Framing, limits: &CallerLimits) -> Result<Vec<u8>, ReadError> {
        let until = Instant::now() + BODY_TIME;
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        loop {
            decoder
                .decode(&mut self.connection.input, &mut body)
                .map_err(|error| ReadError::refused(400, error.to_string()))?;
            if body.len() > limits.body_bytes {
                return Err(too_large(limits));
            }
            if decoder.is_complete() {
                return Ok(body);
            }
            if self.fill(until)? == Filled::Nothing && Instant::now() >= until {
                return Err(ReadError::refused(408, "the request body took too long"));
            }
        }
    }

    fn fill(&mut self, until: Instant) -> Result<Filled, ReadError> {
        let waits =
            Waits { caller: Some(&self.connection), caller_input: true, ..Waits::default() };
        wait(waits, until).map_err(|_| ReadError::Gone)?;
        match self.connection.fill() {
            Ok(Filled::Closed) | Err(_) => Err(ReadError::Gone),
            Ok(filled) => Ok(filled),
        }
    }

    /// Sends an upstream's whole answer.
    pub(crate) fn send_whole(&mut self, answer: &WholeAnswer) -> io::Result<()> {
        let mut head = self.answer_head(&answer.head);
        push_header(&mut head, "content-length", &answer.body.len().to_string());
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&answer.body);
        self.write(&bytes, Instant::now() + WRITE_TIME)
    }

    /// Sends an answer of the relay's own.
    pub(crate) fn send_refusal(&mut self, refusal: &Refusal) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", refusal.status, reason(refusal.status));
        if let Some(retry_after) = refusal.retry_after {
            push_header(&mut head, "retry-after", &format!("{:.3}", retry_after.as_secs_f64()));
        }
        push_header(&mut head, "content-type", "text/plain; charset=utf-8");
        push_header(&mut head, "content-length", &(refusal.message.len() + 1).to_string());
        self.push_connection(&mut head);
        head.push_str("\r\n");
        head.push_str(&refusal.message);
        head.push('\n');
        self.write(head.as_bytes(), Instant::now() + WRITE_TIME)
    }

    /// Starts an answer that is sent piece by piece.
    pub(crate) fn start_stream(&mut self, answer: &AnswerHead, until: Instant) -> io::Result<()> {
        let mut head = self.answer_head(answer);
        push_header(&mut head, "transfer-encoding", "chunked");
        head.push_str("\r\n");
        self.write(head.as_bytes(), until)
    }

    /// Sends a piece of a stream at once.
    pub(crate) fn send_piece(&mut self, piece: &[u8], until: Instant) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
        self.write(&bytes, until)
    }

    /// Ends a stream as complete.
    pub(crate) fn end_stream(&mut self, until: Instant) -> io::Result<()> {
        self.write(b"0\r\n\r\n", until)
    }

    /// Reads what a refused caller still sends, since closing with unread input may discard the
    /// answer.
    pub(crate) fn linger(&mut self) {
        self.connection.shutdown_write();
        let until = Instant::now() + LINGER;
        while Instant::now() < until && self.fill(until).is_ok() {
            self.connection.input.clear();
        }
    }

    fn answer_head(&self, answer: &AnswerHead) -> String {
        let mut head = format!("HTTP/1.1 {} {}\r\n", answer.status, answer.reason);
        for (name, value) in forwarded(answer.headers(), answer.header("connection")) {
            push_header(&mut head, name, value);
        }
        self.push_connection(&mut head);
        head
    }

    fn push_connection(&self, head: &mut String) {
        if !self.keeps_alive {
            push_header(head, "connection", "close");
        }
    }

    fn write(&self, bytes: &[u8], until: Instant) -> io::Result<()> {
        let mut sent = 0;
        while sent < bytes.len() {
            let amount = self.connection.write_some(&bytes[sent..])?;
            sent += amount;
            if amount == 0 {
                let waits = Waits {
                    caller: Some(&self.connection),
                    caller_output: true,
                    ..Waits::default()
                };
                let ready = wait(waits, until)?;
                if ready.timed_out || ready.caller_gone {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Ok(())
    }
}

/// Refuses line feeds without carriage return, which other programs may read in another way.
fn check_line_ends(head: &[u8]) -> Result<(), ReadError> {
    let is_bare = |pair: &[u8]| pair[1] == b'\n' && pair[0] != b'\r';
    if head.windows(2).any(is_bare) {
        return Err(ReadError::refused(400, "a line of the head does not end with CR LF"));
    }
    Ok(())
}

fn head_too_large(limits: &CallerLimits) -> ReadError {
    ReadError::refused(431, format!("the head is above {} bytes", limits.head_bytes))
}

fn too_large(limits: &CallerLimits) -> ReadError {
    ReadError::refused(413, format!("the body is above {} bytes", limits.body_bytes))
}

const fn reason(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
