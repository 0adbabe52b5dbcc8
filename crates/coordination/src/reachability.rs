//! Whether a VM reaches the upstreams, and which other VMs can forward its calls if it does not.
//!
//! A VM may be partitioned from all upstreams while callers, the store and the other VMs reach it.
//! Connection attempts that fail at several upstreams, in several failure domains if there are, with
//! none that succeeds, show that the fault may be the VM's own. Other VMs that upstreams have served
//! lately offer to forward calls; without such an offer the upstreams are taken to be down for all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::VmId;

/// Number of upstreams, and of failure domains, that must be unreachable before the VM suspects its
/// own links, if there are so many.
const MIN_UNREACHABLE: usize = 2;

/// Time for which a failed connection attempt counts. A VM that has no calls makes none.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);

/// Time for which an offer holds. A VM that needs it asks again several times within it.
const OFFER_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time for which a VM counts as served by upstreams after one has sent it something.
const SERVED_MEMORY: Duration = Duration::from_secs(1);

/// A VM that forwards calls to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forwarder {
    /// Name of the VM.
    pub vm: VmId,
    /// Address at which it takes calls of other VMs.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
}

/// How many upstreams there are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamCount {
    /// Number of upstreams.
    pub total: usize,
    /// Number of failure domains that have upstreams.
    pub failure_domains: usize,
}

/// One VM's view of its links to the upstreams.
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_coordination::reachability::Reachability;
/// use cranberryvalve_coordination::reachability::UpstreamCount;
///
/// let (now, count) = (Instant::now(), UpstreamCount { total: 4, failure_domains: 2 });
/// let mut reachability = Reachability::new("near".into());
/// reachability.record_unreachable(now, "engine-1".into(), "near".into());
/// assert!(!reachability.is_suspect(now, count));
/// reachability.record_unreachable(now, "engine-2".into(), "far".into());
/// assert!(reachability.is_suspect(now, count));
/// reachability.record_connected();
/// assert!(!reachability.is_suspect(now, count));
/// ```
#[derive(Debug)]
pub struct Reachability {
    failure_domain: FailureDomainId,
    unreachable: BTreeMap<UpstreamId, (FailureDomainId, Instant)>,
    served_at: Option<Instant>,
    offers: BTreeMap<VmId, (Forwarder, Instant)>,
    /// Number of calls that were forwarded, for taking turns.
    turns: usize,
}

impl Reachability {
    /// Creates the view of a VM in this failure domain.
    pub const fn new(failure_domain: FailureDomainId) -> Self {
        Self {
            failure_domain,
            unreachable: BTreeMap::new(),
            served_at: None,
            offers: BTreeMap::new(),
            turns: 0,
        }
    }

    /// Records that a new connection to an upstream was established.
    pub fn record_connected(&mut self) {
        self.unreachable.clear();
    }

    /// Records that an upstream sent something on a connection.
    pub const fn record_served(&mut self, now: Instant) {
        self.served_at = Some(now);
    }

    /// Records that no connection to an upstream could be established.
    pub fn record_unreachable(
        &mut self,
        now: Instant,
        upstream: UpstreamId,
        failure_domain: FailureDomainId,
    ) {
        self.unreachable.insert(upstream, (failure_domain, now));
    }

    /// Records that another VM offers to forward calls.
    pub fn record_offer(&mut self, now: Instant, forwarder: Forwarder) {
        self.offers.insert(forwarder.vm.clone(), (forwarder, now));
    }

    /// Returns `true` if this VM suspects its own links, given how many upstreams there are.
    pub fn is_suspect(&self, now: Instant, upstreams: UpstreamCount) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FAILURE_MEMORY;
        let recent = self.unreachable.values().filter(|(_, at)| is_recent(*at));
        let domains: BTreeSet<&FailureDomainId> = recent.clone().map(|(it, _)| it).collect();
        let needed = MIN_UNREACHABLE.min(upstreams.total);
        needed > 0
            && recent.count() >= needed
            && domains.len() >= MIN_UNREACHABLE.min(upstreams.failure_domains)
    }

    /// Returns `true` if an upstream has sent this VM something lately.
    pub fn is_served(&self, now: Instant) -> bool {
        self.served_at.is_some_and(|it| now.saturating_duration_since(it) < SERVED_MEMORY)
    }

    /// Returns the VMs that forward calls, in the order in which the next call tries them: those of
    /// this VM's failure domain first, by turns.
    pub fn next_forwarders(&mut self, now: Instant) -> Vec<Forwarder> {
        self.offers.retain(|_, (_, at)| now.saturating_duration_since(*at) < OFFER_LIFETIME);
        let offered = self.offers.values().map(|(it, _)| it.clone());
        let (mut near, mut far): (Vec<Forwarder>, Vec<Forwarder>) =
            offered.partition(|it| it.failure_domain == self.failure_domain);
        for group in [&mut near, &mut far] {
            let turn = self.turns % group.len().max(1);
            group.rotate_left(turn);
        }
        self.turns = self.turns.wrapping_add(1);
        near.append(&mut far);
        near
    }

    /// Returns `true` if a VM offers to forward calls.
    pub fn has_forwarder(&self, now: Instant) -> bool {
        self.offers.values().any(|(_, at)| now.saturating_duration_since(*at) < OFFER_LIFETIME)
    }
}
