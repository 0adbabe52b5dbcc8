//! Engines for long prompts and engines for short ones.
//!
//! While an engine reads a long prompt, every token of the streams beside it is late. A pool's
//! engines therefore fall into two lanes. Their order is by a hash that is the same on all VMs, so
//! that the VMs agree without talking; where one lane ends and the other begins follows the work
//! that arrives.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PoolId;
use cranberryvalve_core::UpstreamId;

use super::Prompt;
use super::call::hash_of;
use super::engine;
use super::upstream::Upstream;

/// Prompt tokens from which a prompt is long: about 100 ms of reading.
const LONG_PROMPT_TOKENS: u32 = 3_500;

/// Engine time that short prompts are given for each unit of their reading, relative to long ones,
/// as their targets leave no time for queueing (M/M/1 waits less than its service time up to half
/// of the load).
const SHORT_HEADROOM: f64 = 2.5;

/// Time constant of the averages of arriving work.
const DEMAND_WINDOW: Duration = Duration::from_secs(4);

/// Share of long prompts' work that is assumed before any has arrived.
const INITIAL_LONG_SHARE: f64 = 0.55;

/// Reading work that is assumed before any has arrived, in milliseconds a second.
const INITIAL_WORK_MS: f64 = 300.0;

/// Whether a prompt belongs into the lane of long prompts.
pub(super) const fn is_long(prompt: &Prompt) -> bool {
    prompt.input_tokens >= LONG_PROMPT_TOKENS
}

/// Reading work that arrives for a pool, as moving averages.
#[derive(Debug)]
pub(super) struct Demand {
    long_ms: f64,
    short_ms: f64,
    at: Instant,
}

impl Demand {
    fn new(now: Instant) -> Self {
        Self {
            long_ms: INITIAL_WORK_MS * INITIAL_LONG_SHARE,
            short_ms: INITIAL_WORK_MS * (1.0 - INITIAL_LONG_SHARE) / SHORT_HEADROOM,
            at: now,
        }
    }

    /// Counts the reading of a prompt, less what is cached.
    fn add(&mut self, now: Instant, prompt: &Prompt, cached_tokens: u32) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let decay = (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        let read = engine::read_time(prompt.input_tokens, cached_tokens);
        let read_ms = read.as_secs_f64() * 1_000.0 / DEMAND_WINDOW.as_secs_f64();
        self.long_ms *= decay;
        self.short_ms *= decay;
        self.at = now;
        if is_long(prompt) {
            self.long_ms += read_ms;
        } else {
            self.short_ms += read_ms;
        }
    }

    /// Share of the engines that long prompts need.
    fn long_share(&self) -> f64 {
        let short_ms = self.short_ms * SHORT_HEADROOM;
        self.long_ms / (self.long_ms + short_ms).max(f64::MIN_POSITIVE)
    }
}

/// The demand for all pools.
#[derive(Debug, Default)]
pub(super) struct Demands(HashMap<PoolId, Demand>);

impl Demands {
    /// Counts the reading of a prompt that is sent to `pool`.
    pub(super) fn add(&mut self, now: Instant, pool: &PoolId, prompt: &Prompt, cached: u32) {
        self.0.entry(pool.clone()).or_insert_with(|| Demand::new(now)).add(now, prompt, cached);
    }

    /// Share of a pool's engines that long prompts need.
    pub(super) fn long_share(&self, pool: &PoolId) -> f64 {
        self.0.get(pool).map_or(INITIAL_LONG_SHARE, Demand::long_share)
    }
}

/// Which engines of a pool are for long prompts.
#[derive(Debug)]
pub(super) struct Lanes {
    long: HashSet<UpstreamId>,
}

impl Lanes {
    /// Divides the engines of each failure domain; a lane has one of them at least, where there
    /// are two.
    pub(super) fn new(upstreams: &[&Upstream], long_share: f64) -> Self {
        let mut by_domain: HashMap<&str, Vec<&Upstream>> = HashMap::new();
        for upstream in upstreams.iter().filter(|it| it.is_engine) {
            by_domain.entry(&upstream.record.failure_domain).or_default().push(upstream);
        }
        let mut long = HashSet::new();
        for engines in by_domain.values_mut() {
            engines.sort_by_cached_key(|it| hash_of(&it.record.id));
            let most = engines.len().saturating_sub(1).max(1);
            let count = (engines.len() as f64 * long_share).round() as usize;
            let chosen = engines.iter().take(count.clamp(1, most));
            long.extend(chosen.map(|it| it.record.id.clone()));
        }
        Self { long }
    }

    /// Whether `upstream` is in the lane of `prompt`.
    pub(super) fn is_own(&self, upstream: &Upstream, prompt: &Prompt) -> bool {
        self.long.contains(&upstream.record.id) == is_long(prompt)
    }
}
