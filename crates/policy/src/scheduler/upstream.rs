//! The state of one upstream as this VM knows it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::IncarnationHash;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::Tier;
use cranberryvalve_core::TierBacklog;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::VmId;
use cranberryvalve_core::stable_hash;
use cranberryvalve_core::table::EngineSpec;

use super::Call;
use super::PlacementReason;
use super::PredictedQuantity;
use super::Prediction;
use super::ReportedLoad;
use super::availability::Pause;
use super::brittleness::Brittleness;
use super::decode_pace::DecodePace;
use super::prefix_cache::PrefixCache;
use super::rate_limit::RateLimit;
use super::restarts::StartDoubt;
use crate::performance::Performance;
use crate::upstream::CircuitBreaker;

/// Age from which a load report of another VM is ignored. A report of the upstream itself counts
/// for half this time.
pub(super) const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(1_200);

/// An entry of the upstream directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Name of the upstream, unique in the directory.
    pub id: UpstreamId,
    /// Pool that the upstream serves.
    pub pool: PoolId,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Failure domain that the upstream runs in.
    pub failure_domain: FailureDomainId,
    /// Maximum number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// Whether the upstream is shutting down and must get no new requests.
    pub is_leaving: bool,
    /// Identifies one start of the upstream: each start under the same name has another value.
    pub incarnation: u64,
    /// Version of the software that the upstream runs.
    pub software_version: SoftwareVersion,
}

/// An attempt in flight.
#[derive(Debug)]
struct InFlight {
    tier: Tier,
    /// Estimated time to prefill the prompt.
    prefill: Duration,
    is_prefilling: bool,
    sent_at: Instant,
    /// Estimated time from sending the attempt to the first part of the response.
    expected_response: Duration,
}

#[derive(Debug, Clone)]
struct Timestamped<T> {
    value: T,
    received_at: Instant,
}

/// An upstream with its load and health.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) record: UpstreamRecord,
    /// Set when the upstream at this address refused a request as meant for another incarnation.
    pub(super) is_gone: bool,
    pub(super) start_doubt: StartDoubt,
    /// Time during which the upstream asked for no requests.
    pub(super) pause: Pause,
    pub(super) rate_limit: RateLimit,
    /// What the upstream last said of its brittleness.
    pub(super) brittleness: Option<Brittleness>,
    /// Number of requests that this VM may have in flight there while the upstream is brittle; `None`
    /// before its first refusal.
    pub(super) brittle_share: Option<f64>,
    /// Latest refusals while the upstream was brittle, to this VM and to those that told it.
    pub(super) refused_at: Vec<Instant>,
    pub(super) circuit: CircuitBreaker,
    pub(super) cache: PrefixCache,
    pub(super) is_engine: bool,
    pub(super) pace: DecodePace,
    /// What the responses to this VM have shown lately.
    pub(super) performance: Performance,
    in_flight: HashMap<RequestId, InFlight>,
    /// When a prefill was last seen to finish, or when an attempt was sent while no other prefill
    /// was pending.
    prefill_progress_at: Instant,
    reported_load: Option<Timestamped<ReportedLoad>>,
    /// Loads that other VMs reported, if this VM coordinates the load of the upstream.
    peer_loads: HashMap<VmId, Timestamped<PeerLoad>>,
    /// Total load of all other VMs, as the upstream's coordinator reported it.
    coordinator_load: Option<Timestamped<PeerLoad>>,
}

#[derive(Debug, Clone)]
struct PeerLoad {
    in_flight: u32,
    backlog: Vec<TierBacklog>,
}

impl PeerLoad {
    /// Returns the estimated time to prefill the prompts of `tier` and above.
    fn backlog(&self, tier: Tier) -> Duration {
        let included = self.backlog.iter().filter(|it| it.tier <= tier);
        included.map(|it| Duration::from_millis(u64::from(it.prefill_ms))).sum()
    }
}

impl Upstream {
    pub(super) fn new(record: UpstreamRecord, now: Instant) -> Self {
        Self {
            record,
            is_gone: false,
            start_doubt: StartDoubt::default(),
            pause: Pause::default(),
            rate_limit: RateLimit::default(),
            brittleness: None,
            brittle_share: None,
            refused_at: Vec::new(),
            circuit: CircuitBreaker::new(),
            cache: PrefixCache::default(),
            is_engine: false,
            pace: DecodePace::default(),
            performance: Performance::default(),
            in_flight: HashMap::new(),
            prefill_progress_at: now,
            reported_load: None,
            peer_loads: HashMap::new(),
            coordinator_load: None,
        }
    }

    /// Applies the engine profile of the upstream's pool; `None` for a plain service.
    pub(super) fn set_engine(&mut self, engine: Option<&EngineSpec>) {
        self.is_engine = engine.is_some();
        self.cache.set_memory(engine.map_or(0, |it| it.memory_tokens));
    }

    /// Returns `true` if the upstream may get new requests.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        self.is_in_service(now) && self.circuit.allows_request(now)
    }

    /// Returns `true` unless the upstream is leaving or replaced by another one.
    pub(super) const fn is_member(&self) -> bool {
        !self.record.is_leaving && !self.is_gone
    }

    /// Returns `true` unless the call continues a stream, and the upstream has another software version
    /// or may have.
    pub(super) fn may_serve(&self, now: Instant, call: &Call) -> bool {
        let is_certain = !self.start_doubt.is_active(now);
        let is_of = |it: &SoftwareVersion| is_certain && *it == self.record.software_version;
        call.software_version.as_ref().is_none_or(is_of)
    }

    /// Returns `true` if the upstream is a member of its pool and has not asked for a pause.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        self.is_member() && self.pause.remaining(now).is_zero()
    }

    /// Returns `true` if the upstream is available and names no rate limit, or this VM has a permit
    /// for a request.
    pub(super) fn is_in_service(&self, now: Instant) -> bool {
        self.is_available(now) && self.rate_limit.allows(now)
    }

    /// Returns the time until the pause and the rate limit permit a request, as far as is known.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        self.pause.remaining(now).max(self.rate_limit.wait(now))
    }

    /// Records an attempt that is being sent, with the estimates that led to the choice.
    pub(super) fn record_attempt(&mut self, now: Instant, call: &Call, reason: &PlacementReason) {
        if !self.in_flight.values().any(|it| it.is_prefilling) {
            self.prefill_progress_at = now;
        }
        let is_prefilling = call.prompt.is_some();
        let in_flight = InFlight {
            tier: call.tier,
            prefill: reason.prefill,
            is_prefilling,
            sent_at: now,
            expected_response: reason.backlog + reason.prefill,
        };
        if is_prefilling {
            self.performance.record_sent(call.id, now, in_flight.expected_response);
        }
        self.in_flight.insert(call.id, in_flight);
        if let Some(prompt) = &call.prompt {
            self.cache.insert(prompt);
        }
        self.circuit.record_sent(now);
    }

    /// Records that the first part of a response arrived.
    ///
    /// For a call with a prompt, returns the estimated and the observed time; `None` for other
    /// calls and for all later parts.
    pub(super) fn record_response_start(
        &mut self,
        now: Instant,
        id: RequestId,
    ) -> Option<Prediction> {
        self.circuit.record_response_start(now);
        let in_flight = self.in_flight.get_mut(&id)?;
        self.prefill_progress_at = now;
        if !std::mem::take(&mut in_flight.is_prefilling) {
            return None;
        }
        self.performance.record_response_start(now, id);
        Some(Prediction {
            predicted: PredictedQuantity::FirstEvent,
            expected: in_flight.expected_response,
            observed: now.saturating_duration_since(in_flight.sent_at),
        })
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove_attempt(&mut self, id: RequestId) {
        self.in_flight.remove(&id);
        self.performance.forget(id);
    }

    /// Records the load that the upstream reported.
    pub(super) fn record_reported_load(&mut self, now: Instant, load: ReportedLoad) {
        if let Some(percent) = load.work_time_percent {
            self.performance.record_work_time(now, percent);
        }
        self.reported_load = Some(Timestamped { value: load, received_at: now });
    }

    /// Records the load that another VM has on this upstream.
    pub(super) fn record_peer_load(&mut self, now: Instant, vm: &VmId, load: &UpstreamLoad) {
        self.peer_loads
            .insert(vm.clone(), Timestamped { value: PeerLoad::from(load), received_at: now });
    }

    /// Records the total load of all other VMs, as reported by the coordinator.
    pub(super) fn record_coordinator_load(&mut self, now: Instant, load: &UpstreamLoad) {
        self.coordinator_load = Some(Timestamped { value: PeerLoad::from(load), received_at: now });
    }

    /// Returns the load of all VMs except `vm`, for this VM to report as the upstream's
    /// coordinator.
    pub(super) fn load_excluding(&self, now: Instant, vm: &VmId) -> UpstreamLoad {
        let peers = self.peer_loads.iter().filter(|(it, _)| *it != vm).map(|(_, it)| it);
        let fresh: Vec<&Timestamped<PeerLoad>> = peers.filter(|it| it.is_fresh(now)).collect();
        let in_flight: u32 = fresh.iter().map(|it| it.value.in_flight).sum();
        let mut backlog = self.pending_prefill_by_tier();
        for peer_backlog in fresh.iter().flat_map(|it| &it.value.backlog) {
            *backlog.entry(peer_backlog.tier).or_default() +=
                Duration::from_millis(peer_backlog.prefill_ms.into());
        }
        UpstreamLoad {
            upstream: self.record.id.clone(),
            in_flight: saturating_u16(u128::from(in_flight + self.own_in_flight())),
            backlog: to_tier_backlogs(&backlog),
        }
    }

    /// Returns the number of requests that this VM has in flight.
    pub(super) fn own_in_flight(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that all VMs have in flight, as far as is known.
    pub(super) fn in_flight(&self, now: Instant) -> u32 {
        let others: u32 = self.fresh_peer_loads(now).map(|it| it.value.in_flight).sum();
        let known = self.own_in_flight() + others;
        let reported = self
            .reported_load
            .as_ref()
            .filter(|it| now.duration_since(it.received_at) < LOAD_REPORT_LIFETIME / 2);
        known.max(reported.map_or(0, |it| it.value.running + it.value.waiting))
    }

    /// Returns the estimated time until all prompts of `tier` and above that were sent so far are
    /// prefilled. Lower tiers are left out since engines let higher tiers overtake them.
    ///
    /// An engine prefills one prompt after the other, so the progress since the last one finished
    /// is at most one prompt.
    pub(super) fn backlog(&self, now: Instant, tier: Tier) -> Duration {
        let (own_total, longest) = self.pending_prefill(tier);
        let progress = now.saturating_duration_since(self.prefill_progress_at);
        own_total.saturating_sub(progress.min(longest)) + self.other_vms_backlog(now, tier)
    }

    /// Returns the estimated time until the other VMs' prompts of `tier` and above are prefilled,
    /// or `None` if there is no unexpired report.
    pub(super) fn reported_backlog(&self, now: Instant, tier: Tier) -> Option<Duration> {
        self.fresh_peer_loads(now).next().map(|_| self.other_vms_backlog(now, tier))
    }

    /// Returns the hash that identifies this start of the upstream when VMs exchange its decode
    /// pace.
    pub(super) fn key(&self) -> IncarnationHash {
        stable_hash((&self.record.id, self.record.incarnation)) as IncarnationHash
    }

    fn pending_prefill_by_tier(&self) -> BTreeMap<Tier, Duration> {
        let mut by_tier = BTreeMap::new();
        for prefilling in self.in_flight.values().filter(|it| it.is_prefilling) {
            *by_tier.entry(prefilling.tier).or_insert(Duration::ZERO) += prefilling.prefill;
        }
        by_tier
    }

    /// Returns the time to prefill this VM's prompts of `tier` and above whose response has not
    /// started, as the total and the longest single prompt.
    fn pending_prefill(&self, tier: Tier) -> (Duration, Duration) {
        let prefilling = self.in_flight.values().filter(|it| it.is_prefilling && it.tier <= tier);
        prefilling.fold((Duration::ZERO, Duration::ZERO), |(total, longest), it| {
            (total + it.prefill, longest.max(it.prefill))
        })
    }

    /// Returns the reported backlog of the other VMs, less the time since the reports.
    ///
    /// The engine shares its time among the VMs, so all their backlogs together shrink by no more
    /// than the time that has passed.
    fn other_vms_backlog(&self, now: Instant, tier: Tier) -> Duration {
        let total: Duration = self.fresh_peer_loads(now).map(|it| it.value.backlog(tier)).sum();
        let weighted_age_s: f64 = self
            .fresh_peer_loads(now)
            .map(|it| {
                let age = now.saturating_duration_since(it.received_at);
                it.value.backlog(tier).as_secs_f64() * age.as_secs_f64()
            })
            .sum();
        let age_s = weighted_age_s / total.as_secs_f64().max(f64::MIN_POSITIVE);
        total.saturating_sub(Duration::from_secs_f64(age_s.min(total.as_secs_f64())))
    }

    /// Returns the age of the oldest load report of another VM that is still in use.
    pub(super) fn peer_age(&self, now: Instant) -> Duration {
        let ages =
            self.fresh_peer_loads(now).map(|it| now.saturating_duration_since(it.received_at));
        ages.max().unwrap_or_default()
    }

    /// Returns this VM's load on the upstream, for reporting to other VMs, or `None` if it has no
    /// requests in flight there.
    pub(super) fn load_for_peers(&self) -> Option<UpstreamLoad> {
        let load = UpstreamLoad {
            upstream: self.record.id.clone(),
            in_flight: saturating_u16(u128::from(self.own_in_flight())),
            backlog: to_tier_backlogs(&self.pending_prefill_by_tier()),
        };
        (load.in_flight > 0).then_some(load)
    }

    /// Returns the unexpired reports of other VMs: one for each VM if this VM is the coordinator,
    /// else the coordinator's total.
    fn fresh_peer_loads(&self, now: Instant) -> impl Iterator<Item = &Timestamped<PeerLoad>> {
        let is_coordinator = self.peer_loads.values().any(|it| it.is_fresh(now));
        let coordinator_load = self.coordinator_load.as_ref().filter(|_| !is_coordinator);
        self.peer_loads.values().chain(coordinator_load).filter(move |it| it.is_fresh(now))
    }
}

impl Timestamped<PeerLoad> {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < LOAD_REPORT_LIFETIME
    }
}

impl From<&UpstreamLoad> for PeerLoad {
    fn from(load: &UpstreamLoad) -> Self {
        Self { in_flight: u32::from(load.in_flight), backlog: load.backlog.clone() }
    }
}

fn to_tier_backlogs(by_tier: &BTreeMap<Tier, Duration>) -> Vec<TierBacklog> {
    let tiers = by_tier.iter();
    tiers
        .map(|(tier, prefill)| TierBacklog {
            tier: *tier,
            prefill_ms: saturating_u16(prefill.as_millis()),
        })
        .collect()
}

fn saturating_u16(value: u128) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
