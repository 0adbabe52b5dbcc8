//! The scheduler's state, for people.

use std::time::Instant;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use serde::Serialize;

use super::Scheduler;
use super::queue::CallQueue;
use super::upstream::Upstream;
use crate::CircuitState;

/// A copy of what the scheduler believes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SchedulerSnapshot {
    /// VMs that share budgets and connections.
    pub vms: u32,
    /// Calls that wait or are in flight.
    pub live_calls: usize,
    /// Calls that wait.
    pub waiting_calls: usize,
    /// Retries left, by pool.
    pub retries_left: Vec<PoolRetries>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamState>,
}

/// Retries that a pool has left on this VM.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolRetries {
    /// Pool.
    pub pool: PoolId,
    /// Retries.
    pub retries: f64,
}

/// What is believed of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamState {
    /// Upstream.
    pub id: UpstreamId,
    /// Pool.
    pub pool: PoolId,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether another upstream has taken over its address.
    pub is_gone: bool,
    /// State of its circuit breaker.
    pub circuit: CircuitState,
    /// Calls of this VM in flight.
    pub own_in_flight: u32,
    /// Calls of all VMs in flight, as far as they are known.
    pub in_flight: u32,
    /// Estimated time until the prompts sent so far are read, in milliseconds.
    pub backlog_ms: u64,
    /// Age of the oldest figure of another VM in use, in milliseconds.
    pub peer_age_ms: u64,
}

impl Scheduler {
    /// A copy of what is believed at `now`.
    pub fn snapshot(&self, now: Instant) -> SchedulerSnapshot {
        SchedulerSnapshot {
            vms: self.vms,
            live_calls: self.calls.len(),
            waiting_calls: self.queues.values().flat_map(CallQueue::ids).count(),
            retries_left: self.budget.left(),
            upstreams: self.upstreams.values().map(|it| it.state(now)).collect(),
        }
    }
}

impl Upstream {
    fn state(&self, now: Instant) -> UpstreamState {
        let millis = |it: std::time::Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
        UpstreamState {
            id: self.record.id.clone(),
            pool: self.record.pool.clone(),
            failure_domain: self.record.failure_domain.clone(),
            is_leaving: self.record.is_leaving,
            is_gone: self.is_gone,
            circuit: self.circuit.state(now),
            own_in_flight: self.own_in_flight(),
            in_flight: self.in_flight(now),
            backlog_ms: millis(self.backlog(now, Tier::MAX)),
            peer_age_ms: millis(self.peer_age(now)),
        }
    }
}
