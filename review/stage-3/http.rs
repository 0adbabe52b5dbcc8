//! Minimal HTTP/1.1 for the stand-ins and the clients.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time after which a read without input fails.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A request, or a response, with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header of this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| &*it.1)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> io::Result<Self> {
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream: stream.try_clone()?, input: Vec::new() })
    }

    /// Reads a message; fails if the connection ends before it is whole.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.input.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.input.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n").filter(|it| !it.is_empty());
        let mut message =
            Message { first_line: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        message.headers = lines
            .filter_map(|it| it.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        if message.header("transfer-encoding").is_some() {
            self.read_chunks(&mut message)?;
        } else {
            let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            while self.input.len() < length {
                self.fill()?;
            }
            message.body = self.input.drain(..length).collect();
        }
        Ok(message)
    }

    fn read_chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let end = loop {
                if let Some(at) = self.input.windows(2).position(|it| it == b"\r\n") {
                    break at;
                }
                self.fill()?;
            };
            let line: Vec<u8> = self.input.drain(..end + 2).collect();
            let size = usize::from_str_radix(String::from_utf8_lossy(&line[..end]).trim(), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            while self.input.len() < size + 2 {
                self.fill()?;
            }
            message.body.extend(self.input.drain(..size));
            self.input.drain(..2);
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 4_096];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.input.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }
}

/// Serves requests at a free loopback address, with a thread for each connection, until the process
/// ends. The handler returns whether the connection is kept.
pub fn serve(handler: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let (Ok(mut reader), Ok(mut output)) = (Reader::new(&stream), stream.try_clone()) else {
                    return;
                };
                while let Ok(request) = reader.read() {
                    if !handler(&request, &mut output) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends a response with a length. Returns whether it could be written.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}
