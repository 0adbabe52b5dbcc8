//! A stand-in for a model worker, in a process of its own: `stage engine ID VERSION ADDRESS RECORD`.
//!
//! It answers each request with a stream of events. What an event says names the version of the worker's
//! software. With `Last-Event-Id` the stream goes on after that event.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Reader;
use crate::http::response;
use crate::http::wait_until;
use crate::http::write;

/// Events of a stream, and the time between two.
pub const EVENTS: u64 = 15;
const EVENT_GAP: Duration = Duration::from_millis(100);

/// Serves until the process is killed.
pub fn serve(id: &str, version: &str, address: &str, record: &str) {
    // The address may be held for a moment by the start before.
    let deadline = Instant::now() + Duration::from_secs(2);
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) if Instant::now() < deadline => thread::sleep(Duration::from_millis(5)),
            Err(error) => panic!("{address}: {error}"),
        }
    };
    let record = OpenOptions::new().append(true).create(true).open(record).expect("a record");
    let record = Arc::new(Mutex::new(record));
    while let Ok((stream, _)) = listener.accept() {
        let (id, version, record) = (id.to_owned(), version.to_owned(), record.clone());
        thread::spawn(move || serve_connection(stream, &id, &version, &record));
    }
}

fn serve_connection(stream: TcpStream, id: &str, version: &str, record: &Mutex<File>) {
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.read() {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let request_id = header("request-id");
        if header("expect-instance") != id {
            let headers = format!("Request-Id: {request_id}\r\n");
            if !write(&reader.stream, &response("421 Misdirected Request", &headers, b"")) {
                return;
            }
            continue;
        }
        let after: u64 = header("last-event-id").parse().unwrap_or(0);
        let line = format!("{} run {request_id} at {id} version {version} after {after}\n", now_ms());
        let _ = record.lock().unwrap().write_all(line.as_bytes());
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request_id}\r\n\
             Response-Seal: seal-{id}-{version}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if !write(&reader.stream, head.as_bytes()) {
            return;
        }
        for event in after + 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let text = format!("id: {event}\ndata: tokens of version {version}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if !write(&reader.stream, chunk.as_bytes()) {
                return;
            }
        }
        if !write(&reader.stream, b"0\r\n\r\n") {
            return;
        }
    }
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// The process of a model worker.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    /// Unix millisecond of its start.
    born: u128,
    child: Child,
}

impl Engine {
    pub fn start(id: &str, version: &str, address: SocketAddr, record: &Path) -> Self {
        let program = std::env::current_exe().expect("the path of this program");
        let child = Command::new(program)
            .args(["engine", id, version, &address.to_string()])
            .arg(record)
            .stdin(Stdio::null())
            .spawn()
            .expect("this program starts");
        let (id, version) = (id.to_owned(), version.to_owned());
        Self { id, address, version, born: now_ms(), child }
    }

    pub fn wait_listening(&self) -> bool {
        wait_until(Duration::from_secs(3), || TcpStream::connect(self.address).is_ok())
    }

    /// Kills the process.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the row with which the worker registers itself.
    pub fn row(&self, service: &str, zone: &str) -> String {
        let Self { address, version, born, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"callSeq\":1,\"born\":{born}}}"
        )
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}
