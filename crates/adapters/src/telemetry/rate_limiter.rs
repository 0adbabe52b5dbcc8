//! Limit of the log lines of routine calls.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// Maximum sustained rate of log lines for routine calls. At about 600 bytes a line, this is
/// 60 KB/s.
const LOG_LINES_PER_SECOND: f64 = 100.0;

/// Maximum burst of log lines for routine calls.
const LOG_LINES_BURST: f64 = 200.0;

/// Token bucket that limits log lines of one kind and counts the suppressed ones.
#[derive(Debug)]
pub struct LogRateLimiter(Mutex<TokenBucket>);

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Creates a limiter that admits a burst at once.
    pub const fn new(now: Instant) -> Self {
        Self(Mutex::new(TokenBucket { tokens: LOG_LINES_BURST, refilled_at: now, suppressed: 0 }))
    }

    /// Takes a token for one line. Returns the number of lines suppressed since the last logged one,
    /// or `None` if this line is suppressed as well.
    pub fn acquire(&self, now: Instant) -> Option<u64> {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * LOG_LINES_PER_SECOND).min(LOG_LINES_BURST);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
