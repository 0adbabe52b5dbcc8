//! What the router knows of a request.

use cranberryvalve_core::ClassId;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;

/// A request as it arrives from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier, unique on this VM.
    pub id: RequestId,
    /// Service class.
    pub class: ClassId,
    /// Customer that asks.
    pub customer: CustomerId,
    /// Model or plain service that is to answer.
    pub pool: PoolId,
    /// Whether it may be sent again after a byte of it has reached an upstream.
    pub repeatable: bool,
    /// Hash of the prompt's beginning, for prefix affinity; none when it is not worth caching.
    pub prefix_hash: Option<u64>,
}

impl Request {
    /// Creates a repeatable request without prefix affinity.
    pub const fn new(id: RequestId, class: ClassId, customer: CustomerId, pool: PoolId) -> Self {
        Self { id, class, customer, pool, repeatable: true, prefix_hash: None }
    }

    /// Sets whether the request may be sent again.
    #[must_use]
    pub const fn repeatable(mut self, repeatable: bool) -> Self {
        self.repeatable = repeatable;
        self
    }

    /// Sets the hash of the prompt's beginning.
    #[must_use]
    pub const fn prefix_hash(mut self, prefix_hash: Option<u64>) -> Self {
        self.prefix_hash = prefix_hash;
        self
    }
}
