//! Evidence of requests that wait for capacity.

use serde::Deserialize;
use serde::Serialize;

use crate::PoolId;
use crate::Tier;

/// Evidence that a request of a tier waited for a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PressureEntry {
    /// Pool.
    pub pool: PoolId,
    /// Highest tier that waited.
    pub tier: Tier,
    /// Age of the evidence in milliseconds.
    pub age_ms: u32,
}

/// Evidence from one VM or, merged, from many.
///
/// Merging keeps the youngest evidence for each pool and tier. It is idempotent, so a digest may
/// travel along several paths and be passed on any number of times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PressureDigest {
    /// One entry for each pool and tier.
    pub entries: Vec<PressureEntry>,
}
