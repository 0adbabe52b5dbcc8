//! Upstreams: model engines and workers of plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::FailureDomainId;
use crate::PoolId;
use crate::UpstreamId;

/// Kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine that streams tokens.
    Engine,
    /// A worker of a plain HTTP service.
    Service,
}

/// A model engine or a worker of a plain service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Name, unique among the upstreams.
    pub id: UpstreamId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Whether it is a model engine or a plain service.
    pub kind: UpstreamKind,
    /// Names of the models, or of the plain service, that it serves.
    pub pools: Vec<PoolId>,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
    /// Maximum number of requests that it runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it rejects orders that carry an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether an operator has taken it out of service.
    #[serde(default)]
    pub drained: bool,
    /// Orders that bring the engine to the declared state, executed in sequence.
    #[serde(default, rename = "order", skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<EngineOrder>,
}

/// Action of an [`EngineOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelAction {
    /// Loads a model, an adapter or a version of either.
    Load,
    /// Unloads a model, an adapter or a version of either.
    Unload,
    /// Changes the engine's role.
    SetRole,
}

/// An order to an engine, declared by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Action to execute.
    pub action: ModelAction,
    /// Model, adapter, version or role to which the action applies.
    pub subject: Arc<str>,
}

const fn default_slots() -> u32 {
    8
}
