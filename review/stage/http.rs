//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Start line and headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads once. Returns `false` at the end of the connection.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|it| it.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head { start, headers: headers.collect() }));
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads this number of bytes.
    pub fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a chunk; empty after the last one.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break end;
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 2);
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.exactly(size)?;
        self.exactly(2)?;
        Ok(bytes)
    }

    /// Reads a body with a length or in chunks; empty without either.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        self.exactly(head.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|it| it == pattern)
}

/// Opens a connection on which reads end after `timeout`.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Reader> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(Reader::new(stream))
}

/// Sends a request on a connection of its own and returns the status with the body; 0 without a whole
/// answer.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> (u16, Head, Vec<u8>) {
    let answer = || -> io::Result<(u16, Head, Vec<u8>)> {
        let mut reader = connect(address, timeout)?;
        reader.send(request.as_bytes())?;
        let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = reader.body(&head)?;
        Ok((head.word(1).parse().unwrap_or(0), head, body))
    };
    answer().unwrap_or_default()
}

/// Waits until a condition holds; returns whether it did within the time.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
