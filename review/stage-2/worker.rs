//! A stand-in for a worker of an application service.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reader;
use crate::http::response;
use crate::http::write;

/// A request that a worker ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub service: String,
    pub worker: String,
    pub tenant: String,
}

/// Everything that the workers ran, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Header lines that a worker adds to its answers.
pub type Notice = Arc<Mutex<String>>;

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(id: &str, service: &str, zone: &str, runs: &Runs, notice: &Notice) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let (name, pool) = (id.to_owned(), service.to_owned());
        let (runs, notice) = (runs.clone(), notice.clone());
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (name, pool) = (name.clone(), pool.clone());
                let (runs, notice) = (runs.clone(), notice.clone());
                thread::spawn(move || serve(stream, &name, &pool, &runs, &notice));
            }
        });
        Self { id: id.to_owned(), service: service.to_owned(), zone: zone.to_owned(), address }
    }

    /// Returns the row with which the worker registers itself.
    pub fn row(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\
             \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"callSeq\":1,\
             \"born\":1767472000000}}",
            self.service, self.address, self.zone
        )
    }
}

fn serve(stream: TcpStream, id: &str, service: &str, runs: &Runs, notice: &Notice) {
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.read() {
        if request.target() == "/healthz" {
            let headers = format!("Instance-Id: {id}\r\n");
            if !write(&reader.stream, &response("200 OK", &headers, b"")) {
                return;
            }
            continue;
        }
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let request_id = header("request-id");
        let expected = header("expect-instance");
        let bytes = if !expected.is_empty() && expected != id {
            response("421 Misdirected Request", &format!("Request-Id: {request_id}\r\n"), b"")
        } else if request_id.is_empty() {
            response("400 Bad Request", "Not-Executed: 1\r\n", b"")
        } else {
            let run = Run {
                at: Instant::now(),
                request: request_id.clone(),
                service: service.to_owned(),
                worker: id.to_owned(),
                tenant: header("tenant"),
            };
            runs.lock().unwrap().push(run);
            thread::sleep(Duration::from_millis(15));
            let notice = notice.lock().unwrap().clone();
            let headers =
                format!("Request-Id: {request_id}\r\nResponse-Seal: seal-{id}\r\n{notice}");
            response("200 OK", &headers, format!("{request_id} by {id}").as_bytes())
        };
        if !write(&reader.stream, &bytes) {
            return;
        }
    }
}
