//! The platform: table service, object store and list of VMs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use cranberryvalve_adapters::caller::CallerHandler;
use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::CallerServer;
use cranberryvalve_adapters::caller::Limits;
use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::platform::ListedUpstream;
use cranberryvalve_adapters::platform::VmList;
use cranberryvalve_coordination::peer::PeerAddress;

use crate::engine::lock;
use crate::ports::ANY;

/// Faults of the platform.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Whether it closes every connection at once.
    pub down: bool,
    /// Whether tables and objects are down, but not the list.
    pub tables_down: bool,
    /// Time that each call takes.
    pub delay: Duration,
    /// Writes that take effect and whose reply is lost.
    pub lose_write_replies: u32,
    /// Writes that take effect only after the caller has lost the connection.
    pub late_writes: u32,
    /// Time after which a late write takes effect.
    pub late_by: Duration,
    /// Whether the list still shows leaving upstreams as live.
    pub stale_list: bool,
}

/// Calls that the platform has carried out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads of rows.
    pub reads: u64,
    /// Writes of rows, with and without effect.
    pub writes: u64,
    /// Objects put.
    pub puts: u64,
    /// Objects fetched.
    pub fetches: u64,
    /// Reads of the list.
    pub lists: u64,
}

/// A platform that runs until it is dropped.
pub struct Platform {
    shared: Arc<Shared>,
    server: CallerServer,
}

#[derive(Default)]
struct Shared {
    faults: Mutex<PlatformFaults>,
    rows: Mutex<BTreeMap<String, StoredRow>>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    list: Mutex<VmList>,
    counts: Mutex<PlatformCounts>,
}

#[derive(Debug, Clone)]
struct StoredRow {
    version: u64,
    value: Vec<u8>,
}

impl Platform {
    /// Starts a platform without rows.
    ///
    /// # Errors
    ///
    /// Fails when it cannot listen.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::new(Handler { shared: shared.clone() });
        let server = CallerServer::start(ANY, Limits::default(), handler)?;
        Ok(Self { shared, server })
    }

    /// Address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes its faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Calls so far.
    pub fn counts(&self) -> PlatformCounts {
        *lock(&self.shared.counts)
    }

    /// Adds a VM of cranberryvalve to the list.
    pub fn list_vm(&self, vm: PeerAddress) {
        let mut list = lock(&self.shared.list);
        list.revision += 1;
        list.entry_vms.retain(|it| it.vm != vm.vm);
        list.entry_vms.push(vm);
    }

    /// Lists an upstream as live or leaving.
    pub fn list_upstream(&self, id: &str, leaving: bool) {
        let mut list = lock(&self.shared.list);
        list.revision += 1;
        list.upstreams.retain(|it| &*it.id != id);
        list.upstreams.push(ListedUpstream { id: id.into(), leaving });
    }

    /// Value of a row.
    pub fn row(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.shared.rows).get(key).map(|it| it.value.clone())
    }

    /// Keys of the rows that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let rows = lock(&self.shared.rows);
        rows.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.close();
    }
}

struct Handler {
    shared: Arc<Shared>,
}

impl CallerHandler for Handler {
    fn handle(&self, request: CallerRequest, _stream: &TcpStream, responder: &mut Responder<'_>) {
        let faults = lock(&self.shared.faults).clone();
        let is_list = request.head.path().starts_with("/vms");
        if faults.down || (faults.tables_down && !is_list) {
            responder.close();
            return;
        }
        thread::sleep(faults.delay);
        let target = request.head.target.to_string();
        let method = &*request.head.method;
        match (method, target.split_once('/').and_then(|it| it.1.split_once('/'))) {
            ("GET", Some(("tables", key))) => self.read(key, responder),
            ("PUT", Some(("tables", key))) => self.write(key, request, responder),
            ("GET", Some(("objects", key))) => self.fetch(key, responder),
            ("PUT", Some(("objects", key))) => self.put(key, request.body, responder),
            ("GET", Some(("vms", _))) => self.list(responder),
            _ => {
                let _ = responder.respond(404, &[], b"");
            }
        }
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let _ = responder.respond(status, &[], message.as_bytes());
    }
}

impl Handler {
    fn read(&self, key: &str, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).reads += 1;
        let row = lock(&self.shared.rows).get(key).cloned();
        let _ = match row {
            Some(row) => {
                let etag = format!("\"{}\"", row.version);
                responder.respond(200, &[("etag", &etag)], &row.value)
            }
            None => responder.respond(404, &[], b""),
        };
    }

    fn write(&self, key: &str, request: CallerRequest, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).writes += 1;
        if take_one(&mut lock(&self.shared.faults).late_writes) {
            self.write_late(key.to_owned(), request);
            responder.close();
            return;
        }
        let version = self.shared.write(key, &request.head, request.body);
        if take_one(&mut lock(&self.shared.faults).lose_write_replies) {
            responder.close();
            return;
        }
        let _ = match version {
            Some(version) => {
                let etag = format!("\"{version}\"");
                responder.respond(200, &[("etag", &etag)], b"")
            }
            None => responder.respond(412, &[], b""),
        };
    }

    fn write_late(&self, key: String, request: CallerRequest) {
        let shared = self.shared.clone();
        let late_by = lock(&shared.faults).late_by;
        thread::spawn(move || {
            thread::sleep(late_by);
            shared.write(&key, &request.head, request.body);
        });
    }

    fn fetch(&self, key: &str, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).fetches += 1;
        let object = lock(&self.shared.objects).get(key).cloned();
        let _ = match object {
            Some(object) => responder.respond(200, &[], &object),
            None => responder.respond(404, &[], b""),
        };
    }

    fn put(&self, key: &str, value: Vec<u8>, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).puts += 1;
        lock(&self.shared.objects).insert(key.to_owned(), value);
        let _ = responder.respond(200, &[], b"");
    }

    fn list(&self, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).lists += 1;
        let mut list = lock(&self.shared.list).clone();
        if lock(&self.shared.faults).stale_list {
            list.upstreams.iter_mut().for_each(|it| it.leaving = false);
        }
        let body = serde_json::to_vec(&list).unwrap_or_default();
        let _ = responder.respond(200, &[("content-type", "application/json")], &body);
    }
}

impl Shared {
    /// Writes a row when the condition in the headers holds; returns the new version.
    fn write(&self, key: &str, head: &RequestHead, value: Vec<u8>) -> Option<u64> {
        let mut rows = lock(&self.rows);
        let present = rows.get(key).map(|it| it.version);
        let if_match = head.header("if-match").and_then(|it| it.trim_matches('"').parse().ok());
        let holds = match (head.header("if-none-match"), if_match) {
            (Some("*"), _) => present.is_none(),
            (_, Some(expected)) => present == Some(expected),
            _ => false,
        };
        if !holds {
            return None;
        }
        let version = present.unwrap_or(0) + 1;
        rows.insert(key.to_owned(), StoredRow { version, value });
        Some(version)
    }
}

const fn take_one(left: &mut u32) -> bool {
    let has_one = *left > 0;
    *left = left.saturating_sub(1);
    has_one
}
