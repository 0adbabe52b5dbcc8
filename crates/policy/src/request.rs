//! A request as the router sees it.

use cranberryvalve_core::ClassId;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;

/// A request from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier, unique on this VM.
    pub id: RequestId,
    /// Service class, which sets its tier and time limits.
    pub class: ClassId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Pool of upstreams that serves the requested model or plain service.
    pub pool: PoolId,
    /// Whether it may be sent again after an upstream may have run it.
    pub retryable: bool,
    /// Hash of the prompt prefix, for prefix affinity; `None` if the prefix is not worth caching.
    pub prefix_hash: Option<u64>,
}

impl Request {
    /// Creates a retryable request without prefix affinity.
    pub const fn new(id: RequestId, class: ClassId, customer: CustomerId, pool: PoolId) -> Self {
        Self { id, class, customer, pool, retryable: true, prefix_hash: None }
    }

    /// Sets whether the request may be sent again.
    #[must_use]
    pub const fn retryable(mut self, retryable: bool) -> Self {
        self.retryable = retryable;
        self
    }

    /// Sets the hash of the prompt prefix.
    #[must_use]
    pub const fn prefix_hash(mut self, prefix_hash: Option<u64>) -> Self {
        self.prefix_hash = prefix_hash;
        self
    }
}
