//! Upstreams that are shutting down.

use serde::Deserialize;
use serde::Serialize;

use crate::UpstreamId;

/// An upstream that is shutting down, as VMs tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Departure {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start of the upstream that is shutting down; a later start is not affected.
    pub incarnation: u64,
}
