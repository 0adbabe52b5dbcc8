//! Splits the engines of a pool into one lane for long prompts and one for short prompts.
//!
//! While an engine prefills a long prompt, every token of the streams that it generates at the same
//! time is delayed. The lanes keep long prompts away from most streams. Slow engines are assigned
//! to the lane for long prompts first, as streams on them suffer most from any prefill. Engines of
//! equal pace are ordered by a hash that is the same on all VMs, so that the VMs agree.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PaceStep;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::stable_hash;

use super::Prompt;
use super::decode_pace;
use super::upstream::Upstream;

/// Minimum length of a long prompt in tokens: more than four prefill chunks, so that all tokens of
/// an event of a concurrent stream wait for a chunk.
const MIN_LONG_PROMPT_TOKENS: u32 = 4_500;

/// Fraction of the capacity of a failure domain's engines that long prompts get while prompts of
/// both kinds arrive.
///
/// It is fixed because VMs that follow their own averages disagree on the engines at the boundary,
/// and all streams on those engines suffer.
const LONG_LANE_SHARE: f64 = 0.67;

/// Time without a prompt of one kind after which the other kind gets all engines.
const IDLE_KIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns `true` if the prompt belongs in the lane for long prompts.
pub(super) const fn is_long(prompt: &Prompt) -> bool {
    prompt.input_tokens >= MIN_LONG_PROMPT_TOKENS
}

/// When the last long and the last short prompt arrived, by pool.
#[derive(Debug, Default)]
pub(super) struct RecentArrivals(HashMap<PoolId, LastArrivals>);

#[derive(Debug, Default)]
struct LastArrivals {
    long_at: Option<Instant>,
    short_at: Option<Instant>,
}

impl RecentArrivals {
    /// Records the arrival of a prompt for `pool`.
    pub(super) fn record(&mut self, now: Instant, pool: &PoolId, prompt: &Prompt) {
        let arrivals = self.0.entry(pool.clone()).or_default();
        let last_at = if is_long(prompt) { &mut arrivals.long_at } else { &mut arrivals.short_at };
        *last_at = Some(now);
    }

    /// Forgets the pools that are not kept.
    pub(super) fn retain_pools(&mut self, is_kept: impl Fn(&PoolId) -> bool) {
        self.0.retain(|pool, _| is_kept(pool));
    }

    /// Returns the fraction of the capacity of a pool's engines that long prompts get.
    pub(super) fn long_share(&self, now: Instant, pool: &PoolId) -> f64 {
        let Some(arrivals) = self.0.get(pool) else { return LONG_LANE_SHARE };
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|it| now.saturating_duration_since(it) < IDLE_KIND_TIMEOUT)
        };
        match (is_recent(arrivals.long_at), is_recent(arrivals.short_at)) {
            (true, false) => 1.0,
            (false, true) => 0.0,
            _ => LONG_LANE_SHARE,
        }
    }
}

/// The assignment of a pool's engines to lanes.
#[derive(Debug)]
pub(super) struct Lanes {
    long_lane: HashSet<UpstreamId>,
    /// Decode pace of the pool's fast engines; `None` if no pace is known.
    fast_step: Option<PaceStep>,
}

impl Lanes {
    /// Assigns the engines of each failure domain to lanes.
    pub(super) fn new(upstreams: &[&Upstream], long_share: f64) -> Self {
        let mut by_domain: HashMap<&str, Vec<&Upstream>> = HashMap::new();
        for upstream in upstreams.iter().filter(|it| it.is_engine) {
            by_domain.entry(&upstream.record.failure_domain).or_default().push(upstream);
        }
        let fast_step = decode_pace::fast_step(upstreams.iter().map(|it| it.pace));
        let mut long_lane = HashSet::new();
        for engines in by_domain.values_mut() {
            engines
                .sort_by_cached_key(|it| (!it.pace.is_slow(fast_step), stable_hash(&it.record.id)));
            let long_engines = take_capacity_share(engines, fast_step, long_share);
            long_lane.extend(long_engines.iter().map(|it| it.record.id.clone()));
        }
        Self { long_lane, fast_step }
    }

    /// Returns `true` if `upstream` is in the lane for long prompts.
    pub(super) fn is_long_lane(&self, upstream: &Upstream) -> bool {
        self.long_lane.contains(&upstream.record.id)
    }

    /// Returns the factor by which `upstream` is slower than the pool's fast engines; see
    /// [`DecodePace::slowness`](super::decode_pace::DecodePace::slowness).
    pub(super) fn slowness(&self, upstream: &Upstream) -> f64 {
        upstream.pace.slowness(self.fast_step)
    }

    /// Returns `true` if `upstream` is in the lane for prompts as long as `prompt`.
    pub(super) fn matches_lane(&self, upstream: &Upstream, prompt: &Prompt) -> bool {
        self.is_long_lane(upstream) == is_long(prompt)
    }
}

/// Returns the first engines that together have this share of the total capacity.
///
/// The engine at the boundary is included if at least half of its capacity is needed.
fn take_capacity_share<'a>(
    engines: &'a [&'a Upstream],
    fast_step: Option<PaceStep>,
    share: f64,
) -> &'a [&'a Upstream] {
    let capacity = |it: &Upstream| 1.0 / it.pace.slowness(fast_step);
    let mut remaining = engines.iter().map(|it| capacity(it)).sum::<f64>() * share;
    let count = engines.iter().take_while(|it| {
        let is_included = remaining >= capacity(it) / 2.0;
        remaining -= capacity(it);
        is_included
    });
    &engines[..count.count()]
}
