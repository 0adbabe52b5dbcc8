//! Limits for requests and connections of callers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limits for request heads, request bodies and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a complete request head.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns limits that are usual for HTTP servers, for use until a configuration is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
