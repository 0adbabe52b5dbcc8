//! A sound worker of a plain service or of a service with streams.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// A request that a worker ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub tenant: Option<String>,
    /// Wall clock at its first token, or its answer, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A worker at a free loopback address.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    born_ms: u64,
}

impl Worker {
    /// Starts a worker whose answers have this size, in bytes.
    pub fn start(id: &str, answer_bytes: usize) -> Self {
        let runs = Arc::<Mutex<Vec<Run>>>::default();
        let (kept, own) = (runs.clone(), id.to_owned());
        let address = http::serve(move |request, stream| handle(&own, answer_bytes, &kept, request, stream));
        Self { id: id.to_owned(), address, runs, born_ms: crate::unix_ms() }
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the row that the worker writes about itself.
    pub fn row(&self, service: &str, zone: &str, slots: u32) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"callSeq\":0,\"born\":{}}}",
            self.address, self.born_ms
        )
    }
}

fn handle(own: &str, answer_bytes: usize, runs: &Mutex<Vec<Run>>, request: &Message, stream: &mut TcpStream) -> bool {
    let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
    if request.word(1) == "/healthz" {
        return http::respond(stream, "200 OK", &format!("Instance-Id: {own}\r\n"), "");
    }
    let id = text("request-id");
    if request.header("expect-instance").is_some_and(|it| it != own) {
        let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
        return http::respond(stream, "421 Misdirected Request", &headers, "");
    }
    // A worker works for a while.
    thread::sleep(Duration::from_millis(5));
    let tenant = request.header("tenant").map(ToOwned::to_owned);
    runs.lock().unwrap().push(Run { request: id.clone(), tenant, at_ms: crate::unix_ms() });
    let body = "x".repeat(answer_bytes);
    let headers = format!("Request-Id: {id}\r\nResponse-Seal: seal-{own}\r\nContent-Length: {}\r\n", body.len());
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}").as_bytes()).is_ok()
}
