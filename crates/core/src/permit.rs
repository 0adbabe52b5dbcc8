//! Permits for single requests to upstreams that name a rate limit.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::UpstreamId;

/// What an upstream said of its rate limit, and how long ago.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateLimitNotice {
    /// Requests a second that the upstream takes from all VMs together; `None` if it names no limit
    /// any more.
    pub limit_per_s: Option<f64>,
    /// Time since the upstream said so.
    pub age: Duration,
}

/// Request of a VM to send a request to an upstream that names a rate limit.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRequest {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start of the upstream that named the limit.
    pub incarnation: u64,
    /// What the VM heard last.
    pub notice: RateLimitNotice,
}

/// Answer of an upstream's coordinator to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PermitVerdict {
    /// One request may be sent within this time.
    Granted(Duration),
    /// No request may be sent; ask again after this time.
    NotBefore(Duration),
    /// The upstream has lifted its limit since the VM heard of it.
    Lifted,
}
