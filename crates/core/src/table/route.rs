//! Rules that route requests to pools.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::PoolId;

/// Kind of a call: how often it may be run and whether the response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Runs at most once; the response is an event stream.
    Stream,
    /// The response is an event stream that another upstream can resume after the last event.
    ResumableStream,
}

impl CallKind {
    /// Returns whether the call may be sent again after an upstream may have started to run it.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A pool that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: PoolId,
    /// Share relative to the weights of the other pools of the route.
    pub weight: u32,
}

/// A rule for the requests to a host whose path starts with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub id: Arc<str>,
    /// Host name in lowercase, without port.
    pub host: Arc<str>,
    /// Path prefix.
    pub prefix: Arc<str>,
    /// Kind of the calls on this route.
    pub kind: CallKind,
    /// Maximum time for a response.
    pub timeout: Duration,
    /// Latency target for the response, or for the first event of a stream.
    pub latency_target: Duration,
    /// Target for the maximum time between two events of a stream; `None` if there is no target.
    pub event_gap_target: Option<Duration>,
    /// Priority among requests of customers with equal priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of upstreams to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Pools that serve the requests.
    pub pools: Vec<WeightedPool>,
}

impl RouteRule {
    /// Returns the pool for a request, chosen by weight.
    ///
    /// `draw` is a uniformly distributed random number, which must stay the same for one request so
    /// that its pool does. Returns `None` if the total weight is 0.
    pub fn choose_pool(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self.pools.iter().map(|it| u64::from(it.weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        let chosen = self.pools.iter().find(|it| {
            let weight = u64::from(it.weight);
            let is_chosen = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            is_chosen
        });
        chosen.map(|it| &it.pool)
    }
}
