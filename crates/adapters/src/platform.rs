//! The platform's table service, object store and list of VMs, over HTTP.
//!
//! Rows have a version in the `ETag` header. Writes carry `If-None-Match: *` or `If-Match` and are
//! refused with status 412 when the condition does not hold. No connection is kept: one that has
//! gone silent would be found only by the time-out of a call.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::store::Expected;
use cranberryvalve_coordination::store::Row;
use cranberryvalve_coordination::store::RowVersion;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_coordination::store::StoreError;
use cranberryvalve_coordination::store::WriteResult;
use cranberryvalve_core::UpstreamId;
use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;
use ureq::http::Response;

/// Time for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a whole call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest row or object that is read, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    agent: Agent,
    address: SocketAddr,
}

/// A copy of the platform's list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Revision; higher is newer.
    pub revision: u64,
    /// VMs of cranberryvalve.
    pub entry_vms: Vec<PeerAddress>,
    /// Upstreams.
    pub upstreams: Vec<ListedUpstream>,
}

/// An upstream in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Name.
    pub id: UpstreamId,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Why the list of VMs could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListUnavailable;

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
    /// Fails when the platform does not answer in time or not with a list.
    pub fn vm_list(&self) -> Result<VmList, ListUnavailable> {
        let response = self.agent.get(self.url("vms", "")).call().map_err(|_| ListUnavailable)?;
        let body = read_body(response).map_err(|_| ListUnavailable)?;
        serde_json::from_slice(&body).map_err(|_| ListUnavailable)
    }

    fn url(&self, kind: &str, key: &str) -> String {
        format!("http://{}/{kind}/{key}", self.address)
    }
}

impl Store for PlatformClient {
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let response = self.agent.get(self.url("tables", key)).call().map_err(|it| error(&it))?;
        match response.status().as_u16() {
            200 => {
                let version = version(&response)?;
                let value = read_body(response)?;
                Ok(Some(Row { version, value }))
            }
            404 => Ok(None),
            _ => Err(StoreError::Rejected),
        }
    }

    fn write(
        &self,
        key: &str,
        expected: Expected,
        value: &[u8],
    ) -> Result<WriteResult, StoreError> {
        let request = self.agent.put(self.url("tables", key));
        let request = match expected {
            Expected::Absent => request.header("if-none-match", "*"),
            Expected::Version(version) => request.header("if-match", version.to_string()),
        };
        let response = request.send(value).map_err(|it| error(&it))?;
        match response.status().as_u16() {
            200 | 201 => version(&response).map(WriteResult::Written),
            412 => Ok(WriteResult::Conflict),
            503 => Err(StoreError::Rejected),
            _ => Err(StoreError::InDoubt),
        }
    }

    fn put_object(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let request = self.agent.put(self.url("objects", key));
        let response = request.send(value).map_err(|it| error(&it))?;
        match response.status().as_u16() {
            200 | 201 => Ok(()),
            _ => Err(StoreError::Rejected),
        }
    }

    fn fetch_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let response = self.agent.get(self.url("objects", key)).call().map_err(|it| error(&it))?;
        match response.status().as_u16() {
            200 => read_body(response).map(Some),
            404 => Ok(None),
            _ => Err(StoreError::Rejected),
        }
    }
}

/// A store that is shared between threads.
pub type SharedStore = Arc<dyn Store>;

fn version(response: &Response<ureq::Body>) -> Result<RowVersion, StoreError> {
    let header = response.headers().get("etag").and_then(|it| it.to_str().ok());
    header.and_then(|it| it.trim_matches('"').parse().ok()).ok_or(StoreError::InDoubt)
}

fn read_body(response: Response<ureq::Body>) -> Result<Vec<u8>, StoreError> {
    let mut body = Vec::new();
    let mut reader = response.into_body().into_reader().take(MAX_BODY_BYTES);
    reader.read_to_end(&mut body).map_err(|_| StoreError::InDoubt)?;
    Ok(body)
}

/// Only a connection that was never made tells for certain that nothing was carried out.
fn error(error: &ureq::Error) -> StoreError {
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
