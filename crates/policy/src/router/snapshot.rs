//! Snapshot of the router's state for operators.

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

/// State of a router at one point in time.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouterSnapshot {
    /// Number of requests queued or in flight.
    pub live_requests: usize,
    /// Queue of each pool.
    pub pools: Vec<PoolSnapshot>,
    /// State of each upstream.
    pub upstreams: Vec<UpstreamSnapshot>,
    /// Queue pressure on this VM, merged with that reported by other VMs.
    pub pressure: Vec<PressureEntry>,
}

/// State of one pool's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolSnapshot {
    /// Name of the pool.
    pub pool: PoolId,
    /// Number of queued requests by tier.
    pub waiting_by_tier: BTreeMap<Tier, usize>,
}

/// State of one upstream.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamSnapshot {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Number of requests that this VM has in flight.
    pub own_in_flight: u32,
    /// Estimated number of requests that all VMs have in flight.
    pub estimated_in_flight: u32,
    /// Whether it was reported to be shutting down.
    pub leaving: bool,
    /// Whether an operator has taken it out of service.
    pub drained: bool,
    /// State of its circuit breaker.
    pub circuit: CircuitState,
    /// Mean time between tokens in milliseconds; `None` if there are too few samples.
    pub token_interval_ms: Option<f64>,
}

impl Router {
    /// Returns a snapshot of the state at `now`.
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
            token_interval_ms: it.token_interval.mean_ms(),
        });
        RouterSnapshot {
            live_requests: self.live_requests(),
            pools: pools.collect(),
            upstreams: upstreams.collect(),
            pressure: self.pressure(now).entries,
        }
    }
}
