//! Routes of requests.

use std::sync::Arc;
use std::time::Duration;

use crate::PoolId;

/// How often a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    Once,
    /// An event stream that runs once at most.
    Stream,
    /// An event stream that another upstream may go on with after the last event.
    ResumableStream,
}

impl CallKind {
    /// Whether it may be sent again after an upstream may have begun to run it.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A pool with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedPool {
    /// Pool.
    pub pool: PoolId,
    /// Share relative to the other pools of the route.
    pub weight: u32,
}

/// A rule for requests to a host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name.
    pub id: Arc<str>,
    /// Host in lower case, without port.
    pub host: Arc<str>,
    /// Beginning of the path.
    pub prefix: Arc<str>,
    /// How often a request may be run.
    pub kind: CallKind,
    /// Longest time for an answer.
    pub time_limit: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub target: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub event_gap: Option<Duration>,
    /// Priority among the requests of equal customers, 0 is the highest.
    pub priority: u8,
    /// Upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether no API key is needed.
    pub is_public: bool,
    /// Pools that may answer.
    pub pools: Vec<WeightedPool>,
}

impl RouteRule {
    /// The pool for a request; `draw` is uniform and the same for each look at one request.
    pub fn pool(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self.pools.iter().map(|it| u64::from(it.weight)).sum();
        let mut rest = draw.checked_rem(total)?;
        let chosen = self.pools.iter().find(|it| {
            let weight = u64::from(it.weight);
            let is_here = rest < weight;
            rest = rest.saturating_sub(weight);
            is_here
        });
        chosen.map(|it| &it.pool)
    }
}
