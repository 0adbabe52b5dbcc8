//! Requests that wait on this VM.

mod fair;
mod pool;

pub(crate) use pool::Placed;
pub(crate) use pool::PoolQueue;

use std::time::Instant;

use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;

/// A request's place in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// Request.
    pub(crate) id: RequestId,
    /// Tier of its class.
    pub(crate) tier: Tier,
    /// When it arrived.
    pub(crate) arrived_at: Instant,
    /// From when on it is due a turn ahead of its tier.
    pub(crate) promote_at: Instant,
    /// When it is given up.
    pub(crate) give_up_at: Instant,
}
