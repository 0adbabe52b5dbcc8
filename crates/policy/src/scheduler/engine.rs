//! Latency model of a language-model engine: estimated times for prefills and cache fetches.

use std::time::Duration;

/// Prefill rate, in tokens per millisecond, at the start of a prompt, where the context is short.
const PREFILL_TOKENS_PER_MS: f64 = 38.0;

/// Attention cost, in milliseconds, of each million pairs of a new token and an earlier one.
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.74;

/// Fixed cost, in milliseconds, of a fetch from another engine's cache.
const FETCH_SETUP_MS: f64 = 1.7;

/// Cost, in milliseconds, of each thousand fetched tokens: 164 KB per token at 1.1 Tbit/s.
const FETCH_MS_PER_KILOTOKEN: f64 = 1.2;

/// Returns the time to fetch `tokens` of a prompt's prefix from another engine's cache.
pub(super) fn fetch_time(tokens: u32) -> Duration {
    if tokens == 0 {
        return Duration::ZERO;
    }
    let fetch_ms = FETCH_SETUP_MS + f64::from(tokens) / 1_000.0 * FETCH_MS_PER_KILOTOKEN;
    Duration::from_secs_f64(fetch_ms / 1_000.0)
}

/// Returns the time to prefill a prompt whose first `cached_tokens` are in the engine's cache.
pub(super) fn prefill_time(input_tokens: u32, cached_tokens: u32) -> Duration {
    let input = f64::from(input_tokens);
    let cached = f64::from(cached_tokens.min(input_tokens));
    let million_pairs = (input * input - cached * cached) / 2.0e6;
    let prefill_ms =
        (input - cached) / PREFILL_TOKENS_PER_MS + million_pairs * ATTENTION_MS_PER_MILLION_PAIRS;
    Duration::from_secs_f64(prefill_ms / 1_000.0)
}
