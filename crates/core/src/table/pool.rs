//! Pools of upstreams.

use serde::Deserialize;
use serde::Serialize;

use crate::PoolId;

/// Declared properties of a pool of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PoolSpec {
    /// Name of the pool.
    pub id: PoolId,
    /// Maximum number of connections that one upstream accepts from all VMs together.
    pub max_connections: u32,
    /// Properties of the model engines; `None` for a pool of plain services.
    pub engine: Option<EngineSpec>,
}

/// Declared properties of the model engines of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EngineSpec {
    /// Maximum number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory of an engine for prompts and responses, in tokens.
    pub memory_tokens: u64,
}
