//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it, and a few helpers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request or a response with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| &*it.1)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection, one after the other.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk[..count]);
                true
            }
            _ => false,
        }
    }

    /// Reads a message; `None` if the connection ends, or its read timeout passes, before the end.
    pub fn read(&mut self) -> Option<Message> {
        let head_end = loop {
            match self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                Some(position) => break position + 4,
                None if !self.fill() => return None,
                None => {}
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { start: lines.next().unwrap_or("").to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
        if message.header("transfer-encoding") == Some("chunked") {
            message.body = self.read_chunks()?;
        } else {
            let length: usize =
                message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            while self.buffer.len() < length {
                if !self.fill() {
                    return None;
                }
            }
            message.body = self.buffer.drain(..length).collect();
        }
        Some(message)
    }

    fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                match self.buffer.windows(2).position(|it| it == b"\r\n") {
                    Some(position) => break position,
                    None if !self.fill() => return None,
                    None => {}
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            self.buffer.drain(..line_end + 2);
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            while self.buffer.len() < size + 2 {
                if !self.fill() {
                    return None;
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Some(body);
            }
        }
    }

    /// Reads and ignores everything until the peer closes the connection.
    pub fn ignore_rest(&mut self) {
        while self.fill() {
            self.buffer.clear();
        }
    }
}

pub fn write(stream: &TcpStream, bytes: &[u8]) -> bool {
    let mut stream = stream;
    stream.write_all(bytes).is_ok()
}

/// Returns a response with this status line, these header lines and this body.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Sends one request on a new connection. Returns the response, or `None` without a whole one.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    if !write(&stream, request) {
        return None;
    }
    Reader::new(stream).read()
}

pub fn get(address: SocketAddr, path: &str) -> u16 {
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    call(address, request.as_bytes(), Duration::from_secs(1)).map_or(0, |it| it.status())
}

/// Waits until the condition holds, for this time at most.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    condition()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = (0..3).fold(0_u32, |sum, it| sum << 8 | u32::from(*chunk.get(it).unwrap_or(&0)));
        for index in 0..4 {
            let digit = ALPHABET[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let hex = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match hex.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
