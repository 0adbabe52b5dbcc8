//! A fake platform: the table service, the object store and the list of VMs.

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
use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::caller::ServerLimits;
use cranberryvalve_adapters::platform::UpstreamEntry;
use cranberryvalve_adapters::platform::VmList;
use cranberryvalve_coordination::peer::PeerAddress;

use crate::engine::lock;
use crate::ports::ANY_PORT;

/// Faults that the platform injects.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Whether the platform closes every connection without a response.
    pub down: bool,
    /// Whether requests for tables and objects get no response, while the list is available.
    pub tables_down: bool,
    /// Delay before each request is handled.
    pub delay: Duration,
    /// Number of further row writes that take effect without a response.
    pub lost_write_replies: u32,
    /// Number of further row writes that take effect only after the connection has been closed.
    pub late_writes: u32,
    /// Delay after which a late write takes effect.
    pub late_write_delay: Duration,
    /// Whether the list is outdated and shows leaving upstreams as live.
    pub list_is_stale: bool,
}

/// Number of requests that the platform has handled, by type.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Number of row reads.
    pub row_reads: u64,
    /// Number of row writes, including those whose condition did not hold.
    pub row_writes: u64,
    /// Number of object writes.
    pub object_writes: u64,
    /// Number of object reads.
    pub object_reads: u64,
    /// Number of reads of the VM list.
    pub list_reads: u64,
}

/// A fake platform that runs until it is dropped.
pub struct Platform {
    shared: Arc<Shared>,
    server: CallerServer,
}

#[derive(Default)]
struct Shared {
    faults: Mutex<PlatformFaults>,
    table: Mutex<Table>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    list: Mutex<VmList>,
    counts: Mutex<PlatformCounts>,
}

/// Rows of the table service.
#[derive(Debug, Default)]
struct Table {
    /// Number of times that the rows were restored.
    era: u64,
    rows: BTreeMap<String, StoredRow>,
    copy: BTreeMap<String, StoredRow>,
}

#[derive(Debug, Clone)]
struct StoredRow {
    version: u64,
    value: Vec<u8>,
}

impl Platform {
    /// Starts a platform without any data on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot listen.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::new(Handler { shared: shared.clone() });
        let server = CallerServer::start(ANY_PORT, ServerLimits::default(), handler)?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the platform listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Keeps a copy of the rows for [`Platform::restore`].
    pub fn keep_copy(&self) {
        let mut table = lock(&self.shared.table);
        table.copy = table.rows.clone();
    }

    /// Restores the rows from the copy, which starts a new era. Objects are kept.
    pub fn restore(&self) {
        let mut table = lock(&self.shared.table);
        table.rows = table.copy.clone();
        table.era += 1;
    }

    /// Returns the number of requests so far.
    pub fn counts(&self) -> PlatformCounts {
        *lock(&self.shared.counts)
    }

    /// Adds a VM of cranberryvalve to the list, or replaces its entry.
    pub fn list_vm(&self, vm: PeerAddress) {
        let mut list = lock(&self.shared.list);
        list.revision += 1;
        list.entry_vms.retain(|it| it.vm != vm.vm);
        list.entry_vms.push(vm);
    }

    /// Adds an upstream to the list as live or leaving, or replaces its entry.
    pub fn list_upstream(&self, id: &str, leaving: bool) {
        let mut list = lock(&self.shared.list);
        list.revision += 1;
        list.upstreams.retain(|it| &*it.id != id);
        list.upstreams.push(UpstreamEntry { id: id.into(), leaving });
    }

    /// Returns the value of a row; `None` if it does not exist.
    pub fn row(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.shared.table).rows.get(key).map(|it| it.value.clone())
    }

    /// Returns the keys that start with `prefix`, in ascending order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let table = lock(&self.shared.table);
        table.rows.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
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
            ("GET", Some(("tables", key))) => self.read_row(key, responder),
            ("PUT", Some(("tables", key))) => self.write_row(key, request, responder),
            ("GET", Some(("objects", key))) => self.read_object(key, responder),
            ("PUT", Some(("objects", key))) => self.write_object(key, request.body, responder),
            ("GET", Some(("vms", _))) => self.send_list(responder),
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
    fn read_row(&self, key: &str, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).row_reads += 1;
        let table = lock(&self.shared.table);
        let (era, row) = (table.era.to_string(), table.rows.get(key).cloned());
        drop(table);
        let _ = match row {
            Some(row) => {
                let etag = format!("\"{}\"", row.version);
                responder.respond(200, &[("etag", &etag), ("store-era", &era)], &row.value)
            }
            None => responder.respond(404, &[("store-era", &era)], b""),
        };
    }

    fn write_row(&self, key: &str, request: CallerRequest, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).row_writes += 1;
        if consume_fault(&mut lock(&self.shared.faults).late_writes) {
            self.write_row_late(key.to_owned(), request);
            responder.close();
            return;
        }
        let version = self.shared.write_row(key, &request.head, request.body);
        if consume_fault(&mut lock(&self.shared.faults).lost_write_replies) {
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

    fn write_row_late(&self, key: String, request: CallerRequest) {
        let shared = self.shared.clone();
        let late_write_delay = lock(&shared.faults).late_write_delay;
        thread::spawn(move || {
            thread::sleep(late_write_delay);
            shared.write_row(&key, &request.head, request.body);
        });
    }

    fn read_object(&self, key: &str, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).object_reads += 1;
        let object = lock(&self.shared.objects).get(key).cloned();
        let _ = match object {
            Some(object) => responder.respond(200, &[], &object),
            None => responder.respond(404, &[], b""),
        };
    }

    fn write_object(&self, key: &str, value: Vec<u8>, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).object_writes += 1;
        lock(&self.shared.objects).insert(key.to_owned(), value);
        let _ = responder.respond(200, &[], b"");
    }

    fn send_list(&self, responder: &mut Responder<'_>) {
        lock(&self.shared.counts).list_reads += 1;
        let mut list = lock(&self.shared.list).clone();
        if lock(&self.shared.faults).list_is_stale {
            list.upstreams.iter_mut().for_each(|it| it.leaving = false);
        }
        let body = serde_json::to_vec(&list).unwrap_or_default();
        let _ = responder.respond(200, &[("content-type", "application/json")], &body);
    }
}

impl Shared {
    /// Writes a row if the condition in the headers holds.
    ///
    /// Returns the new version, or `None` if the condition does not hold or is missing.
    fn write_row(&self, key: &str, head: &RequestHead, value: Vec<u8>) -> Option<u64> {
        let mut table = lock(&self.table);
        let current_version = table.rows.get(key).map(|it| it.version);
        let required_era = head.header("if-store-era").and_then(|it| it.parse().ok());
        let if_match = head.header("if-match").and_then(|it| it.trim_matches('"').parse().ok());
        let condition_holds = match (head.header("if-none-match"), if_match) {
            (Some("*"), _) => current_version.is_none(),
            (_, Some(expected)) => current_version == Some(expected),
            _ => false,
        };
        if !condition_holds || required_era != Some(table.era) {
            return None;
        }
        let version = current_version.unwrap_or(0) + 1;
        table.rows.insert(key.to_owned(), StoredRow { version, value });
        Some(version)
    }
}

/// Decrements a counter of pending faults, and returns whether it was above 0.
const fn consume_fault(remaining: &mut u32) -> bool {
    let is_pending = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_pending
}
