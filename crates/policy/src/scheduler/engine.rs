//! Model of the time that an engine takes.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, at the start and with a short context.
const READ_TOKENS_PER_MS: f64 = 38.0;

/// Time for a million pairs of a new token and one before it, in milliseconds (attention).
const PAIRS_MS_PER_MILLION: f64 = 0.74;

/// Time to begin a fetch from another engine's cache, in milliseconds.
const FETCH_MS: f64 = 1.7;

/// Further time for a thousand tokens that are fetched: 164 KB a token at 1.1 Tbit/s, in
/// milliseconds.
const FETCH_MS_PER_KILOTOKEN: f64 = 1.2;

/// Time to fetch the beginning of a prompt from another engine's cache.
pub(super) fn fetch_time(tokens: u32) -> Duration {
    if tokens == 0 {
        return Duration::ZERO;
    }
    let fetch_ms = FETCH_MS + f64::from(tokens) / 1_000.0 * FETCH_MS_PER_KILOTOKEN;
    Duration::from_secs_f64(fetch_ms / 1_000.0)
}

/// Time to read a prompt of which the first `cached_tokens` are in the engine's cache.
pub(super) fn read_time(input_tokens: u32, cached_tokens: u32) -> Duration {
    let input = f64::from(input_tokens);
    let cached = f64::from(cached_tokens.min(input_tokens));
    let pairs_millions = (input * input - cached * cached) / 2.0e6;
    let read_ms = (input - cached) / READ_TOKENS_PER_MS + pairs_millions * PAIRS_MS_PER_MILLION;
    Duration::from_secs_f64(read_ms / 1_000.0)
}
