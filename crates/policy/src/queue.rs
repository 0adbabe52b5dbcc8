//! Queues of requests on this VM that are not yet sent to an upstream.

mod fair;
mod pool;

pub(crate) use pool::PoolQueue;
pub(crate) use pool::PushResult;

use std::time::Instant;

use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;

/// An entry in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueuedRequest {
    /// Identifier of the request.
    pub(crate) id: RequestId,
    /// Tier of its service class.
    pub(crate) tier: Tier,
    /// Time at which it arrived.
    pub(crate) arrived_at: Instant,
    /// Time from which it is overdue and may be promoted ahead of higher tiers.
    pub(crate) promote_at: Instant,
    /// Time at which it is given up if it is still queued.
    pub(crate) expires_at: Instant,
}

#[cfg(test)]
mod tests;
