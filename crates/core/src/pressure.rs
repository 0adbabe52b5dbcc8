//! Queue pressure: reports of requests that are queued for capacity, exchanged between VMs.

use serde::Deserialize;
use serde::Serialize;

use crate::PoolId;
use crate::Tier;

/// Report that a request of a tier was queued for a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PressureEntry {
    /// Pool for which the request was queued.
    pub pool: PoolId,
    /// Highest tier with a queued request.
    pub tier: Tier,
    /// Age of the report in milliseconds.
    pub age_ms: u32,
}

/// Reports from one VM, or merged from several.
///
/// Merging keeps the most recent report for each pool and tier. It is idempotent, so a digest may
/// arrive by several paths and be forwarded any number of times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PressureDigest {
    /// Entries, at most one for each pool and tier.
    pub entries: Vec<PressureEntry>,
}
