//! Upstreams: model engines and plain-service workers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::FailureDomainId;
use crate::PoolId;
use crate::UpstreamId;

/// What kind of upstream it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine that streams tokens.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// One model engine or plain-service worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Unique name.
    pub id: UpstreamId,
    /// Address by IP number.
    pub address: SocketAddr,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// Models, or the plain service, that it serves.
    pub pools: Vec<PoolId>,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Requests that it runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses an order that carries an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether an operator has taken it out of service.
    #[serde(default)]
    pub drained: bool,
    /// Orders that bring the engine to the declared state, carried out in sequence.
    #[serde(default, rename = "order", skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<EngineOrder>,
}

/// What an order does with a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelAction {
    /// Loads a model, an adapter or a version of either.
    Load,
    /// Unloads it.
    Unload,
    /// Changes the engine's role.
    SetRole,
}

/// An order to an engine, declared by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// What to do.
    pub action: ModelAction,
    /// Model, adapter, version or role that the action is about.
    pub subject: Arc<str>,
}

const fn default_slots() -> u32 {
    8
}
