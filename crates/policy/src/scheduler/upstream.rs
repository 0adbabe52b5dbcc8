//! State of one upstream as this VM believes it to be.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::TierBacklog;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamKey;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::VmId;
use cranberryvalve_core::shared_hash;
use cranberryvalve_core::table::EngineProfile;

use super::Call;
use super::PlacementReason;
use super::Predicted;
use super::Prediction;
use super::ToldLoad;
use super::decode_pace::DecodePace;
use super::prefix_cache::PrefixCache;
use crate::upstream::Circuit;

/// Age at which another VM's figures, or an upstream's own, say nothing any more.
pub(super) const FIGURES_LIFETIME: Duration = Duration::from_millis(1_200);

/// An upstream in the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Name.
    pub id: UpstreamId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// Number that differs for each start under the same name.
    pub incarnation: u64,
}

/// An attempt under way.
#[derive(Debug)]
struct InFlight {
    tier: Tier,
    /// Time to read the prompt.
    read: Duration,
    is_reading: bool,
    sent_at: Instant,
    /// Expected time to the first part of the answer.
    expected: Duration,
}

#[derive(Debug, Clone)]
struct Timed<T> {
    figure: T,
    at: Instant,
}

/// An upstream, the work that it has, and its health.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) record: UpstreamRecord,
    /// Set when it refused requests as meant for another incarnation.
    pub(super) is_gone: bool,
    pub(super) circuit: Circuit,
    pub(super) cache: PrefixCache,
    pub(super) is_engine: bool,
    pub(super) pace: DecodePace,
    in_flight: HashMap<RequestId, InFlight>,
    /// When a prompt was last seen to be read, or began to be the only one.
    read_progress_at: Instant,
    told: Option<Timed<ToldLoad>>,
    /// Work of other VMs, when this VM is the upstream's home.
    peers: HashMap<VmId, Timed<PeerFigures>>,
    /// Work of all other VMs, as the upstream's home told it.
    others: Option<Timed<PeerFigures>>,
}

#[derive(Debug, Clone)]
struct PeerFigures {
    in_flight: u32,
    backlog: Vec<TierBacklog>,
}

impl PeerFigures {
    /// Time to read the prompts of `tier` and above.
    fn backlog(&self, tier: Tier) -> Duration {
        let counted = self.backlog.iter().filter(|it| it.tier <= tier);
        counted.map(|it| Duration::from_millis(u64::from(it.read_ms))).sum()
    }
}

impl Upstream {
    pub(super) fn new(record: UpstreamRecord, now: Instant) -> Self {
        Self {
            record,
            is_gone: false,
            circuit: Circuit::new(),
            cache: PrefixCache::default(),
            is_engine: false,
            pace: DecodePace::default(),
            in_flight: HashMap::new(),
            read_progress_at: now,
            told: None,
            peers: HashMap::new(),
            others: None,
        }
    }

    /// Takes what the table in force says of its pool's engines; none for a plain service.
    pub(super) fn set_engine(&mut self, engine: Option<&EngineProfile>) {
        self.is_engine = engine.is_some();
        self.cache.set_memory(engine.map_or(0, |it| it.memory_tokens));
    }

    /// Whether new work may go to it.
    pub(super) fn takes_work(&self, now: Instant) -> bool {
        !self.record.is_leaving && !self.is_gone && self.circuit.admits(now)
    }

    /// Notes an attempt that is sent, with the estimates that decided.
    pub(super) fn sent(&mut self, now: Instant, call: &Call, reason: &PlacementReason) {
        if !self.in_flight.values().any(|it| it.is_reading) {
            self.read_progress_at = now;
        }
        let is_reading = call.prompt.is_some();
        let in_flight = InFlight {
            tier: call.tier,
            read: reason.read,
            is_reading,
            sent_at: now,
            expected: reason.backlog + reason.read,
        };
        self.in_flight.insert(call.id, in_flight);
        if let Some(prompt) = &call.prompt {
            self.cache.insert(prompt);
        }
        self.circuit.sent(now);
    }

    /// Notes the first part of an answer; returns what was expected of it, for prompts.
    pub(super) fn answering(&mut self, now: Instant, id: RequestId) -> Option<Prediction> {
        self.circuit.answered();
        let in_flight = self.in_flight.get_mut(&id)?;
        self.read_progress_at = now;
        if !std::mem::take(&mut in_flight.is_reading) {
            return None;
        }
        Some(Prediction {
            predicted: Predicted::FirstEvent,
            expected: in_flight.expected,
            observed: now.saturating_duration_since(in_flight.sent_at),
        })
    }

    /// Forgets an attempt that ended.
    pub(super) fn ended(&mut self, id: RequestId) {
        self.in_flight.remove(&id);
    }

    /// Takes load that the upstream told.
    pub(super) const fn told(&mut self, now: Instant, load: ToldLoad) {
        self.told = Some(Timed { figure: load, at: now });
    }

    /// Takes what another VM has in flight here.
    pub(super) fn peer_told(&mut self, now: Instant, vm: &VmId, load: &UpstreamLoad) {
        self.peers.insert(vm.clone(), Timed { figure: PeerFigures::from(load), at: now });
    }

    /// Takes what the home told of all other VMs.
    pub(super) fn home_told(&mut self, now: Instant, load: &UpstreamLoad) {
        self.others = Some(Timed { figure: PeerFigures::from(load), at: now });
    }

    /// What all VMs but `vm` have in flight, for this VM as the upstream's home to tell.
    pub(super) fn load_without(&self, now: Instant, vm: &VmId) -> UpstreamLoad {
        let peers = self.peers.iter().filter(|(it, _)| *it != vm).map(|(_, it)| it);
        let fresh: Vec<&Timed<PeerFigures>> = peers.filter(|it| it.is_fresh(now)).collect();
        let in_flight: u32 = fresh.iter().map(|it| it.figure.in_flight).sum();
        let mut backlog = self.unread_by_tier();
        for told in fresh.iter().flat_map(|it| &it.figure.backlog) {
            *backlog.entry(told.tier).or_default() += Duration::from_millis(told.read_ms.into());
        }
        UpstreamLoad {
            upstream: self.record.id.clone(),
            in_flight: saturate(u128::from(in_flight + self.own_in_flight())),
            backlog: tier_backlogs(&backlog),
        }
    }

    /// Requests of this VM in flight.
    pub(super) fn own_in_flight(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Requests of all VMs in flight, as far as they are known.
    pub(super) fn in_flight(&self, now: Instant) -> u32 {
        let peers: u32 = self.others(now).map(|it| it.figure.in_flight).sum();
        let known = self.own_in_flight() + peers;
        let told = self.told.as_ref().filter(|it| now.duration_since(it.at) < FIGURES_LIFETIME / 2);
        known.max(told.map_or(0, |it| it.figure.running + it.figure.waiting))
    }

    /// Estimated time until all prompts of `tier` and above that were sent so far are read; engines
    /// let them pass those below.
    ///
    /// The engine reads one prompt after the other, so what was read of all of them since the last
    /// one was done is at most one of them.
    pub(super) fn backlog(&self, now: Instant, tier: Tier) -> Duration {
        let (own, longest) = self.unread(tier);
        let progress = now.saturating_duration_since(self.read_progress_at);
        own.saturating_sub(progress.min(longest)) + self.others_backlog(now, tier)
    }

    /// Estimated time until the prompts of the other VMs of `tier` and above are read; none when
    /// nobody told.
    pub(super) fn told_backlog(&self, now: Instant, tier: Tier) -> Option<Duration> {
        self.others(now).next().map(|_| self.others_backlog(now, tier))
    }

    /// What other VMs call this start of the upstream when they tell its pace.
    pub(super) fn key(&self) -> UpstreamKey {
        shared_hash((&self.record.id, self.record.incarnation)) as UpstreamKey
    }

    fn unread_by_tier(&self) -> BTreeMap<Tier, Duration> {
        let mut by_tier = BTreeMap::new();
        for reading in self.in_flight.values().filter(|it| it.is_reading) {
            *by_tier.entry(reading.tier).or_insert(Duration::ZERO) += reading.read;
        }
        by_tier
    }

    /// Time to read the prompts of `tier` and above that this VM sent and that are not answered
    /// yet, and the longest of them.
    fn unread(&self, tier: Tier) -> (Duration, Duration) {
        let reading = self.in_flight.values().filter(|it| it.is_reading && it.tier <= tier);
        reading.fold((Duration::ZERO, Duration::ZERO), |(total, longest), it| {
            (total + it.read, longest.max(it.read))
        })
    }

    /// What the other VMs told, less the time since then: the engine shares itself among them, so
    /// that all of their figures together shrink by no more than the time that passes.
    fn others_backlog(&self, now: Instant, tier: Tier) -> Duration {
        let total: Duration = self.others(now).map(|it| it.figure.backlog(tier)).sum();
        let weighted_age_s: f64 = self
            .others(now)
            .map(|it| {
                let age = now.saturating_duration_since(it.at);
                it.figure.backlog(tier).as_secs_f64() * age.as_secs_f64()
            })
            .sum();
        let age_s = weighted_age_s / total.as_secs_f64().max(f64::MIN_POSITIVE);
        total.saturating_sub(Duration::from_secs_f64(age_s.min(total.as_secs_f64())))
    }

    /// Age of the oldest figure of another VM that is in use.
    pub(super) fn peer_age(&self, now: Instant) -> Duration {
        let ages = self.others(now).map(|it| now.saturating_duration_since(it.at));
        ages.max().unwrap_or_default()
    }

    /// What the other VMs are told of this VM's work; none when there is none.
    pub(super) fn load_for_peers(&self) -> Option<UpstreamLoad> {
        let load = UpstreamLoad {
            upstream: self.record.id.clone(),
            in_flight: saturate(u128::from(self.own_in_flight())),
            backlog: tier_backlogs(&self.unread_by_tier()),
        };
        (load.in_flight > 0).then_some(load)
    }

    /// Fresh figures of other VMs: their own at the home, and the home's elsewhere.
    fn others(&self, now: Instant) -> impl Iterator<Item = &Timed<PeerFigures>> {
        let is_home = self.peers.values().any(|it| it.is_fresh(now));
        let told = self.others.as_ref().filter(|_| !is_home);
        self.peers.values().chain(told).filter(move |it| it.is_fresh(now))
    }
}

impl Timed<PeerFigures> {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < FIGURES_LIFETIME
    }
}

impl From<&UpstreamLoad> for PeerFigures {
    fn from(load: &UpstreamLoad) -> Self {
        Self { in_flight: u32::from(load.in_flight), backlog: load.backlog.clone() }
    }
}

fn tier_backlogs(by_tier: &BTreeMap<Tier, Duration>) -> Vec<TierBacklog> {
    let tiers = by_tier.iter();
    tiers
        .map(|(tier, read)| TierBacklog { tier: *tier, read_ms: saturate(read.as_millis()) })
        .collect()
}

fn saturate(figure: u128) -> u16 {
    u16::try_from(figure).unwrap_or(u16::MAX)
}
