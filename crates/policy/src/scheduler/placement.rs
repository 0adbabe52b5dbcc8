//! Chooses the upstream for a call.
//!
//! Every upstream of the pool that has room gets a cost: the time that the choice takes away from
//! other calls and from the caller. The cheapest one is chosen.
//!
//! The shared prefix of a prompt has owners in its lane. They are found by a hash that is the same
//! on all VMs (rendezvous hashing: Thaler and Ravishankar, 1998), so the VMs agree on where the
//! prefix is cached without communicating. A long prompt normally goes to one of its two owners
//! only: two are enough to balance the load (Mitzenmacher, 2001), and each further engine would
//! have to prefill the shared prefix again, which costs most under load. Where engines can copy
//! each other's caches, an engine that lacks the prefix fetches it from an owner.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::stable_hash;

use super::Call;
use super::PlacementReason;
use super::Prompt;
use super::engine;
use super::lanes;
use super::lanes::Lane;
use super::lanes::LaneRules;
use super::lanes::Lanes;
use super::upstream::Upstream;

/// Cost, in milliseconds, of placing a call in the lane for the other prompt length.
const OTHER_LANE_COST_MS: f64 = 150.0;

/// Cost, in milliseconds, of each kilobyte that crosses failure domains.
const CROSS_DOMAIN_COST_MS_PER_KB: f64 = 1.0;

/// Cost of each millisecond of waiting if the response still meets its target.
const WAIT_COST_PER_MS: f64 = 0.1;

/// Cost of each millisecond of waiting that makes the response miss its target.
const LATE_COST_PER_MS: f64 = 4.0;

/// Cost, in milliseconds, of an engine with no free slot, relative to an idle one.
const FULL_LOAD_COST_MS: f64 = 60.0;

/// Fraction of a shared prefix that its first owner is assumed to have cached because of requests
/// from other VMs.
const OWNER_CACHED_FRACTION: f64 = 0.9;

/// Number of owners of a prefix: the engines that a long prompt may go to, and from which other
/// engines fetch the prefix.
const PREFIX_OWNERS: usize = 2;

/// Cost, in milliseconds, of each thousand tokens that are fetched from another engine's cache.
const FETCH_COST_MS_PER_KILOTOKEN: f64 = 3.0;

/// Fraction of the target that queueing and prefill may take without counting as late.
const ON_TIME_TARGET_FRACTION: f64 = 0.75;

/// Fraction of the target that the prefill backlog of an engine may take for the engine to have
/// room.
const MAX_BACKLOG_TARGET_FRACTION: f64 = 0.5;

/// Fraction of that backlog limit up to which an engine takes long prompts whose owners have no
/// room.
///
/// A prefix with more requests than its owners can serve thus spreads to engines that are nearly
/// idle. In a general overload there are none, so copies of all prefixes don't evict each other.
const OVERFLOW_BACKLOG_FRACTION: f64 = 0.1;

/// Estimated delay, in milliseconds, of a call at a plain service with no free slot, for weighing
/// its load against the network cost. At lower load the delay grows with the square of the fraction
/// of slots in use.
const SERVICE_FULL_DELAY_MS: f64 = 20.0;

/// Number of requests in flight per slot up to which a plain service has room.
const SERVICE_REQUESTS_PER_SLOT: u32 = 2;

/// The inputs of a placement decision besides the call and the upstreams.
#[derive(Debug)]
pub(super) struct PlacementContext<'a> {
    pub(super) now: Instant,
    pub(super) failure_domain: Option<&'a FailureDomainId>,
    /// Maximum number of requests that this VM may have in flight at one upstream, so that the VMs
    /// together stay within the upstream's connection limit.
    pub(super) max_own_in_flight: u32,
    /// Number of VMs that share upstreams which fail under refusals, or `None` if those of the pool do
    /// not.
    pub(super) brittle_vm_count: Option<u32>,
    /// How the engines of the pool are divided among kinds of prompts.
    pub(super) lane_rules: LaneRules,
    /// Ratio of the observed to the estimated prefill time.
    pub(super) prefill_ratio: f64,
}

/// The chosen upstream and the figures behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Choice {
    pub(super) upstream: UpstreamId,
    /// Engine from whose cache the upstream may fetch the prompt's prefix, if any.
    pub(super) prefix_source: Option<UpstreamId>,
    pub(super) reason: PlacementReason,
}

/// The result of a placement decision.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Placement {
    /// An upstream was chosen.
    Chosen(Choice),
    /// No upstream has room; holds the shortest prefill backlog among them.
    Full(Duration),
    /// All upstreams asked for a pause or need a permit; holds the time until the first one takes a
    /// request and has prefilled the prompts that it has.
    Paused(Duration),
    /// No upstream is in service.
    NoUpstream,
}

/// Chooses one of `upstreams`, which must all belong to the call's pool.
///
/// Upstreams in `tried` are used only if there is no other, and not for a call that may run once.
pub(super) fn place(
    context: &PlacementContext<'_>,
    call: &Call,
    upstreams: &[&Upstream],
    tried: &[UpstreamId],
) -> Placement {
    let candidates = evaluate(context, call, upstreams, tried);
    if candidates.is_empty() {
        return shortest_pause(context, call, &not_excluded(call, upstreams, tried))
            .map_or(Placement::NoUpstream, Placement::Paused);
    }
    let cheapest = |is_allowed: fn(&Candidate<'_>) -> bool| {
        let allowed = candidates.iter().filter(|it| is_allowed(it));
        allowed.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    };
    let preferred = cheapest(|it| it.is_preferred && it.has_room);
    match preferred.or_else(|| cheapest(|it| it.has_overflow_room)) {
        Some(it) => Placement::Chosen(Choice {
            upstream: it.upstream.record.id.clone(),
            prefix_source: it.prefix_source.clone(),
            reason: PlacementReason {
                candidates: u32::try_from(candidates.len()).unwrap_or(u32::MAX),
                backlog: it.backlog,
                excess_delay: it.excess_delay,
                prefill: it.prefill,
                cached_tokens: it.cached_tokens,
                peer_age: it.upstream.peer_age(context.now),
            },
        }),
        None => {
            let shortest = candidates.iter().map(|it| it.backlog + it.excess_delay).min();
            Placement::Full(shortest.unwrap_or_default())
        }
    }
}

/// Returns the `count` cheapest upstreams for a call, whether or not they have room.
pub(super) fn cheapest_candidates(
    context: &PlacementContext<'_>,
    call: &Call,
    upstreams: &[&Upstream],
    count: usize,
) -> Vec<UpstreamId> {
    let mut candidates = evaluate(context, call, upstreams, &[]);
    candidates
        .sort_by(|a, b| b.is_preferred.cmp(&a.is_preferred).then(a.cost_ms.total_cmp(&b.cost_ms)));
    candidates.iter().take(count).map(|it| it.upstream.record.id.clone()).collect()
}

/// Returns the upstreams that may be chosen, with their costs.
fn evaluate<'a>(
    context: &PlacementContext<'_>,
    call: &Call,
    upstreams: &[&'a Upstream],
    tried: &[UpstreamId],
) -> Vec<Candidate<'a>> {
    let members: Vec<&Upstream> = upstreams.iter().copied().filter(|it| it.is_member()).collect();
    let in_service: Vec<&Upstream> = members
        .iter()
        .copied()
        .filter(|it| it.is_in_service(context.now) && it.may_serve(context.now, call))
        .collect();
    let healthy: Vec<&Upstream> = filter_or_all(&in_service, |it| it.accepts_work(context.now));
    // A pause concerns one VM only, so that lanes without the paused upstreams would differ from
    // those of the other VMs.
    let lanes = Lanes::new(&members, context.lane_rules);
    let ranked = match &call.prompt {
        Some(prompt) => rank_by_ownership(context, prompt, &lanes, &healthy),
        None => healthy.clone(),
    };
    let allowed = not_excluded(call, &ranked, tried);
    let untried = filter_or_all(&allowed, |it| !tried.contains(&it.record.id));
    let factors = CallFactors {
        owners: ranked.iter().take(PREFIX_OWNERS).map(|it| &it.record.id).collect(),
        prefers_owners: call
            .prompt
            .as_ref()
            .is_some_and(|it| lanes::is_long(it) && it.shared_prefix_hash().is_some()),
        lanes: &lanes,
        other_vms_backlog: Lane::ALL.map(|lane| {
            let in_lane = in_service.iter().filter(|it| lanes.lane(it) == lane);
            mean_reported_backlog(context.now, call.tier, in_lane)
        }),
    };
    untried.into_iter().map(|it| Candidate::new(context, call, it, &factors)).collect()
}

/// Returns the shortest time until an upstream that is paused, or limited in its rate, takes a
/// request and has worked off its backlog, or `None` if there is no such upstream.
fn shortest_pause(
    context: &PlacementContext<'_>,
    call: &Call,
    upstreams: &[&Upstream],
) -> Option<Duration> {
    let paused = upstreams.iter().filter(|it| {
        it.is_member() && it.may_serve(context.now, call) && !it.is_in_service(context.now)
    });
    paused.map(|it| it.wait(context.now).max(it.backlog(context.now, call.tier))).min()
}

/// Returns the upstreams that a call may be sent to. A call that may run once is not sent to one that
/// refused it before: that refusal, sent once more, cannot be told from the response to a further
/// attempt.
fn not_excluded<'a>(
    call: &Call,
    upstreams: &[&'a Upstream],
    tried: &[UpstreamId],
) -> Vec<&'a Upstream> {
    let may_repeat = call.route.kind.is_retryable();
    let mut allowed = upstreams.to_vec();
    allowed.retain(|it| may_repeat || !tried.contains(&it.record.id));
    allowed
}

/// Returns the upstreams that match, or all of them if none does.
fn filter_or_all<'a>(
    upstreams: &[&'a Upstream],
    matches: impl Fn(&Upstream) -> bool,
) -> Vec<&'a Upstream> {
    let matching: Vec<&Upstream> = upstreams.iter().copied().filter(|it| matches(it)).collect();
    if matching.is_empty() { upstreams.to_vec() } else { matching }
}

/// Returns the engines that a prompt may go to, the owners of its shared prefix first.
///
/// A long prompt has the same owners in all failure domains, since prefilling it again costs more
/// than crossing domains, and it stays with them while they have room. A short prompt has owners in
/// each failure domain and may go to any engine.
fn rank_by_ownership<'a>(
    context: &PlacementContext<'_>,
    prompt: &Prompt,
    lanes: &Lanes,
    upstreams: &[&'a Upstream],
) -> Vec<&'a Upstream> {
    let shared = prompt.shared_prefix_hash();
    let is_long = lanes::is_long(prompt);
    let mut ranked = if is_long {
        filter_or_all(upstreams, |it| lanes.matches_lane(it, prompt))
    } else {
        upstreams.to_vec()
    };
    ranked.sort_by_cached_key(|it| {
        let is_eligible =
            is_long || (is_same_domain(context, it) && lanes.matches_lane(it, prompt));
        (!is_eligible, stable_hash((shared, &it.record.id)))
    });
    ranked
}

fn is_same_domain(context: &PlacementContext<'_>, upstream: &Upstream) -> bool {
    context.failure_domain.is_none_or(|it| *it == upstream.record.failure_domain)
}

/// Returns the mean backlog that the other VMs reported for these engines, as an estimate for
/// engines without a report.
fn mean_reported_backlog<'a>(
    now: Instant,
    tier: Tier,
    upstreams: impl Iterator<Item = &'a &'a Upstream>,
) -> Duration {
    let reported: Vec<Duration> =
        upstreams.filter_map(|it| it.reported_backlog(now, tier)).collect();
    let count = u32::try_from(reported.len()).unwrap_or(u32::MAX).max(1);
    reported.iter().sum::<Duration>() / count
}

/// Figures that are the same for all candidates of one call.
struct CallFactors<'a> {
    /// Owners of the prompt's shared prefix, the most likely to have it cached first.
    owners: Vec<&'a UpstreamId>,
    /// Whether the call goes to an owner of its prefix as long as one of them has room.
    prefers_owners: bool,
    lanes: &'a Lanes,
    /// Estimated backlog of the other VMs at an engine for which no VM reported one, by lane.
    other_vms_backlog: [Duration; 3],
}

/// A candidate for a call, with its cost.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Whether the call goes to this upstream rather than to one that isn't preferred, as long as
    /// it has room.
    is_preferred: bool,
    has_room: bool,
    /// Whether it has room for calls whose preferred upstreams have none.
    has_overflow_room: bool,
    cost_ms: f64,
    backlog: Duration,
    /// Time by which responses are expected to start later than the backlog explains.
    excess_delay: Duration,
    /// Estimated time to fetch the cached prefix and to prefill the rest of the prompt.
    prefill: Duration,
    cached_tokens: u32,
    prefix_source: Option<UpstreamId>,
}

impl<'a> Candidate<'a> {
    fn new(
        context: &PlacementContext<'_>,
        call: &Call,
        upstream: &'a Upstream,
        factors: &CallFactors<'_>,
    ) -> Self {
        let network_ms = if is_same_domain(context, upstream) {
            0.0
        } else {
            call.body_bytes as f64 / 1_000.0 * CROSS_DOMAIN_COST_MS_PER_KB + 2.0
        };
        let in_flight = upstream.in_flight(context.now);
        let has_free_connection = upstream.own_in_flight() < context.max_own_in_flight
            && context.brittle_vm_count.is_none_or(|it| upstream.has_brittle_room(it));
        let Some(prompt) = call.prompt.as_ref().filter(|_| upstream.is_engine) else {
            let load = f64::from(in_flight) / f64::from(upstream.record.slots.max(1));
            let is_brittle = context.brittle_vm_count.is_some();
            let requests_per_slot = if is_brittle { 1 } else { SERVICE_REQUESTS_PER_SLOT };
            return Self {
                upstream,
                is_preferred: true,
                has_room: has_free_connection
                    && in_flight < upstream.record.slots * requests_per_slot,
                has_overflow_room: false,
                cost_ms: load * load * SERVICE_FULL_DELAY_MS + network_ms,
                backlog: Duration::ZERO,
                excess_delay: Duration::ZERO,
                prefill: Duration::ZERO,
                cached_tokens: 0,
                prefix_source: None,
            };
        };
        let owner_cached_tokens =
            (f64::from(prompt.shared_tokens()) * OWNER_CACHED_FRACTION) as u32;
        let mut cached_tokens = upstream.cache.cached_tokens(prompt);
        if factors.owners.first() == Some(&&upstream.record.id) {
            cached_tokens = cached_tokens.max(owner_cached_tokens);
        }
        let prefix_source = factors.owners.iter().find(|it| **it != &upstream.record.id);
        let prefix_source = prefix_source.filter(|_| cached_tokens < prompt.shared_tokens());
        let fetched_tokens = match prefix_source {
            Some(_) => owner_cached_tokens.saturating_sub(cached_tokens),
            None => 0,
        };
        let prefill =
            engine::prefill_time(prompt.input_tokens, cached_tokens.saturating_add(fetched_tokens))
                .mul_f64(factors.lanes.slowness(upstream) * context.prefill_ratio)
                .mul_f64(upstream.performance.work_time_factor(context.now))
                + engine::fetch_time(fetched_tokens);
        let unreported = match upstream.reported_backlog(context.now, call.tier) {
            Some(_) => Duration::ZERO,
            None => factors.other_vms_backlog[factors.lanes.lane(upstream) as usize],
        };
        let backlog = upstream.backlog(context.now, call.tier) + unreported;
        let excess_delay = match context.lane_rules.is_measured {
            true => upstream.performance.excess_delay(context.now),
            false => Duration::ZERO,
        };
        let wait = backlog.max(excess_delay);
        let time_to_first_token = wait + prefill;
        let time_to_target = call.target_at().saturating_duration_since(context.now);
        let late =
            time_to_first_token.saturating_sub(time_to_target.mul_f64(ON_TIME_TARGET_FRACTION));
        let is_matching_lane = factors.lanes.matches_lane(upstream, prompt);
        let lane_ms = if is_matching_lane { 0.0 } else { OTHER_LANE_COST_MS };
        let fill = f64::from(in_flight) / f64::from(upstream.record.slots.max(1));
        let cost_ms = millis(prefill)
            + WAIT_COST_PER_MS * millis(wait)
            + LATE_COST_PER_MS * millis(late)
            + fill * FULL_LOAD_COST_MS
            + f64::from(fetched_tokens) / 1_000.0 * FETCH_COST_MS_PER_KILOTOKEN
            + lane_ms
            + network_ms;
        // The limit does not depend on the prompt's own size, so that large prompts find room as
        // often as small ones.
        let max_backlog = call.route.latency_target.mul_f64(MAX_BACKLOG_TARGET_FRACTION);
        let has_free_slot = has_free_connection && in_flight < upstream.record.slots;
        Self {
            upstream,
            is_preferred: !factors.prefers_owners || factors.owners.contains(&&upstream.record.id),
            has_room: has_free_slot && wait <= max_backlog,
            has_overflow_room: has_free_slot
                && wait <= max_backlog.mul_f64(OVERFLOW_BACKLOG_FRACTION),
            cost_ms,
            backlog,
            excess_delay: wait - backlog,
            cached_tokens,
            prefill,
            prefix_source: prefix_source.map(|it| (*it).clone()),
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
