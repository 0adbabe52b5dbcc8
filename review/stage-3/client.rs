//! Clients.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Message;
use crate::http::Reader;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// A request of a client.
pub struct Call<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
}

impl Call<'_> {
    /// Returns the request as it is sent.
    pub fn bytes(&self) -> Vec<u8> {
        let key = self.key.map(|it| format!("X-Api-Key: {it}\r\n")).unwrap_or_default();
        format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{key}Content-Length: 2\r\n\r\n{{}}",
            self.path, self.id, self.deadline_ms
        )
        .into_bytes()
    }
}

/// Sends a call on a connection of its own.
pub fn call(to: SocketAddr, call: &Call<'_>) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.write_all(&call.bytes())?;
    Reader::new(&stream)?.read()
}

/// Returns the status of a `GET`; 0 if there is no response.
pub fn get_status(to: SocketAddr, path: &str) -> u16 {
    let get = || -> io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
        Reader::new(&stream)?.read()
    };
    get().map_or(0, |it| it.status())
}
