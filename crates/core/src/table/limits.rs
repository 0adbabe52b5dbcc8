//! Limits for requests and connections of callers.

use std::time::Duration;

/// Limits for request heads, request bodies and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a complete request head.
    pub head_time: Duration,
    /// Maximum time for which a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns limits that are usual for HTTP servers, for use until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}
