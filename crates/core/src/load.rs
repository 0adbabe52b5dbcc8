//! Work that a VM has at an upstream.

use serde::Deserialize;
use serde::Serialize;

use crate::UpstreamId;

/// Work at one upstream, as VMs tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Requests in flight.
    pub in_flight: u16,
    /// Estimated time until the prompts among them are read, in milliseconds.
    pub backlog_ms: u16,
}
