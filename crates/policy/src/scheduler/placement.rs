//! Choice of the upstream for a call.
//!
//! Every upstream of the pool that has room gets a cost, in the time that the choice takes away
//! from others and from the caller; the cheapest one is chosen. A prompt's shared beginning has
//! homes in its lane by a hash that is the same on all VMs (rendezvous hashing: Thaler and
//! Ravishankar, 1998), so that the VMs find its cache without telling each other. A long prompt goes
//! to one of its two homes only: two are enough to level the load (Mitzenmacher, 2001), and each
//! further engine would read the shared beginning once more, which costs most under load. An engine
//! that lacks the beginning fetches it from a home, where engines can copy each other's caches.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::shared_hash;

use super::Call;
use super::PlacementReason;
use super::Prompt;
use super::engine;
use super::lanes;
use super::lanes::Lanes;
use super::upstream::Upstream;

/// Cost of a call in the lane of the other kind, in milliseconds.
const WRONG_LANE_COST_MS: f64 = 150.0;

/// Cost of a kilobyte that crosses failure domains, in milliseconds.
const CROSS_DOMAIN_COST_MS_PER_KB: f64 = 1.0;

/// Cost of a millisecond of waiting that leaves the answer on time.
const WAIT_COST: f64 = 0.1;

/// Cost of a millisecond of waiting beyond the target.
const LATE_COST: f64 = 4.0;

/// Cost of an engine whose slots are all taken, against one that is empty, in milliseconds.
const FULL_COST_MS: f64 = 60.0;

/// Share of a shared beginning that its home is believed to have cached through other VMs.
const HOME_CACHED_SHARE: f64 = 0.9;

/// Engines that a long prompt may go to, and that others fetch a prompt's beginning from.
const PREFIX_HOMES: usize = 2;

/// Cost of a thousand tokens that are fetched from another engine's cache, in milliseconds.
const FETCH_COST_MS_PER_KILOTOKEN: f64 = 3.0;

/// Share of the target that reading and waiting may take without cost.
const TARGET_SHARE: f64 = 0.75;

/// Share of the target that the prompts before this one may take for an upstream to have room.
const ROOM_SHARE: f64 = 0.5;

/// Share of that room up to which an engine takes long prompts of other homes that are full.
///
/// A beginning that is asked for more than its homes can serve spreads over engines with little to
/// do; in a general overload there are none, and copies of all beginnings would push each other out.
const SPARE_SHARE: f64 = 0.1;

/// Time that a call waits at a plain service whose slots are all taken, for comparing its load with
/// the way to it, in milliseconds; with fewer taken it grows with the square.
const SERVICE_TIME_MS: f64 = 20.0;

/// Requests in flight at a plain service, relative to its slots, up to which it has room.
const SERVICE_FILL: u32 = 2;

/// What placement needs to know besides the call.
#[derive(Debug)]
pub(super) struct Surroundings<'a> {
    pub(super) now: Instant,
    pub(super) failure_domain: Option<&'a FailureDomainId>,
    /// Requests of one VM that an upstream's connections allow.
    pub(super) connection_share: u32,
    /// Share of the pool's capacity that long prompts need.
    pub(super) long_share: f64,
    /// Ratio of the real to the estimated time of reading.
    pub(super) reading_ratio: f64,
}

/// A choice with the figures behind it.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Choice {
    pub(super) upstream: UpstreamId,
    /// Engine from whose cache the beginning of the prompt is fetched.
    pub(super) prefix_source: Option<UpstreamId>,
    pub(super) reason: PlacementReason,
}

/// The result of looking for an upstream.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Placement {
    /// This one.
    Chosen(Choice),
    /// All are full; the shortest time until one may have room.
    Full(Duration),
    /// None is in service.
    NoUpstream,
}

/// Chooses among `upstreams`, all of the call's pool, without those that were `tried`.
pub(super) fn place(
    around: &Surroundings<'_>,
    call: &Call,
    upstreams: &[&Upstream],
    tried: &[UpstreamId],
) -> Placement {
    let rated = rate(around, call, upstreams, tried);
    if rated.is_empty() {
        return Placement::NoUpstream;
    }
    let cheapest = |is_allowed: fn(&Rated<'_>) -> bool| {
        let allowed = rated.iter().filter(|it| is_allowed(it));
        allowed.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    };
    let preferred = cheapest(|it| it.is_preferred && it.has_room);
    match preferred.or_else(|| cheapest(|it| it.has_room_to_spare)) {
        Some(it) => Placement::Chosen(Choice {
            upstream: it.upstream.record.id.clone(),
            prefix_source: it.prefix_source.clone(),
            reason: PlacementReason {
                candidates: u32::try_from(rated.len()).unwrap_or(u32::MAX),
                backlog: it.backlog,
                read: it.read,
                cached_tokens: it.cached_tokens,
                peer_age: it.upstream.peer_age(around.now),
            },
        }),
        None => {
            let shortest = rated.iter().map(|it| it.backlog).min();
            Placement::Full(shortest.unwrap_or_default())
        }
    }
}

/// The `count` cheapest upstreams for a call, whether or not they have room.
pub(super) fn cheapest(
    around: &Surroundings<'_>,
    call: &Call,
    upstreams: &[&Upstream],
    count: usize,
) -> Vec<UpstreamId> {
    let mut rated = rate(around, call, upstreams, &[]);
    rated.sort_by(|a, b| b.is_preferred.cmp(&a.is_preferred).then(a.cost_ms.total_cmp(&b.cost_ms)));
    rated.iter().take(count).map(|it| it.upstream.record.id.clone()).collect()
}

/// The upstreams that may be chosen, with their costs.
fn rate<'a>(
    around: &Surroundings<'_>,
    call: &Call,
    upstreams: &[&'a Upstream],
    tried: &[UpstreamId],
) -> Vec<Rated<'a>> {
    let in_service: Vec<&Upstream> =
        upstreams.iter().copied().filter(|it| !it.record.is_leaving && !it.is_gone).collect();
    let healthy: Vec<&Upstream> = select(&in_service, |it| it.accepts_work(around.now));
    let lanes = Lanes::new(&in_service, around.long_share);
    let ranked = match &call.prompt {
        Some(prompt) => by_home(around, prompt, &lanes, &healthy),
        None => healthy.clone(),
    };
    let fresh = select(&ranked, |it| !tried.contains(&it.record.id));
    let expected = Expected {
        homes: ranked.iter().take(PREFIX_HOMES).map(|it| &it.record.id).collect(),
        stays_home: call
            .prompt
            .as_ref()
            .is_some_and(|it| lanes::is_long(it) && it.shared_hash().is_some()),
        lanes: &lanes,
        others_backlog: [true, false].map(|is_long| {
            let in_lane = in_service.iter().filter(|it| lanes.is_long(it) == is_long);
            mean_told_backlog(around.now, call.tier, in_lane)
        }),
    };
    fresh.into_iter().map(|it| Rated::new(around, call, it, &expected)).collect()
}

/// Those that `is_wanted`, or all when there are none.
fn select<'a>(
    upstreams: &[&'a Upstream],
    is_wanted: impl Fn(&Upstream) -> bool,
) -> Vec<&'a Upstream> {
    let wanted: Vec<&Upstream> = upstreams.iter().copied().filter(|it| is_wanted(it)).collect();
    if wanted.is_empty() { upstreams.to_vec() } else { wanted }
}

/// The engines that a prompt may go to, the homes of its shared beginning first.
///
/// A long prompt has the same homes in all failure domains, as reading it again costs more than
/// the way there, and goes to them while they have room; a short one has a home in each, and may go
/// anywhere.
fn by_home<'a>(
    around: &Surroundings<'_>,
    prompt: &Prompt,
    lanes: &Lanes,
    upstreams: &[&'a Upstream],
) -> Vec<&'a Upstream> {
    let shared = prompt.shared_hash();
    let is_long = lanes::is_long(prompt);
    let mut ranked =
        if is_long { select(upstreams, |it| lanes.is_own(it, prompt)) } else { upstreams.to_vec() };
    ranked.sort_by_cached_key(|it| {
        let is_eligible = is_long || (is_near(around, it) && lanes.is_own(it, prompt));
        (!is_eligible, shared_hash((shared, &it.record.id)))
    });
    ranked
}

fn is_near(around: &Surroundings<'_>, upstream: &Upstream) -> bool {
    around.failure_domain.is_none_or(|it| *it == upstream.record.failure_domain)
}

/// Mean of what other VMs are known to have at engines, for engines whose homes did not tell.
fn mean_told_backlog<'a>(
    now: Instant,
    tier: Tier,
    upstreams: impl Iterator<Item = &'a &'a Upstream>,
) -> Duration {
    let told: Vec<Duration> = upstreams.filter_map(|it| it.reported_backlog(now, tier)).collect();
    let count = u32::try_from(told.len()).unwrap_or(u32::MAX).max(1);
    told.iter().sum::<Duration>() / count
}

/// What is expected of all upstreams for one call.
struct Expected<'a> {
    /// Engines that are the most likely to have the prompt's shared beginning, the first one most.
    homes: Vec<&'a UpstreamId>,
    /// Whether the call goes to the homes as long as one has room.
    stays_home: bool,
    lanes: &'a Lanes,
    /// Backlog of the other VMs at an engine of which nobody told: for long prompts, for short
    /// ones.
    others_backlog: [Duration; 2],
}

/// An upstream with its cost for a call.
struct Rated<'a> {
    upstream: &'a Upstream,
    /// Whether the call goes there as long as it has room.
    is_preferred: bool,
    has_room: bool,
    /// Whether it takes calls whose homes have no room.
    has_room_to_spare: bool,
    cost_ms: f64,
    backlog: Duration,
    /// Time to fetch and read the prompt itself.
    read: Duration,
    cached_tokens: u32,
    prefix_source: Option<UpstreamId>,
}

impl<'a> Rated<'a> {
    fn new(
        around: &Surroundings<'_>,
        call: &Call,
        upstream: &'a Upstream,
        expected: &Expected<'_>,
    ) -> Self {
        let way_ms = if is_near(around, upstream) {
            0.0
        } else {
            call.body_bytes as f64 / 1_000.0 * CROSS_DOMAIN_COST_MS_PER_KB + 2.0
        };
        let in_flight = upstream.in_flight(around.now);
        let has_connection = upstream.own_in_flight() < around.connection_share;
        let Some(prompt) = call.prompt.as_ref().filter(|_| upstream.is_engine) else {
            let load = f64::from(in_flight) / f64::from(upstream.record.slots.max(1));
            return Self {
                upstream,
                is_preferred: true,
                has_room: has_connection && in_flight < upstream.record.slots * SERVICE_FILL,
                has_room_to_spare: false,
                cost_ms: load * load * SERVICE_TIME_MS + way_ms,
                backlog: Duration::ZERO,
                read: Duration::ZERO,
                cached_tokens: 0,
                prefix_source: None,
            };
        };
        let expected_cached = (f64::from(prompt.shared_tokens()) * HOME_CACHED_SHARE) as u32;
        let mut cached_tokens = upstream.cache.cached_tokens(prompt);
        if expected.homes.first() == Some(&&upstream.record.id) {
            cached_tokens = cached_tokens.max(expected_cached);
        }
        let prefix_source = expected.homes.iter().find(|it| **it != &upstream.record.id);
        let prefix_source = prefix_source.filter(|_| cached_tokens < prompt.shared_tokens());
        let fetched_tokens = match prefix_source {
            Some(_) => expected_cached.saturating_sub(cached_tokens),
            None => 0,
        };
        let read = engine::prefill_time(prompt.input_tokens, cached_tokens + fetched_tokens)
            .mul_f64(expected.lanes.slowness(upstream) * around.reading_ratio)
            + engine::fetch_time(fetched_tokens);
        let untold = match upstream.reported_backlog(around.now, call.tier) {
            Some(_) => Duration::ZERO,
            None if expected.lanes.is_long(upstream) => expected.others_backlog[0],
            None => expected.others_backlog[1],
        };
        let backlog = upstream.backlog(around.now, call.tier) + untold;
        let until_first = backlog + read;
        let time_to_target = call.target_at().saturating_duration_since(around.now);
        let late = until_first.saturating_sub(time_to_target.mul_f64(TARGET_SHARE));
        let is_own_lane = expected.lanes.is_own(upstream, prompt);
        let lane_ms = if is_own_lane { 0.0 } else { WRONG_LANE_COST_MS };
        let fill = f64::from(in_flight) / f64::from(upstream.record.slots.max(1));
        let cost_ms = millis(read)
            + WAIT_COST * millis(backlog)
            + LATE_COST * millis(late)
            + fill * FULL_COST_MS
            + f64::from(fetched_tokens) / 1_000.0 * FETCH_COST_MS_PER_KILOTOKEN
            + lane_ms
            + way_ms;
        // The room does not depend on the prompt's own size, so that large ones find it as often.
        let most_backlog = call.route.target.mul_f64(ROOM_SHARE);
        let has_slot = has_connection && in_flight < upstream.record.slots;
        Self {
            upstream,
            is_preferred: !expected.stays_home || expected.homes.contains(&&upstream.record.id),
            has_room: has_slot && backlog <= most_backlog,
            has_room_to_spare: has_slot && backlog <= most_backlog.mul_f64(SPARE_SHARE),
            cost_ms,
            backlog,
            cached_tokens,
            read,
            prefix_source: prefix_source.map(|it| (*it).clone()),
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
