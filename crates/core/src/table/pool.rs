//! Pools of upstreams.

use crate::PoolId;

/// What is declared of a pool of upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolProfile {
    /// Pool.
    pub id: PoolId,
    /// Connections that one upstream accepts from all VMs together.
    pub max_connections: u32,
    /// Set when the upstreams are model engines.
    pub engine: Option<EngineProfile>,
}

/// What is declared of the model engines of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that an engine runs at the same time.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
}
