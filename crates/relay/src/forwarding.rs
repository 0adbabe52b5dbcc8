//! Calls that are served through other VMs while this VM reaches no upstream.
//!
//! A thread notices that this VM may be partitioned from the upstreams, asks other VMs for offers to
//! forward its calls, and finds out when the links are back.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::reachability::Forwarder;
use cranberryvalve_coordination::reachability::Reachability;
use cranberryvalve_coordination::reachability::UpstreamCount;
use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use slog::info;

use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::wait;
use crate::state::Relay;

/// Interval at which the links are checked while something is amiss.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without anything from any upstream, while attempts wait for responses, after which the links
/// are probed. Prefills of long prompts take less under usual load.
const SILENCE: Duration = Duration::from_millis(600);

/// Maximum time to establish a probe's connection: several round trips between failure domains with
/// one lost packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which one of several probes is waited for before the next one.
const PROBE_POLL: Duration = Duration::from_millis(2);

/// Number of upstreams that are probed at once.
const PROBED_UPSTREAMS: usize = 3;

/// Time for which a call waits for an offer when there is none yet: a round trip between regions and
/// the processing on two small VMs.
const OFFER_TIMEOUT: Duration = Duration::from_millis(150);

/// State of the links to the upstreams.
#[derive(Debug)]
pub(crate) struct Forwarding {
    state: Mutex<State>,
    /// Signalled when the checking thread has something to do.
    checks_needed: Condvar,
    /// Signalled when another VM offers to forward calls, or the links work after all.
    suspicion_changed: Condvar,
}

#[derive(Debug)]
struct State {
    reachability: Reachability,
    upstreams: UpstreamCount,
    /// Attempts that wait for a response, and since when nothing has come from any upstream.
    waiting_attempts: usize,
    silent_since: Instant,
    /// Whether the log has that this VM reaches no upstream.
    is_suspicion_logged: bool,
    /// VMs that wait for an offer until a probe shows that this VM reaches upstreams.
    requesters: Vec<PeerAddress>,
    /// Number of the next upstream to be probed.
    next_probe: usize,
    /// Address at which this VM takes calls of other VMs, once it listens.
    address: Option<SocketAddr>,
}

impl Forwarding {
    pub(crate) fn new(failure_domain: FailureDomainId, now: Instant) -> Self {
        let state = State {
            reachability: Reachability::new(failure_domain),
            upstreams: UpstreamCount::default(),
            waiting_attempts: 0,
            silent_since: now,
            is_suspicion_logged: false,
            requesters: Vec::new(),
            next_probe: 0,
            address: None,
        };
        Self {
            state: Mutex::new(state),
            checks_needed: Condvar::new(),
            suspicion_changed: Condvar::new(),
        }
    }

    pub(crate) fn set_address(&self, address: SocketAddr) {
        self.lock().address = Some(address);
    }

    /// Records the upstreams of a new directory.
    pub(crate) fn observe_upstreams(&self, upstreams: &[UpstreamRecord]) {
        let domains: HashSet<&FailureDomainId> =
            upstreams.iter().map(|it| &it.failure_domain).collect();
        self.lock().upstreams =
            UpstreamCount { total: upstreams.len(), failure_domains: domains.len() };
    }

    /// Counts an attempt that waits for a response, until the guard is dropped.
    pub(crate) fn track_attempt(&self) -> AttemptGuard<'_> {
        let mut state = self.lock();
        state.waiting_attempts += 1;
        if state.waiting_attempts == 1 {
            state.silent_since = Instant::now();
            self.checks_needed.notify_one();
        }
        AttemptGuard(self)
    }

    /// Records that an upstream sent something.
    pub(crate) fn record_served(&self) {
        let (now, mut state) = (Instant::now(), self.lock());
        state.silent_since = now;
        state.reachability.record_served(now);
    }

    /// Records that a new connection to an upstream was established.
    pub(crate) fn record_connected(&self) {
        let mut state = self.lock();
        let was_suspect = state.is_suspect();
        state.reachability.record_connected();
        drop(state);
        if was_suspect {
            self.suspicion_changed.notify_all();
        }
    }

    /// Records that no connection to an upstream could be established.
    pub(crate) fn record_unreachable(&self, upstream: &UpstreamRecord) {
        let mut state = self.lock();
        let domain = upstream.failure_domain.clone();
        state.reachability.record_unreachable(Instant::now(), upstream.id.clone(), domain);
        if state.is_suspect() {
            self.checks_needed.notify_one();
        }
    }

    /// Records that another VM offers to forward calls.
    pub(crate) fn record_offer(&self, from: PeerAddress, address: SocketAddr) {
        let PeerAddress { vm, failure_domain, .. } = from;
        let forwarder = Forwarder { vm, address, failure_domain };
        self.lock().reachability.record_offer(Instant::now(), forwarder);
        self.suspicion_changed.notify_all();
    }

    /// Returns `true` if this VM suspects its links to the upstreams.
    pub(crate) fn is_suspect(&self) -> bool {
        self.lock().is_suspect()
    }

    /// Returns `true` if this VM suspects its links to the upstreams, and another one can forward its
    /// calls.
    pub(crate) fn is_partitioned(&self) -> bool {
        let state = self.lock();
        state.is_suspect() && state.reachability.has_forwarder(Instant::now())
    }

    /// Returns the VMs that forward calls, in the order in which they are tried; waits for a first
    /// offer if this VM suspects its links.
    pub(crate) fn forwarders(&self) -> Vec<Forwarder> {
        let lacks_offer =
            |it: &mut State| it.is_suspect() && !it.reachability.has_forwarder(Instant::now());
        let waited =
            self.suspicion_changed.wait_timeout_while(self.lock(), OFFER_TIMEOUT, lacks_offer);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
        if !state.is_suspect() {
            return Vec::new();
        }
        state.reachability.next_forwarders(Instant::now())
    }

    /// Returns the upstreams among `directory` that are probed next.
    pub(crate) fn next_probed(&self, directory: &[UpstreamRecord]) -> Vec<UpstreamRecord> {
        self.lock().next_probed(directory)
    }

    /// Waits until the links have to be checked.
    fn wait_for_check(&self) {
        let mut state = self.lock();
        while !state.needs_check() {
            state = if state.waiting_attempts == 0 {
                self.checks_needed.wait(state).unwrap_or_else(PoisonError::into_inner)
            } else {
                let waited = self.checks_needed.wait_timeout(state, SILENCE);
                waited.unwrap_or_else(PoisonError::into_inner).0
            };
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_suspect(&self) -> bool {
        self.reachability.is_suspect(Instant::now(), self.upstreams)
    }

    fn is_silent(&self) -> bool {
        self.waiting_attempts > 0 && self.silent_since.elapsed() >= SILENCE
    }

    fn needs_check(&self) -> bool {
        self.is_suspicion_logged
            || self.is_suspect()
            || self.is_silent()
            || !self.requesters.is_empty()
    }

    /// Returns the upstreams to be probed next, in different failure domains as far as possible.
    fn next_probed(&mut self, directory: &[UpstreamRecord]) -> Vec<UpstreamRecord> {
        let mut listed: Vec<&UpstreamRecord> =
            directory.iter().filter(|it| !it.is_leaving).collect();
        if listed.is_empty() {
            return Vec::new();
        }
        let first = self.next_probe % listed.len();
        listed.rotate_left(first);
        self.next_probe = self.next_probe.wrapping_add(1);
        let mut chosen: Vec<&UpstreamRecord> = Vec::new();
        for upstream in &listed {
            if chosen.iter().all(|it| it.failure_domain != upstream.failure_domain) {
                chosen.push(upstream);
            }
        }
        let others = listed.iter().filter(|it| !chosen.iter().any(|other| other.id == it.id));
        let chosen = chosen.iter().chain(others).take(PROBED_UPSTREAMS);
        chosen.map(|it| (**it).clone()).collect()
    }
}

/// An attempt that waits for a response, counted until it is dropped.
pub(crate) struct AttemptGuard<'a>(&'a Forwarding);

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting_attempts -= 1;
    }
}

impl Relay {
    /// Checks the links to the upstreams while something is amiss. Never returns.
    pub(crate) fn run_link_checks(&self) {
        loop {
            self.forwarding.wait_for_check();
            self.check_links();
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    fn check_links(&self) {
        let started_at = Instant::now();
        let probed = self.forwarding.next_probed(&self.dispatcher.directory());
        let reaches_any = self.probe(&probed, PROBE_TIMEOUT);
        let (is_suspect, was_suspect, requesters) = {
            let mut state = self.forwarding.lock();
            state.silent_since = state.silent_since.max(started_at);
            let is_suspect = state.is_suspect();
            let was_suspect = std::mem::replace(&mut state.is_suspicion_logged, is_suspect);
            (is_suspect, was_suspect, std::mem::take(&mut state.requesters))
        };
        if is_suspect != was_suspect {
            self.report_links(is_suspect);
        }
        let Some(peers) = self.peers() else { return };
        if is_suspect {
            peers.request_forwarding();
        }
        if reaches_any {
            requesters.iter().for_each(|it| self.offer_forwarding(it));
        }
    }

    fn report_links(&self, is_suspect: bool) {
        let message = if is_suspect { "reaches no upstream" } else { "reaches upstreams again" };
        info!(self.log, "{}", message);
        metrics::gauge!("cranberryvalve_partitioned").set(f64::from(u8::from(is_suspect)));
        if is_suspect {
            // They may hang until their time is over.
            self.idle_connections.retain(|_| false);
        }
    }

    /// Probes upstreams. Returns `true` if one of them accepts a connection.
    pub(crate) fn probe(&self, upstreams: &[UpstreamRecord], timeout: Duration) -> bool {
        let is_any = !accepting(upstreams, timeout, 1).is_empty();
        if is_any {
            self.forwarding.record_connected();
        } else {
            upstreams.iter().for_each(|it| self.forwarding.record_unreachable(it));
        }
        is_any
    }

    /// Answers a VM that asks for an offer: at once if upstreams have served this VM lately, and
    /// otherwise once a probe has shown that it reaches them.
    pub(crate) fn handle_forward_request(&self, from: &PeerAddress) {
        let is_served = {
            let mut state = self.forwarding.lock();
            let is_served = state.reachability.is_served(Instant::now()) && !state.is_suspect();
            if !is_served && !state.requesters.contains(from) {
                state.requesters.push(from.clone());
                self.forwarding.checks_needed.notify_one();
            }
            is_served
        };
        if is_served {
            self.offer_forwarding(from);
        }
    }

    fn offer_forwarding(&self, to: &PeerAddress) {
        let address = self.forwarding.lock().address.filter(|_| !self.is_draining());
        if let (Some(address), Some(peers)) = (address, self.peers()) {
            peers.send_forward_offer(to, address);
        }
    }
}

/// Returns those of `upstreams` that accept a connection within `timeout`, or the first `enough` of
/// them.
pub(crate) fn accepting(
    upstreams: &[UpstreamRecord],
    timeout: Duration,
    enough: usize,
) -> Vec<UpstreamId> {
    let deadline = Instant::now() + timeout;
    let connect =
        |it: &UpstreamRecord| Some((it.id.clone(), Connection::connect(it.address).ok()?));
    let mut pending: Vec<(UpstreamId, Connection)> = upstreams.iter().filter_map(connect).collect();
    let mut accepting = Vec::new();
    while !pending.is_empty() && accepting.len() < enough && Instant::now() < deadline {
        pending.retain(|(upstream, connection)| {
            let interest = Interest {
                upstream: Some(connection),
                upstream_output: true,
                ..Interest::default()
            };
            let is_done = wait(interest, Instant::now() + PROBE_POLL).is_ok_and(|it| it.upstream);
            if is_done && matches!(connection.connect_error(), Ok(None)) {
                accepting.push(upstream.clone());
            }
            !is_done
        });
    }
    accepting
}
