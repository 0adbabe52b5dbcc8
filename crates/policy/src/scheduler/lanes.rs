//! Engines for long prompts and engines for short ones.
//!
//! While an engine reads a long prompt, every token of the streams beside it is late. A pool's
//! engines therefore fall into two lanes. Slow engines come first into the lane of long prompts, as
//! streams beside any prompt suffer most there; among equals a hash that is the same on all VMs
//! decides, so that the VMs agree.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PaceStep;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::shared_hash;

use super::Prompt;
use super::decode_pace;
use super::upstream::Upstream;

/// Prompt tokens from which a prompt is long: more than four chunks of reading, so that all tokens of
/// an event of a stream beside it wait for a chunk.
const LONG_PROMPT_TOKENS: u32 = 4_500;

/// Share of the capacity of a failure domain's engines for long prompts, where both kinds arrive.
///
/// It is fixed, as VMs that follow their own averages disagree on the engines at the border, and
/// all streams there suffer.
const LONG_SHARE: f64 = 0.67;

/// Time without a prompt of one kind after which the other kind has all engines.
const KIND_LIFETIME: Duration = Duration::from_secs(10);

/// Whether a prompt belongs into the lane of long prompts.
pub(super) const fn is_long(prompt: &Prompt) -> bool {
    prompt.input_tokens >= LONG_PROMPT_TOKENS
}

/// When prompts of each kind arrived last for each pool.
#[derive(Debug, Default)]
pub(super) struct ArrivedKinds(HashMap<PoolId, LastArrivals>);

#[derive(Debug, Default)]
struct LastArrivals {
    long_at: Option<Instant>,
    short_at: Option<Instant>,
}

impl ArrivedKinds {
    /// Notes the arrival of a prompt for `pool`.
    pub(super) fn note(&mut self, now: Instant, pool: &PoolId, prompt: &Prompt) {
        let arrivals = self.0.entry(pool.clone()).or_default();
        let last_at = if is_long(prompt) { &mut arrivals.long_at } else { &mut arrivals.short_at };
        *last_at = Some(now);
    }

    /// Share of the capacity of a pool's engines for long prompts.
    pub(super) fn long_share(&self, now: Instant, pool: &PoolId) -> f64 {
        let Some(arrivals) = self.0.get(pool) else { return LONG_SHARE };
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|it| now.saturating_duration_since(it) < KIND_LIFETIME)
        };
        match (is_recent(arrivals.long_at), is_recent(arrivals.short_at)) {
            (true, false) => 1.0,
            (false, true) => 0.0,
            _ => LONG_SHARE,
        }
    }
}

/// Which engines of a pool are for long prompts.
#[derive(Debug)]
pub(super) struct Lanes {
    long: HashSet<UpstreamId>,
    /// Pace of the pool's fast engines.
    fast: Option<PaceStep>,
}

impl Lanes {
    /// Divides the engines of each failure domain.
    pub(super) fn new(upstreams: &[&Upstream], long_share: f64) -> Self {
        let mut by_domain: HashMap<&str, Vec<&Upstream>> = HashMap::new();
        for upstream in upstreams.iter().filter(|it| it.is_engine) {
            by_domain.entry(&upstream.record.failure_domain).or_default().push(upstream);
        }
        let fast = decode_pace::fast_step(upstreams.iter().map(|it| it.pace));
        let mut long = HashSet::new();
        for engines in by_domain.values_mut() {
            engines.sort_by_cached_key(|it| (!it.pace.is_slow(fast), shared_hash(&it.record.id)));
            let in_lane = first_by_capacity(engines, fast, long_share);
            long.extend(in_lane.iter().map(|it| it.record.id.clone()));
        }
        Self { long, fast }
    }

    /// Whether `upstream` is for long prompts.
    pub(super) fn is_long(&self, upstream: &Upstream) -> bool {
        self.long.contains(&upstream.record.id)
    }

    /// How many times longer `upstream` takes than the pool's fast engines.
    pub(super) fn slowness(&self, upstream: &Upstream) -> f64 {
        upstream.pace.slowness(self.fast)
    }

    /// Whether `upstream` is in the lane of `prompt`.
    pub(super) fn is_own(&self, upstream: &Upstream, prompt: &Prompt) -> bool {
        self.is_long(upstream) == is_long(prompt)
    }
}

/// The first engines that together have this share of the capacity of all; one at the border counts
/// when more than half of it is needed.
fn first_by_capacity<'a>(
    engines: &'a [&'a Upstream],
    fast: Option<PaceStep>,
    share: f64,
) -> &'a [&'a Upstream] {
    let capacity = |it: &Upstream| 1.0 / it.pace.slowness(fast);
    let mut needed = engines.iter().map(|it| capacity(it)).sum::<f64>() * share;
    let count = engines.iter().take_while(|it| {
        let is_needed = needed >= capacity(it) / 2.0;
        needed -= capacity(it);
        is_needed
    });
    &engines[..count.count()]
}
