//! Snapshots of the scheduler's state for operators.

use std::collections::HashMap;
use std::time::Instant;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use serde::Serialize;

use super::Scheduler;
use super::lanes::Lane;
use super::lanes::Lanes;
use super::queue::CallQueue;
use super::upstream::Upstream;
use crate::CircuitState;

/// A snapshot of the scheduler's state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct SchedulerSnapshot {
    /// Number of VMs that share the retry budgets and the connection limits of upstreams.
    pub vms: u32,
    /// Number of calls that are queued or in flight.
    pub live_calls: usize,
    /// Number of calls that are queued.
    pub waiting_calls: usize,
    /// Retries that are left on this VM, by pool.
    pub retries_left: Vec<PoolRetries>,
    /// State of each upstream in the directory.
    pub upstreams: Vec<UpstreamState>,
}

/// Retries that a pool has left on this VM.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PoolRetries {
    /// Pool that the retries are for.
    pub pool: PoolId,
    /// Number of retries left; requests earn fractions of a retry.
    pub retries: f64,
}

/// The state of an upstream as this VM knows it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct UpstreamState {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Pool that the upstream serves.
    pub pool: PoolId,
    /// Failure domain that the upstream runs in.
    pub failure_domain: FailureDomainId,
    /// Version of the software that the upstream runs.
    pub software_version: SoftwareVersion,
    /// Whether the upstream is shutting down and gets no new requests.
    pub is_leaving: bool,
    /// Whether the upstream's address now belongs to another upstream.
    pub is_gone: bool,
    /// Time, in milliseconds, until a pause that the upstream asked for ends; 0 if there is none.
    pub pause_ms: u64,
    /// Rate limit that the upstream named, in requests a second; `None` if there is none.
    pub limit_per_s: Option<f64>,
    /// State of the upstream's circuit breaker.
    pub circuit: CircuitState,
    /// Number of this VM's calls in flight.
    pub own_in_flight: u32,
    /// Number of calls of all VMs in flight, as far as is known.
    pub in_flight: u32,
    /// Estimated time, in milliseconds, until the prompts sent so far are prefilled.
    pub backlog_ms: u64,
    /// Age, in milliseconds, of the oldest report of another VM that is in use.
    pub peer_age_ms: u64,
    /// Time, in milliseconds, by which responses are expected to start later than the backlog explains, as
    /// lately observed. It counts if `is_measured`.
    pub excess_delay_ms: u64,
    /// Whether the upstreams of the pool report how long work takes at the moment.
    pub is_measured: bool,
    /// Shortest typical interval, in milliseconds, between two events of a stream, as far as is known.
    pub event_gap_ms: Option<f64>,
    /// Kind of prompts that the upstream takes first; `None` if it is no engine.
    pub lane: Option<Lane>,
}

impl Scheduler {
    /// Returns a snapshot of the state at `now`.
    pub fn snapshot(&self, now: Instant) -> SchedulerSnapshot {
        let mut lanes_by_pool: HashMap<&PoolId, Lanes> = HashMap::new();
        let upstreams = self.upstreams.values().map(|it| {
            let pool = &it.record.pool;
            let lanes = lanes_by_pool.entry(pool).or_insert_with(|| self.lanes(now, pool));
            UpstreamState {
                is_measured: self.measured_pools.contains(pool),
                lane: it.is_engine.then(|| lanes.lane(it)),
                ..it.state(now)
            }
        });
        SchedulerSnapshot {
            upstreams: upstreams.collect(),
            vms: self.vm_count,
            live_calls: self.calls.len(),
            waiting_calls: self.queues.values().flat_map(CallQueue::ids).count(),
            retries_left: self.budget.remaining(),
        }
    }

    fn lanes(&self, now: Instant, pool: &PoolId) -> Lanes {
        let is_measured = self.measured_pools.contains(pool);
        let mut members = self.pool_upstreams(pool);
        members.retain(|it| it.is_member());
        Lanes::new(&members, self.recent_arrivals.lane_rules(now, pool, is_measured))
    }
}

impl Upstream {
    fn state(&self, now: Instant) -> UpstreamState {
        let millis = |it: std::time::Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
        UpstreamState {
            id: self.record.id.clone(),
            pool: self.record.pool.clone(),
            failure_domain: self.record.failure_domain.clone(),
            software_version: self.record.software_version.clone(),
            is_leaving: self.record.is_leaving,
            is_gone: self.is_gone,
            pause_ms: millis(self.pause.remaining(now)),
            limit_per_s: self.rate_limit.limit_per_s(),
            circuit: self.circuit.state(now),
            own_in_flight: self.own_in_flight(),
            in_flight: self.in_flight(now),
            backlog_ms: millis(self.backlog(now, Tier::MAX)),
            peer_age_ms: millis(self.peer_age(now)),
            excess_delay_ms: millis(self.performance.excess_delay(now)),
            event_gap_ms: self.pace.gap().map(|it| it.as_secs_f64() * 1_000.0),
            is_measured: false,
            lane: None,
        }
    }
}
