//! Decode pace of an attempt.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;

use crate::dispatcher::RequestHandle;

/// Number of tokens after which the decode pace of an attempt is reported to the router.
const PACE_REPORT_TOKENS: u32 = 16;

/// Measures the decode pace of one attempt.
#[derive(Default)]
pub(super) struct AttemptPace {
    first_token_at: Option<Instant>,
    tokens: u32,
}

impl AttemptPace {
    /// Counts `tokens` new tokens; reports the first token and the decode pace to the router.
    pub(super) fn record(&mut self, tokens: usize, handle: &RequestHandle, attempt: Attempt) {
        if tokens == 0 {
            return;
        }
        if self.first_token_at.is_none() {
            self.first_token_at = Some(Instant::now());
            handle.report_first_token(attempt);
        }
        let before = self.tokens;
        self.tokens = before.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
        let is_due = before < PACE_REPORT_TOKENS && self.tokens >= PACE_REPORT_TOKENS;
        if let Some(token_interval) = self.token_interval().filter(|_| is_due) {
            handle.report_pace(attempt, token_interval);
        }
    }

    /// Returns the mean time between tokens so far, `None` before the second token.
    pub(super) fn token_interval(&self) -> Option<Duration> {
        let intervals = self.tokens.checked_sub(1).filter(|it| *it > 0)?;
        Some(self.first_token_at?.elapsed() / intervals)
    }
}
