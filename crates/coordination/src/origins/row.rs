//! Rows in the store with the origins of streams.
//!
//! A failure domain has a fixed number of rows, which it overwrites in turn, so that nothing has to be
//! deleted. A row is not dated: what began a stream does not change, so an old row does no harm.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_core::PoolId;
use cranberryvalve_core::SoftwareVersion;
use serde::Deserialize;
use serde::Serialize;

use super::StreamKey;
use super::StreamOrigin;

/// Minimum interval between two rows of a failure domain.
pub const ROW_INTERVAL: Duration = Duration::from_secs(1);

/// Number of rows of a failure domain. Callers wait for a response for less than that many intervals.
const ROWS: u64 = 32;

/// Maximum number of streams in a row, about 20 bytes each. A failure domain of 340 VMs in 8 begins 340
/// in a second.
pub const MAX_ROW_STREAMS: usize = 2_000;

/// Origins of the streams that the VMs of a failure domain have told of in one interval.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginRow {
    origins: Vec<StreamsOfOrigin>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StreamsOfOrigin {
    pool: PoolId,
    version: SoftwareVersion,
    /// Keys in hexadecimal: not every reader of JSON has whole numbers of 64 bits.
    streams: Vec<Arc<str>>,
}

impl OriginRow {
    /// Creates a row with these streams.
    pub fn new(streams: &[(StreamKey, StreamOrigin)]) -> Self {
        let mut by_origin: BTreeMap<(&PoolId, &SoftwareVersion), Vec<Arc<str>>> = BTreeMap::new();
        for (stream, origin) in streams {
            let of_origin = by_origin.entry((&origin.pool, &origin.software_version)).or_default();
            of_origin.push(format!("{stream:x}").into());
        }
        let origins = by_origin.into_iter().map(|((pool, version), streams)| StreamsOfOrigin {
            pool: pool.clone(),
            version: version.clone(),
            streams,
        });
        Self { origins: origins.collect() }
    }

    /// Returns the streams of the row; those whose key cannot be read are left out.
    pub fn streams(&self) -> impl Iterator<Item = (StreamKey, StreamOrigin)> {
        self.origins.iter().flat_map(|it| {
            let keys = it.streams.iter().filter_map(|it| StreamKey::from_str_radix(it, 16).ok());
            keys.map(|key| {
                let (pool, software_version) = (it.pool.clone(), it.version.clone());
                (key, StreamOrigin { pool, software_version })
            })
        })
    }
}

/// Returns the key of the row that a failure domain writes at `unix_time`. A VM that takes over goes on
/// where the one before it ended, as far as their clocks agree.
pub fn row_key(failure_domain: &str, unix_time: Duration) -> String {
    format!("{failure_domain}-{}", unix_time.as_secs() % ROWS)
}
