//! Pace of an attempt.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;

use crate::dispatcher::Ticket;

/// Tokens after which the router is told an attempt's pace.
const PACE_TOKENS: u32 = 16;

/// Pace of one attempt.
#[derive(Default)]
pub(super) struct AttemptPace {
    first_at: Option<Instant>,
    tokens: u32,
}

impl AttemptPace {
    /// Counts tokens, and tells the router of the first one and of the pace.
    pub(super) fn tell(&mut self, tokens: usize, ticket: &Ticket, attempt: Attempt) {
        if tokens == 0 {
            return;
        }
        if self.first_at.is_none() {
            self.first_at = Some(Instant::now());
            ticket.first_token(attempt);
        }
        let before = self.tokens;
        self.tokens = before.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
        let is_due = before < PACE_TOKENS && self.tokens >= PACE_TOKENS;
        if let Some(token_interval) = self.token_interval().filter(|_| is_due) {
            ticket.paced(attempt, token_interval);
        }
    }

    /// Mean time between the tokens so far; none before the second one.
    pub(super) fn token_interval(&self) -> Option<Duration> {
        let gaps = self.tokens.checked_sub(1).filter(|it| *it > 0)?;
        Some(self.first_at?.elapsed() / gaps)
    }
}
