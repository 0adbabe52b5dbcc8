//! Writes responses to callers.

use std::fmt::Write as _;
use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;

use chunked_transfer::Encoder;

/// Maximum size of a chunk, in bytes; a full chunk is sent without a flush.
const MAX_CHUNK_BYTES: usize = 8 * 1024;

/// Writes the response to one request.
#[derive(Debug)]
pub struct Responder<'a> {
    stream: &'a TcpStream,
    keep_alive: bool,
    /// Whether the request is one for the head alone.
    is_head_request: bool,
    is_started: bool,
}

impl<'a> Responder<'a> {
    /// `method` is the method of the request, or empty if it is not known.
    pub(super) fn new(stream: &'a TcpStream, keep_alive: bool, method: &str) -> Self {
        Self { stream, keep_alive, is_head_request: method == "HEAD", is_started: false }
    }

    /// Returns whether a response has been started.
    pub const fn is_started(&self) -> bool {
        self.is_started
    }

    /// Returns whether the connection can serve another request after this response.
    pub(super) const fn keeps_alive(&self) -> bool {
        self.keep_alive && self.is_started
    }

    /// Sends a complete response. No body follows the head of a response to HEAD.
    ///
    /// # Errors
    ///
    /// Fails if a response has been started, if the caller has disconnected or if a write times out.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.start()?;
        let mut head = self.head(status, headers);
        // In a response to HEAD, the length is that of the body that GET would get; an upstream's
        // response to HEAD does not bring it here. 204 and 304 need none (RFC 9110, section 8.6).
        let lacks_length = matches!(status, 204 | 304) || (self.is_head_request && body.is_empty());
        if !lacks_length {
            write!(head, "content-length: {}\r\n", body.len()).map_err(io::Error::other)?;
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        if !lacks_length && !self.is_head_request {
            bytes.extend_from_slice(body);
        }
        self.stream.write_all(&bytes).inspect_err(|_| self.keep_alive = false)
    }

    /// Starts a streamed response with status 200.
    ///
    /// # Errors
    ///
    /// Fails if a response has been started, if the caller has disconnected or if a write times out.
    pub fn stream(&mut self, headers: &[(&str, &str)]) -> io::Result<StreamWriter<'a>> {
        self.start()?;
        let mut head = self.head(200, headers);
        head.push_str("transfer-encoding: chunked\r\n\r\n");
        self.stream.write_all(head.as_bytes()).inspect_err(|_| self.keep_alive = false)?;
        Ok(StreamWriter { chunks: Encoder::with_chunks_size(self.stream, MAX_CHUNK_BYTES) })
    }

    /// Records that the response starts. There is no second one to a request.
    fn start(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.is_started, true) {
            self.keep_alive = false;
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        Ok(())
    }

    /// Closes the connection after this response.
    pub const fn close(&mut self) {
        self.keep_alive = false;
    }

    /// Returns the status line and the headers, without the blank line that ends the head.
    fn head(&self, status: u16, headers: &[(&str, &str)]) -> String {
        let connection = if self.keep_alive { "keep-alive" } else { "close" };
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        for (name, value) in headers.iter().chain(&[("connection", connection)]) {
            head.push_str(name);
            head.push_str(": ");
            head.push_str(value);
            head.push_str("\r\n");
        }
        head
    }
}

/// Writes the body of a streamed response.
///
/// Dropping it sends the final chunk, which ends the body, unless a write failed.
pub struct StreamWriter<'a> {
    chunks: Encoder<&'a TcpStream>,
}

impl StreamWriter<'_> {
    /// Sends `piece` immediately, without buffering it. A failure closes the connection.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or a write times out.
    pub fn send(&mut self, piece: &str) -> io::Result<()> {
        let result = self.chunks.write_all(piece.as_bytes()).and_then(|()| self.chunks.flush());
        result.inspect_err(|_| {
            // When it is dropped, the encoder would send the chunk again and end the body.
            let _ = self.chunks.get_ref().shutdown(Shutdown::Both);
        })
    }
}

/// Returns the reason phrase of a status code.
const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
