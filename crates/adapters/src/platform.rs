//! HTTP client of the platform's table service, object store and VM list.
//!
//! The version of a row is in the `ETag` header. Writes are conditional: they carry
//! `If-None-Match: *` or `If-Match`, and the platform rejects them with status 412 if the condition
//! does not hold. All responses of the table service carry the era of the store in `Store-Era`, and
//! writes carry the required era in `If-Store-Era`; a write in another era is rejected with 412, too.
//! Connections are not reused, since a dead one would be noticed only when a call
//! times out.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::store::Condition;
use cranberryvalve_coordination::store::Expected;
use cranberryvalve_coordination::store::Row;
use cranberryvalve_coordination::store::RowVersion;
use cranberryvalve_coordination::store::Snapshot;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_coordination::store::StoreError;
use cranberryvalve_coordination::store::WriteResult;
use cranberryvalve_core::StoreEra;
use cranberryvalve_core::UpstreamId;
use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;
use ureq::http::Response;

use crate::upstream::is_framed;

/// Timeout for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a whole call to the platform, including the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a row, object or VM list, in bytes; longer bodies are truncated.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Response header with the era of the store.
const ERA_HEADER: &str = "store-era";

/// Request header with the era in which a write may take effect.
const REQUIRED_ERA_HEADER: &str = "if-store-era";

/// HTTP client of the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    agent: Agent,
    address: SocketAddr,
}

/// The platform's list of VMs, as read at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// Revision of the list; a higher one is newer.
    pub revision: u64,
    /// VMs that run cranberryvalve.
    pub entry_vms: Vec<PeerAddress>,
    /// Upstreams, including those that are about to leave.
    pub upstreams: Vec<UpstreamEntry>,
}

/// An upstream in a [`VmList`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// Error returned if the list of VMs cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmListError;

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self { agent: config.into(), address }
    }

    /// Reads the list of live and leaving VMs.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond in time, or responds with anything but a list.
    pub fn vm_list(&self) -> Result<VmList, VmListError> {
        let response = self.agent.get(self.url("vms", "")).call().map_err(|_| VmListError)?;
        let body = read_body(response).map_err(|_| VmListError)?;
        serde_json::from_slice(&body).map_err(|_| VmListError)
    }

    fn url(&self, kind: &str, key: &str) -> String {
        format!("http://{}/{kind}/{key}", self.address)
    }
}

impl Store for PlatformClient {
    fn read(&self, key: &str) -> Result<Snapshot, StoreError> {
        let response =
            self.agent.get(self.url("tables", key)).call().map_err(|it| store_error(&it))?;
        match response.status().as_u16() {
            200 => {
                let era = store_era(&response)?;
                let version = row_version(&response)?;
                let value = read_body(response)?;
                Ok(Snapshot { era, row: Some(Row { version, value }) })
            }
            404 => Ok(Snapshot { era: store_era(&response)?, row: None }),
            _ => Err(StoreError::Rejected),
        }
    }

    fn write(
        &self,
        key: &str,
        condition: Condition,
        value: &[u8],
    ) -> Result<WriteResult, StoreError> {
        let request = self.agent.put(self.url("tables", key));
        let request = request.header(REQUIRED_ERA_HEADER, condition.era.to_string());
        let request = match condition.expected {
            Expected::Absent => request.header("if-none-match", "*"),
            Expected::Version(version) => request.header("if-match", version.to_string()),
        };
        let response = request.send(value).map_err(|it| store_error(&it))?;
        match response.status().as_u16() {
            200 | 201 => row_version(&response).map(WriteResult::Written),
            412 => Ok(WriteResult::Conflict),
            503 => Err(StoreError::Rejected),
            _ => Err(StoreError::InDoubt),
        }
    }

    fn put_object(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let request = self.agent.put(self.url("objects", key));
        let response = request.send(value).map_err(|it| store_error(&it))?;
        match response.status().as_u16() {
            200 | 201 => Ok(()),
            _ => Err(StoreError::Rejected),
        }
    }

    fn fetch_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let response =
            self.agent.get(self.url("objects", key)).call().map_err(|it| store_error(&it))?;
        match response.status().as_u16() {
            200 => read_body(response).map(Some),
            404 => Ok(None),
            _ => Err(StoreError::Rejected),
        }
    }
}

/// A [`Store`] that is shared between threads.
pub type SharedStore = Arc<dyn Store>;

/// Returns the era of the store.
fn store_era(response: &Response<ureq::Body>) -> Result<StoreEra, StoreError> {
    let header = response.headers().get(ERA_HEADER).and_then(|it| it.to_str().ok());
    header.and_then(|it| it.trim().parse().ok()).ok_or(StoreError::InDoubt)
}

/// Returns the row version in the `ETag` header.
fn row_version(response: &Response<ureq::Body>) -> Result<RowVersion, StoreError> {
    let header = response.headers().get("etag").and_then(|it| it.to_str().ok());
    header.and_then(|it| it.trim_matches('"').parse().ok()).ok_or(StoreError::InDoubt)
}

/// Reads a body, which must be shown to be whole: a value that is cut off may be a valid one.
fn read_body(response: Response<ureq::Body>) -> Result<Vec<u8>, StoreError> {
    if !is_framed(response.headers()) {
        return Err(StoreError::InDoubt);
    }
    let mut body = Vec::new();
    let mut reader = response.into_body().into_reader().take(MAX_BODY_BYTES);
    reader.read_to_end(&mut body).map_err(|_| StoreError::InDoubt)?;
    Ok(body)
}

/// Classifies an error: only if no connection was made is it certain that nothing was carried out.
fn store_error(error: &ureq::Error) -> StoreError {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound => StoreError::Rejected,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Rejected
        }
        _ => StoreError::InDoubt,
    }
}
