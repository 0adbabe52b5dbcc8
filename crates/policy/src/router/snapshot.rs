//! A dump of the router's state.

use std::collections::BTreeMap;
use std::time::Instant;

use cranberryvalve_core::PoolId;
use cranberryvalve_core::PressureEntry;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

use super::Router;
use crate::CircuitState;

/// State of a router at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterSnapshot {
    /// Requests queued or in flight.
    pub live_requests: usize,
    /// Queues by pool.
    pub pools: Vec<PoolSnapshot>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamSnapshot>,
    /// Evidence of waiting requests, own and heard.
    pub pressure: Vec<PressureEntry>,
}

/// State of one pool's queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSnapshot {
    /// Pool.
    pub pool: PoolId,
    /// Waiting requests by tier.
    pub waiting_by_tier: BTreeMap<Tier, usize>,
}

/// State of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSnapshot {
    /// Upstream.
    pub id: UpstreamId,
    /// Requests of this VM in flight.
    pub own_in_flight: u32,
    /// Estimated requests of all VMs in flight.
    pub estimated_in_flight: u32,
    /// Whether some source says that it leaves.
    pub leaving: bool,
    /// Whether an operator has taken it out of service.
    pub drained: bool,
    /// State of its circuit.
    pub circuit: CircuitState,
    /// Mean time between tokens in milliseconds, when known.
    pub token_interval_ms: Option<f64>,
}

impl Router {
    /// Takes a dump of the state.
    pub fn snapshot(&self, now: Instant) -> RouterSnapshot {
        let pools = self.queues.iter().map(|(pool, queue)| PoolSnapshot {
            pool: pool.clone(),
            waiting_by_tier: queue.len_by_tier(),
        });
        let upstreams = self.upstreams.iter().map(|it| UpstreamSnapshot {
            id: it.spec.id.clone(),
            own_in_flight: it.load.own_in_flight(),
            estimated_in_flight: it.load.at_or_above(now, Tier::MAX),
            leaving: it.leaving,
            drained: it.spec.drained,
            circuit: it.circuit.state(now),
            token_interval_ms: it.pace.mean_ms(),
        });
        RouterSnapshot {
            live_requests: self.live_requests(),
            pools: pools.collect(),
            upstreams: upstreams.collect(),
            pressure: self.pressure(now).entries,
        }
    }
}
