//! State of one upstream as this VM believes it to be.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::VmId;
use cranberryvalve_core::table::EngineProfile;
use serde::Deserialize;
use serde::Serialize;

use super::Call;
use super::ToldLoad;
use super::cache::PrefixCache;
use super::engine;
use crate::upstream::Circuit;

/// Age at which another VM's figures, or an upstream's own, say nothing any more.
pub(super) const FIGURES_LIFETIME: Duration = Duration::from_secs(1);

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

/// What a VM has in flight at one upstream, as told to the other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Requests in flight.
    pub in_flight: u16,
    /// Estimated time for the prompts that are still to be read, in milliseconds.
    pub backlog_ms: u16,
}

/// An attempt under way.
#[derive(Debug)]
struct InFlight {
    /// Time to read the prompt.
    read: Duration,
    sent_at: Instant,
    is_reading: bool,
}

#[derive(Debug, Clone, Copy)]
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
    in_flight: HashMap<RequestId, InFlight>,
    /// When a prompt was last seen to be read, or began to be the only one.
    read_progress_at: Instant,
    told: Option<Timed<ToldLoad>>,
    peers: HashMap<VmId, Timed<PeerFigures>>,
}

#[derive(Debug, Clone, Copy)]
struct PeerFigures {
    in_flight: u32,
    backlog: Duration,
}

impl Upstream {
    pub(super) fn new(record: UpstreamRecord, engine: Option<&EngineProfile>, now: Instant) -> Self {
        Self {
            record,
            is_gone: false,
            circuit: Circuit::new(),
            cache: PrefixCache::new(engine.map_or(0, |it| it.memory_tokens)),
            is_engine: engine.is_some(),
            in_flight: HashMap::new(),
            read_progress_at: now,
            told: None,
            peers: HashMap::new(),
        }
    }

    /// Whether new work may go to it.
    pub(super) fn takes_work(&self, now: Instant) -> bool {
        !self.record.is_leaving && !self.is_gone && self.circuit.admits(now)
    }

    /// Notes an attempt that is sent.
    pub(super) fn sent(&mut self, now: Instant, call: &Call) {
        let read = self.read_time(call);
        if !self.in_flight.values().any(|it| it.is_reading) {
            self.read_progress_at = now;
        }
        let in_flight = InFlight { read, sent_at: now, is_reading: call.prompt.is_some() };
        self.in_flight.insert(call.id, in_flight);
        if let Some(prompt) = &call.prompt {
            self.cache.insert(prompt);
        }
        self.circuit.sent(now);
    }

    /// Notes the first part of an answer.
    pub(super) fn answering(&mut self, now: Instant, id: RequestId) {
        if let Some(in_flight) = self.in_flight.get_mut(&id) {
            in_flight.is_reading = false;
            self.read_progress_at = now;
        }
        self.circuit.answered();
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
    pub(super) fn peer_told(&mut self, now: Instant, vm: &VmId, load: &PeerLoad) {
        let figure = PeerFigures {
            in_flight: u32::from(load.in_flight),
            backlog: Duration::from_millis(u64::from(load.backlog_ms)),
        };
        self.peers.insert(vm.clone(), Timed { figure, at: now });
    }

    /// Forgets what `vm` had in flight here.
    pub(super) fn forget_peer(&mut self, vm: &VmId) {
        self.peers.remove(vm);
    }

    /// Requests of this VM in flight.
    pub(super) fn own_in_flight(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Requests of all VMs in flight, as far as they are known.
    pub(super) fn in_flight(&self, now: Instant) -> u32 {
        let peers: u32 = self.fresh_peers(now).map(|it| it.figure.in_flight).sum();
        let known = self.own_in_flight() + peers;
        let told = self.told.filter(|it| now.duration_since(it.at) < FIGURES_LIFETIME / 2);
        known.max(told.map_or(0, |it| it.figure.running + it.figure.waiting))
    }

    /// Estimated time until all prompts sent so far are read.
    pub(super) fn backlog(&self, now: Instant) -> Duration {
        let peers = self.fresh_peers(now).map(|it| {
            it.figure.backlog.saturating_sub(now.saturating_duration_since(it.at))
        });
        self.own_backlog(now) + peers.sum::<Duration>()
    }

    /// Estimated time until all prompts that this VM sent are read.
    pub(super) fn own_backlog(&self, now: Instant) -> Duration {
        let reading = self.in_flight.values().filter(|it| it.is_reading);
        let (total, longest) =
            reading.fold((Duration::ZERO, Duration::ZERO), |(total, longest), it| {
                (total + it.read, longest.max(it.read))
            });
        let progress = now.saturating_duration_since(self.read_progress_at);
        total.saturating_sub(progress.min(longest))
    }

    /// Age of the oldest figure of another VM that is in use.
    pub(super) fn peer_age(&self, now: Instant) -> Duration {
        let ages = self.fresh_peers(now).map(|it| now.saturating_duration_since(it.at));
        ages.max().unwrap_or_default()
    }

    /// Time since the oldest prompt was sent that has had no answer.
    pub(super) fn oldest_wait(&self, now: Instant) -> Duration {
        let reading = self.in_flight.values().filter(|it| it.is_reading);
        let waits = reading.map(|it| now.saturating_duration_since(it.sent_at));
        waits.max().unwrap_or_default()
    }

    /// What the other VMs are told of this VM's work; none when there is none.
    pub(super) fn load_for_peers(&self, now: Instant) -> Option<PeerLoad> {
        let in_flight = u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX);
        let backlog_ms = u16::try_from(self.own_backlog(now).as_millis()).unwrap_or(u16::MAX);
        let upstream = self.record.id.clone();
        (in_flight > 0).then_some(PeerLoad { upstream, in_flight, backlog_ms })
    }

    /// Time to read the part of the prompt that is not cached.
    pub(super) fn read_time(&self, call: &Call) -> Duration {
        let Some(prompt) = &call.prompt else { return Duration::ZERO };
        let cached_tokens = self.cache.cached_tokens(prompt);
        engine::read_time(prompt.input_tokens, cached_tokens)
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &Timed<PeerFigures>> {
        self.peers
            .values()
            .filter(move |it| now.saturating_duration_since(it.at) < FIGURES_LIFETIME)
    }
}
