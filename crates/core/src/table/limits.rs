//! Limits on what callers may send.

use std::time::Duration;

/// Limits on heads, bodies and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which a head must be complete.
    pub head_time: Duration,
    /// Time for which a connection may lie idle between requests.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Usual limits of HTTP servers, for the time before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}
