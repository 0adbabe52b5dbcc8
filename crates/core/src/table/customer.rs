//! Customers and their API keys.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::CustomerId;

/// Secret that identifies the customer of a caller.
pub type ApiKey = Arc<str>;

/// A customer and its API keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CustomerKeys {
    /// Name of the customer.
    pub id: CustomerId,
    /// Accepted API keys.
    pub api_keys: Vec<ApiKey>,
    /// Priority of the customer's requests; 0 is the highest. It takes precedence over the route's.
    /// `None` for the neutral priority.
    pub priority: Option<u8>,
}
