//! Splits the engines of a pool into lanes, each for one kind of prompt.
//!
//! While an engine prefills a long prompt, every token of the streams that it generates at the same
//! time is delayed. The lanes keep long prompts away from most streams. Slow engines are assigned
//! to the lane for long prompts first, as streams on them suffer most from any prefill. Engines of
//! equal pace are ordered by a hash that is the same on all VMs, so that the VMs agree.
//!
//! Pools whose engines report how long work takes at the moment differ more among themselves. There,
//! calls that mostly generate get a lane of their own with the fastest engines, and an engine whose
//! pace is not known yet takes long prompts first.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PaceStep;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::stable_hash;
use serde::Serialize;

use super::Prompt;
use super::decode_pace;
use super::upstream::Upstream;

/// Minimum length of a long prompt in tokens: more than four prefill chunks, so that all tokens of
/// an event of a concurrent stream wait for a chunk.
const MIN_LONG_PROMPT_TOKENS: u32 = 4_500;

/// Fraction of the capacity of a failure domain's engines that long prompts get while prompts of
/// all kinds arrive.
///
/// It is fixed because VMs that follow their own averages disagree on the engines at the boundary,
/// and all streams on those engines suffer.
const LONG_LANE_SHARE: f64 = 0.67;

/// Number of prompt tokens for each token to be generated below which a call mostly generates. An
/// engine of the model takes about a hundred times as long for a generated token as for a prompt
/// token, so such a call spends at least nine tenths of its time generating.
const MAX_PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 12;

/// Ratio of the slowness of two classes of engines. Measured paces of equal engines differ by less.
const SLOWNESS_CLASS_RATIO: f64 = 1.3;

/// Time without a prompt of one kind after which the other kind gets all engines.
const IDLE_KIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Kind of prompts that an engine takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Lane {
    /// Long prompts.
    Long,
    /// All other prompts, apart from those of [`Lane::Generation`].
    Short,
    /// Short prompts of calls that mostly generate; only in pools with measured engines.
    Generation,
}

impl Lane {
    /// All lanes, in the order in which engines are assigned to them: slow ones first.
    pub(super) const ALL: [Self; 3] = [Self::Long, Self::Short, Self::Generation];
}

/// Returns `true` if the prompt belongs in the lane for long prompts.
pub(super) const fn is_long(prompt: &Prompt) -> bool {
    prompt.input_tokens >= MIN_LONG_PROMPT_TOKENS
}

/// Returns `true` if a call with this prompt spends nearly all its time generating.
const fn mostly_generates(prompt: &Prompt) -> bool {
    let limit = prompt.output_tokens.saturating_mul(MAX_PROMPT_TOKENS_PER_OUTPUT_TOKEN);
    !is_long(prompt) && prompt.input_tokens <= limit
}

/// How the engines of a pool are divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LaneRules {
    /// Fractions of the capacity of a failure domain's engines, in the order of [`Lane::ALL`].
    shares: [f64; 3],
    /// Whether the engines report how long work takes at the moment.
    pub(super) is_measured: bool,
}

impl LaneRules {
    /// Returns the lane for prompts like `prompt`.
    pub(super) const fn lane_for(self, prompt: &Prompt) -> Lane {
        if is_long(prompt) {
            Lane::Long
        } else if self.is_measured && mostly_generates(prompt) {
            Lane::Generation
        } else {
            Lane::Short
        }
    }
}

/// When the last prompt of each kind arrived, by pool.
#[derive(Debug, Default)]
pub(super) struct RecentArrivals(HashMap<PoolId, LastArrivals>);

#[derive(Debug, Default)]
struct LastArrivals {
    long_at: Option<Instant>,
    short_at: Option<Instant>,
    generation_at: Option<Instant>,
}

impl RecentArrivals {
    /// Records the arrival of a prompt for `pool`.
    pub(super) fn record(&mut self, now: Instant, pool: &PoolId, prompt: &Prompt) {
        let arrivals = self.0.entry(pool.clone()).or_default();
        let last_at = if is_long(prompt) {
            &mut arrivals.long_at
        } else if mostly_generates(prompt) {
            &mut arrivals.generation_at
        } else {
            &mut arrivals.short_at
        };
        *last_at = Some(now);
    }

    /// Forgets the pools that are not kept.
    pub(super) fn retain_pools(&mut self, is_kept: impl Fn(&PoolId) -> bool) {
        self.0.retain(|pool, _| is_kept(pool));
    }

    /// Returns how the engines of a pool are divided. Kinds of prompts that have not arrived for
    /// [`IDLE_KIND_TIMEOUT`] get no engines.
    pub(super) fn lane_rules(&self, now: Instant, pool: &PoolId, is_measured: bool) -> LaneRules {
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|it| now.saturating_duration_since(it) < IDLE_KIND_TIMEOUT)
        };
        let (is_long, is_short, is_generation) = match self.0.get(pool) {
            Some(it) => {
                (is_recent(it.long_at), is_recent(it.short_at), is_recent(it.generation_at))
            }
            None => (true, true, true),
        };
        let long_share = match (is_long, is_short || is_generation) {
            (true, false) => 1.0,
            (false, true) => 0.0,
            _ => LONG_LANE_SHARE,
        };
        // Calls of the two other kinds get equal parts of the rest.
        let generation_part = match (is_short, is_generation) {
            _ if !is_measured => 0.0,
            (true, false) => 0.0,
            (false, true) => 1.0,
            _ => 0.5,
        };
        let generation_share = (1.0 - long_share) * generation_part;
        let shares = [long_share, 1.0 - long_share - generation_share, generation_share];
        LaneRules { shares, is_measured }
    }
}

/// The assignment of a pool's engines to lanes.
#[derive(Debug)]
pub(super) struct Lanes {
    rules: LaneRules,
    lanes: HashMap<UpstreamId, Lane>,
    /// Decode pace of the pool's fast engines; `None` if no pace is known.
    fast_step: Option<PaceStep>,
}

impl Lanes {
    /// Assigns the engines of each failure domain to lanes.
    pub(super) fn new(upstreams: &[&Upstream], rules: LaneRules) -> Self {
        let fast_step = decode_pace::fast_step(upstreams.iter().map(|it| it.pace));
        let mut lanes = Self { rules, lanes: HashMap::new(), fast_step };
        let mut by_domain: HashMap<&str, Vec<&Upstream>> = HashMap::new();
        for upstream in upstreams.iter().filter(|it| it.is_engine) {
            by_domain.entry(&upstream.record.failure_domain).or_default().push(upstream);
        }
        for engines in by_domain.values_mut() {
            engines.sort_by_cached_key(|it| (lanes.speed_class(it), stable_hash(&it.record.id)));
            lanes.assign(engines);
        }
        lanes
    }

    /// Assigns engines, slow ones first, to lanes by their shares of the capacity.
    fn assign(&mut self, engines: &[&Upstream]) {
        let total: f64 = engines.iter().map(|it| self.capacity(it)).sum();
        let mut unassigned = engines;
        for (lane, share) in Lane::ALL.into_iter().zip(self.rules.shares) {
            let count = self.count_with_capacity(unassigned, total * share);
            let (assigned, rest) = unassigned.split_at(count);
            self.lanes.extend(assigned.iter().map(|it| (it.record.id.clone(), lane)));
            unassigned = rest;
        }
        // Rounding may leave engines over.
        let used = Lane::ALL.into_iter().zip(self.rules.shares).rev().find(|(_, it)| *it > 0.0);
        let last = used.map_or(Lane::Short, |(lane, _)| lane);
        self.lanes.extend(unassigned.iter().map(|it| (it.record.id.clone(), last)));
    }

    /// Returns the number of the first engines that together have this capacity. The engine at the
    /// boundary is included if at least half of its capacity is needed.
    fn count_with_capacity(&self, engines: &[&Upstream], capacity: f64) -> usize {
        let mut remaining = capacity;
        let included = engines.iter().take_while(|it| {
            let is_included = remaining >= self.capacity(it) / 2.0;
            remaining -= self.capacity(it);
            is_included
        });
        included.count()
    }

    fn capacity(&self, upstream: &Upstream) -> f64 {
        1.0 / self.slowness(upstream)
    }

    /// Returns a number by which engines are ordered: the lower, the slower.
    fn speed_class(&self, upstream: &Upstream) -> i64 {
        if !self.rules.is_measured {
            return i64::from(!upstream.pace.is_slow(self.fast_step));
        }
        match upstream.pace.step() {
            Some(_) => -((self.slowness(upstream).ln() / SLOWNESS_CLASS_RATIO.ln()).round() as i64),
            // A stream on an engine that turns out to be slow would be late.
            None => i64::MIN,
        }
    }

    /// Returns the lane of `upstream`.
    pub(super) fn lane(&self, upstream: &Upstream) -> Lane {
        self.lanes.get(&upstream.record.id).copied().unwrap_or(Lane::Short)
    }

    /// Returns the factor by which `upstream` is slower than the pool's fast engines; see
    /// [`DecodePace::slowness`](super::decode_pace::DecodePace::slowness).
    pub(super) fn slowness(&self, upstream: &Upstream) -> f64 {
        upstream.pace.slowness(self.fast_step, self.rules.is_measured)
    }

    /// Returns `true` if `upstream` is in the lane for prompts like `prompt`.
    pub(super) fn matches_lane(&self, upstream: &Upstream, prompt: &Prompt) -> bool {
        self.lane(upstream) == self.rules.lane_for(prompt)
    }
}
