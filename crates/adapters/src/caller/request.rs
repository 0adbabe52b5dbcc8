//! Reads requests from a caller's connection.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use chunked_transfer::Decoder;

use super::ServerLimits;
use super::head::BodyKind;
use super::head::HeadError;
use super::head::RequestHead;
use super::head::method_of;
use super::head::parse_head;

/// Size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// A request with its complete body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// The whole body, with any chunked coding removed.
    pub body: Vec<u8>,
}

/// Why a request could not be read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The caller closed the connection, or reading or writing failed.
    Closed,
    /// The request is refused with this HTTP status and message.
    Refused(u16, String),
}

impl From<HeadError> for ReadError {
    fn from(error: HeadError) -> Self {
        let status = if error == HeadError::TooManyHeaders { 431 } else { 400 };
        Self::Refused(status, error.to_string())
    }
}

/// Reads requests from a connection.
pub(super) struct RequestReader<'a> {
    stream: &'a TcpStream,
    limits: &'a ServerLimits,
    buffered: Vec<u8>,
    /// Method of the latest request, as far as it has arrived.
    method: Box<str>,
}

impl<'a> RequestReader<'a> {
    pub(super) fn new(stream: &'a TcpStream, limits: &'a ServerLimits) -> Self {
        Self { stream, limits, buffered: Vec::new(), method: Box::default() }
    }

    /// Returns the method of the latest request, even if the request was refused; empty if it has not
    /// arrived.
    pub(super) fn method(&self) -> &str {
        &self.method
    }

    /// Waits for the first byte of the next request, for `idle_timeout` at most.
    pub(super) fn wait(&mut self, idle_timeout: Duration) -> Result<(), ReadError> {
        if self.buffered.is_empty() {
            self.fill(Instant::now() + idle_timeout, "the next request")?;
        }
        Ok(())
    }

    /// Reads a complete request.
    pub(super) fn read(&mut self) -> Result<CallerRequest, ReadError> {
        let head = self.read_head()?;
        let kind = head.body_kind()?;
        if let BodyKind::Length(length) = kind
            && length > self.limits.max_body_bytes
        {
            return Err(self.too_large());
        }
        if head.header("expect").is_some_and(|it| it.eq_ignore_ascii_case("100-continue")) {
            let mut stream = self.stream;
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|_| ReadError::Closed)?;
        }
        let deadline = Instant::now() + self.limits.body_timeout;
        let body = match kind {
            BodyKind::Length(length) => self.read_length(length, deadline)?,
            BodyKind::Chunked => self.read_chunked(deadline)?,
        };
        Ok(CallerRequest { head, body })
    }

    fn read_head(&mut self) -> Result<RequestHead, ReadError> {
        let deadline = Instant::now() + self.limits.head_timeout;
        loop {
            self.method = method_of(&self.buffered).into();
            if let Some((head, len)) = parse_head(&self.buffered)? {
                self.buffered.drain(..len);
                return Ok(head);
            }
            if self.buffered.len() > self.limits.max_head_bytes {
                let message = format!("the head is above {} bytes", self.limits.max_head_bytes);
                return Err(ReadError::Refused(431, message));
            }
            self.fill(deadline, "the request head")?;
        }
    }

    fn read_length(&mut self, length: usize, deadline: Instant) -> Result<Vec<u8>, ReadError> {
        while self.buffered.len() < length {
            self.fill(deadline, "the request body")?;
        }
        Ok(self.buffered.drain(..length).collect())
    }

    fn read_chunked(&mut self, deadline: Instant) -> Result<Vec<u8>, ReadError> {
        let limit = self.limits.max_body_bytes;
        let mut body = Vec::new();
        let source = BodyReader { reader: self, deadline };
        let mut decoder = Decoder::new(source).take(limit as u64 + 1);
        let result = decoder.read_to_end(&mut body);
        if body.len() > limit {
            return Err(self.too_large());
        }
        match result {
            Ok(_) => Ok(body),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                Err(ReadError::Refused(408, "the request body took too long".to_owned()))
            }
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Err(ReadError::Closed),
            Err(error) => {
                Err(ReadError::Refused(400, format!("the chunked body is malformed: {error}")))
            }
        }
    }

    fn too_large(&self) -> ReadError {
        let message = format!("the body is above {} bytes", self.limits.max_body_bytes);
        ReadError::Refused(413, message)
    }

    /// Reads more bytes into the buffer; `what` names the awaited part in an error message.
    fn fill(&mut self, deadline: Instant, what: &str) -> Result<(), ReadError> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        match read_before(self.stream, &mut bytes, deadline) {
            Ok(0) => Err(ReadError::Closed),
            Ok(amount) => {
                self.buffered.extend_from_slice(&bytes[..amount]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                Err(ReadError::Refused(408, format!("{what} took too long")))
            }
            Err(_) => Err(ReadError::Closed),
        }
    }
}

/// Reads a body from the buffer and the connection until a deadline.
struct BodyReader<'a, 'b> {
    reader: &'a mut RequestReader<'b>,
    deadline: Instant,
}

impl Read for BodyReader<'_, '_> {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        if self.reader.buffered.is_empty() {
            match self.reader.fill(self.deadline, "the request body") {
                Ok(()) => {}
                Err(ReadError::Closed) => return Ok(0),
                Err(ReadError::Refused(..)) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
        let amount = bytes.len().min(self.reader.buffered.len());
        bytes[..amount].copy_from_slice(&self.reader.buffered[..amount]);
        self.reader.buffered.drain(..amount);
        Ok(amount)
    }
}

/// Reads once, and fails with [`io::ErrorKind::TimedOut`] once the deadline has passed.
fn read_before(mut stream: &TcpStream, bytes: &mut [u8], deadline: Instant) -> io::Result<usize> {
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(remaining))?;
        match stream.read(bytes) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::ErrorKind::TimedOut.into());
            }
            other => return other,
        }
    }
}
