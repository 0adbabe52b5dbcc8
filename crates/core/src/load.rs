//! Load that a VM puts on an upstream.

use serde::Deserialize;
use serde::Serialize;

use crate::Tier;
use crate::UpstreamId;

/// Load on one upstream, as exchanged between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Number of requests in flight.
    pub in_flight: u16,
    /// Estimated time to prefill the prompts of these requests, by tier.
    pub backlog: Vec<TierBacklog>,
}

/// Estimated time to prefill the prompts of one tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TierBacklog {
    /// Tier of the requests.
    pub tier: Tier,
    /// Prefill time in milliseconds.
    #[serde(rename = "read_ms")]
    pub prefill_ms: u16,
}
