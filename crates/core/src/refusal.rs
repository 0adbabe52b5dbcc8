//! Refusals of upstreams, as VMs tell each other of them.

use serde::Deserialize;
use serde::Serialize;

use crate::UpstreamId;

/// Maximum number of VMs that are told of a refusal. All others hear of it in deployments that are no
/// larger.
pub const MAX_REFUSAL_RECEIVERS: usize = 64;

/// An upstream that fails under too many refusals had no room for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamRefusal {
    /// Upstream that refused the request.
    pub upstream: UpstreamId,
    /// Start of the upstream.
    pub incarnation: u64,
    /// Time in milliseconds for which no VM sends to the upstream.
    pub pause_ms: u32,
}
