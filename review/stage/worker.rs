//! A stand-in for a worker, which runs requests and registers itself in the store.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Head;
use crate::http::Reader;
use crate::record::Record;
use crate::store::HEARTBEAT;
use crate::store::Store;

/// Last part of the prompt of a request that crashes each worker that begins to run it.
pub const CRASHING_PART: &str = "dead:371";

/// What a worker does with the requests that it gets.
#[derive(Debug, Clone)]
pub struct Work {
    /// Time that a plain request takes.
    pub time: Duration,
    /// Number of events of a stream, and the time between two of them.
    pub events: u64,
    pub gap: Duration,
}

/// A request that a worker has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub at: Instant,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    work: Work,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    /// Requests a second that the worker takes from all machines together, which it names.
    limit: Mutex<Option<u32>>,
    process: Mutex<Option<Arc<Process>>>,
}

/// One start of a worker.
struct Process {
    version: String,
    born: u128,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Worker {
    /// Creates a worker that is not started yet.
    pub fn new(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        work: Work,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.into(),
            address: crate::node::free_address(),
            service: service.into(),
            zone: zone.into(),
            slots,
            work,
            store: store.clone(),
            record: record.clone(),
            runs: Mutex::default(),
            limit: Mutex::default(),
            process: Mutex::default(),
        })
    }

    /// Starts a process with this version of the software, which writes its first entry after `delay`
    /// and then in each heartbeat.
    pub fn start(self: &Arc<Self>, version: &str, delay: Duration) {
        let listener = TcpListener::bind(self.address).expect("the worker's port");
        listener.set_nonblocking(true).expect("a socket");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        let process = Arc::new(Process {
            version: version.into(),
            born,
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        *self.process.lock().unwrap() = Some(process.clone());
        self.record.line(&format!("worker {} starts, version {version}", self.id));
        let (worker, acceptor) = (self.clone(), process.clone());
        thread::spawn(move || {
            while !acceptor.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                acceptor.connections.lock().unwrap().extend(stream.try_clone());
                let (worker, process) = (worker.clone(), acceptor.clone());
                thread::spawn(move || worker.serve(&process, Reader::new(stream)));
            }
        });
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let mut is_first = true;
            while !process.ended.load(Ordering::SeqCst) {
                worker.store.beat(&worker.id, &worker.entry(&process));
                if std::mem::take(&mut is_first) {
                    worker.record.line(&format!("worker {} has written its entry", worker.id));
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the process without notice; its connections end with it.
    pub fn crash(&self) {
        let Some(process) = self.process.lock().unwrap().take() else { return };
        process.ended.store(true, Ordering::SeqCst);
        // The listening socket is closed within this time.
        thread::sleep(Duration::from_millis(5));
        for connection in process.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("worker {} crashes", self.id));
    }

    pub fn is_running(&self) -> bool {
        self.process.lock().unwrap().is_some()
    }

    pub fn name_limit(&self, limit: Option<u32>) {
        *self.limit.lock().unwrap() = limit;
    }

    /// Returns whether the worker has begun to run a request.
    pub fn has_run(&self, request: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|it| it.request == request)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn entry(&self, process: &Process) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"ready","coldRemainingMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"callSeq":0,"born":{}}}"#,
            self.service, self.address, self.zone, process.version, self.slots, process.born
        )
    }

    fn serve(&self, process: &Process, mut reader: Reader) {
        while let Ok(Some(head)) = reader.head() {
            let Ok(_) = reader.body(&head) else { return };
            let is_open = match head.word(1) {
                "/-/report" => reader.send(&plain_answer("200 OK", "", &self.report(process))),
                "/healthz" => {
                    let headers = format!("Instance-Id: {}\r\n", self.id);
                    reader.send(&plain_answer("200 OK", &headers, ""))
                }
                _ => self.run(process, &mut reader, &head),
            };
            if is_open.is_err() || process.ended.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn report(&self, process: &Process) -> String {
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"callSeq":0,"waiting":0,"running":1,"kvUsed":0,"kvTotal":245097,"handles":0,"state":"ready","born":{}}}"#,
            process.born
        )
    }

    fn run(&self, process: &Process, reader: &mut Reader, head: &Head) -> std::io::Result<()> {
        let request = head.get("request-id").unwrap_or_default().to_owned();
        if head.get("expect-instance").is_some_and(|it| it != self.id) {
            let headers = format!("Instance-Id: {}\r\n", self.id);
            return reader.send(&plain_answer("421 Misdirected Request", &headers, ""));
        }
        if head.get("prompt-prefix").is_some_and(|it| it.contains(CRASHING_PART)) {
            self.runs.lock().unwrap().push(Run { request: request.clone(), at: Instant::now() });
            self.record.line(&format!("worker {} begins to run {request}", self.id));
            self.crash();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let limit = *self.limit.lock().unwrap();
        let limit = limit.map(|it| format!("Server-Limit: {it}\r\n")).unwrap_or_default();
        self.runs.lock().unwrap().push(Run { request: request.clone(), at: Instant::now() });
        let (method, tenant) = (head.word(0), head.get("tenant").unwrap_or("-"));
        self.record.line(&format!(
            "worker {} ({}) runs {request}: {method} {}, tenant {tenant}, last event {}",
            self.id,
            process.version,
            head.word(1),
            head.get("last-event-id").unwrap_or("-"),
        ));
        let headers =
            format!("{limit}Request-Id: {request}\r\nResponse-Seal: {}.{request}\r\n", self.id);
        if head.get("token-usage").is_some() {
            return self.stream(process, reader, head, &headers);
        }
        thread::sleep(self.work.time);
        let body = format!("{:-<800}", format!("answer to {request} "));
        if method == "HEAD" {
            // The head of the answer to GET, and nothing after it (RFC 9110, section 9.3.2).
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n");
            return reader.send(head.as_bytes());
        }
        reader.send(&plain_answer("200 OK", &headers, &body))
    }

    /// Sends the events of a stream, from the one after `Last-Event-Id`. Their data names the version.
    fn stream(
        &self,
        process: &Process,
        reader: &mut Reader,
        head: &Head,
        headers: &str,
    ) -> std::io::Result<()> {
        let last = head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        reader.send(
            format!(
                "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        for id in last + 1..=self.work.events {
            thread::sleep(self.work.gap);
            let event = format!("id: {id}\ndata: {}\n\n", process.version);
            reader.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        reader.send(b"0\r\n\r\n")
    }
}

fn plain_answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}
