//! Customers and their API keys.

use std::sync::Arc;

use crate::CustomerId;

/// Secret by which a caller shows which customer it belongs to.
pub type ApiKey = Arc<str>;

/// A customer and the keys that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerKeys {
    /// Customer.
    pub id: CustomerId,
    /// Keys that are accepted.
    pub api_keys: Vec<ApiKey>,
    /// Priority of the customer's requests, 0 is the highest; it goes before the route's.
    pub priority: Option<u8>,
}
