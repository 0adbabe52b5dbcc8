//! Customers and their API keys.

use std::sync::Arc;

use crate::CustomerId;
use crate::Tier;

/// Secret by which a caller shows which customer it belongs to.
pub type ApiKey = Arc<str>;

/// A customer and the keys that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerKeys {
    /// Customer.
    pub id: CustomerId,
    /// Keys that are accepted.
    pub api_keys: Vec<ApiKey>,
    /// Tier of the customer's requests, in place of the route's.
    pub tier: Option<Tier>,
}
