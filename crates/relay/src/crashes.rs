//! Finds out which upstreams crashed under this VM's calls, and holds back calls that crash them.
//!
//! When an upstream breaks off a response, its address is probed: if it refuses connections, its
//! process has ended. An upstream that broke off for another reason still accepts them, and one
//! behind a cut link does not answer, so neither counts as crashed. Behind a cut in which connections
//! are refused no other upstream accepts them either, while those in question accept other VMs.

use std::collections::HashMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::quarantine::Quarantine;
use cranberryvalve_coordination::quarantine::QuarantineChange;
use cranberryvalve_coordination::quarantine::Refusal;
use cranberryvalve_coordination::quarantine::SuspectUpdate;
use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamStart;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use slog::Logger;
use slog::info;

use crate::exchange::AttemptOutcome;
use crate::exchange::Exchange;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::wait;
use crate::state::Relay;

/// Time for which an upstream may still accept connections after it closed one: a process that ends
/// closes its sockets one after the other.
const CLOSING_TIME: Duration = Duration::from_millis(20);

/// Time in which a probe is refused if the upstream's process has ended: a round trip between
/// regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// Number of events from which an interrupted stream shows that its prompt is sound.
const MIN_SOUND_EVENTS: u32 = 3;

/// Maximum number of interrupted attempts that wait to be looked into.
const MAX_PENDING_INTERRUPTIONS: usize = 1_024;

/// Time for which news of other VMs is collected before it is forwarded. A crash is told by all VMs that
/// see it at about the same moment, and passes 9 VMs at most on its way: 0.2 s together.
const FORWARDING_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of keys that are sent to another VM at once; about 100 bytes each.
const MAX_SUSPECTS_PER_MESSAGE: usize = 48;

/// An attempt whose response broke off before it had begun, or right after.
#[derive(Debug)]
struct Interruption {
    upstream: UpstreamRecord,
    keys: Vec<SuspectKey>,
    at: Instant,
}

/// What this VM knows of calls that crash upstreams.
#[derive(Debug)]
pub(crate) struct CrashGuard {
    quarantine: Mutex<Quarantine>,
    interruptions: mpsc::SyncSender<Interruption>,
    /// Taken by the thread that looks into interruptions.
    pending: Mutex<Option<mpsc::Receiver<Interruption>>>,
    /// Notified when other VMs have told something new.
    has_news: Condvar,
    log: Logger,
}

impl CrashGuard {
    pub(crate) fn new(log: Logger) -> Self {
        let (interruptions, pending) = mpsc::sync_channel(MAX_PENDING_INTERRUPTIONS);
        let pending = Mutex::new(Some(pending));
        let has_news = Condvar::new();
        Self { quarantine: Mutex::default(), interruptions, pending, has_news, log }
    }

    /// Returns the refusal of a call that must not be sent.
    pub(crate) fn check(&self, keys: &[SuspectKey]) -> Result<(), Refusal> {
        self.lock().check(Instant::now(), keys)
    }

    /// Returns the condemned keys.
    pub(crate) fn condemned(&self) -> Vec<Refusal> {
        self.lock().condemned(Instant::now())
    }

    /// Returns the strongest evidence that this VM knows of.
    pub(crate) fn updates(&self) -> Vec<SuspectUpdate> {
        self.lock().updates(Instant::now(), MAX_SUSPECTS_PER_MESSAGE)
    }

    /// Returns the evidence that is worth being sent again.
    pub(crate) fn repeated_updates(&self) -> Vec<SuspectUpdate> {
        self.lock().repeated_updates(Instant::now(), MAX_SUSPECTS_PER_MESSAGE)
    }

    /// Drops outdated evidence.
    pub(crate) fn tick(&self) {
        self.lock().on_tick(Instant::now());
    }

    fn report(&self, changes: &[QuarantineChange]) {
        for change in changes {
            let (name, key) = match change {
                QuarantineChange::Condemned { key, crashed } => {
                    info!(self.log, "quarantined"; "key" => %key, "crashed" => join(crashed));
                    ("condemned", key)
                }
                QuarantineChange::Lifted { key } => {
                    info!(self.log, "quarantine lifted"; "key" => %key);
                    ("lifted", key)
                }
            };
            let kind = key.kind();
            metrics::counter!("cranberryvalve_quarantine_changes_total", "key" => kind,
                "change" => name)
            .increment(1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Exchange<'_> {
    /// Records what an attempt shows about the call's keys. `events` is the number of events of the
    /// attempt, and `first_part_at` the time of the first event of the call.
    pub(crate) fn record_evidence(
        &self,
        upstream: &UpstreamRecord,
        outcome: &AttemptOutcome,
        first_part_at: Option<Instant>,
        events: u32,
    ) {
        let responded_at = match outcome {
            AttemptOutcome::Buffered(response) => {
                let is_sound = |it: &&SuspectKey| {
                    response.head().is_success() || matches!(it, SuspectKey::Request(_))
                };
                let keys: Vec<_> = self.suspect_keys.iter().filter(is_sound).cloned().collect();
                self.relay.record_response(Instant::now(), &keys);
                return;
            }
            AttemptOutcome::Streamed { is_delimited_by_close: false } => first_part_at,
            _ => first_part_at.filter(|_| events >= MIN_SOUND_EVENTS),
        };
        if let Some(responded_at) = responded_at {
            self.relay.record_response(responded_at, self.suspect_keys);
        } else if matches!(outcome, AttemptOutcome::Incomplete | AttemptOutcome::Streamed { .. }) {
            self.relay.record_interruption(upstream, self.suspect_keys);
        }
    }
}

impl Relay {
    /// Claims the right to send a call with these keys now.
    pub(crate) fn claim_send(&self, keys: &[SuspectKey]) -> Result<(), Refusal> {
        let trials = self.crash_guard.lock().claim(Instant::now(), keys)?;
        for key in &trials {
            info!(self.log, "quarantine trial started"; "key" => %key);
        }
        if !trials.is_empty() {
            self.forward_suspects();
        }
        Ok(())
    }

    /// Queues an attempt to be looked into whose response broke off before it had begun, or right
    /// after.
    fn record_interruption(&self, upstream: &UpstreamRecord, keys: &[SuspectKey]) {
        let upstream = upstream.clone();
        let interruption = Interruption { upstream, keys: keys.to_vec(), at: Instant::now() };
        // Dropped if too many wait: the later crashes of such a series are seen as well.
        let _ = self.crash_guard.interruptions.try_send(interruption);
    }

    /// Records that an upstream began to respond to a call with these keys, and went on well.
    fn record_response(&self, responded_at: Instant, keys: &[SuspectKey]) {
        let changes = self.crash_guard.lock().record_response(responded_at, keys);
        self.crash_guard.report(&changes);
        self.forward_suspects();
    }

    /// Merges what another VM knows of calls that crash upstreams. What is new is forwarded after
    /// [`FORWARDING_DELAY`], or at once if a trial has been started.
    pub(crate) fn merge_suspects(&self, updates: &[SuspectUpdate]) {
        let (changes, has_news, is_urgent) = {
            let mut quarantine = self.crash_guard.lock();
            let changes = quarantine.merge(Instant::now(), updates);
            (changes, quarantine.has_updates(), quarantine.has_urgent_updates())
        };
        self.crash_guard.report(&changes);
        if is_urgent {
            self.forward_suspects();
        } else if has_news {
            self.crash_guard.has_news.notify_one();
        }
    }

    /// Forwards what other VMs have told. Never returns.
    pub(crate) fn run_suspect_forwarding(&self) {
        loop {
            let quarantine = self.crash_guard.lock();
            let has_news = &self.crash_guard.has_news;
            let is_known = |it: &mut Quarantine| !it.has_updates();
            drop(has_news.wait_while(quarantine, is_known).unwrap_or_else(PoisonError::into_inner));
            thread::sleep(FORWARDING_DELAY);
            self.forward_suspects();
        }
    }

    /// Looks into interrupted attempts. Never returns.
    pub(crate) fn run_crash_detection(&self) {
        let pending =
            self.crash_guard.pending.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(pending) = pending else { return };
        while let Ok(first) = pending.recv() {
            thread::sleep(CLOSING_TIME);
            let mut by_start: HashMap<UpstreamStart, Vec<Interruption>> = HashMap::new();
            for interruption in std::iter::once(first).chain(pending.try_iter()) {
                let start = UpstreamStart {
                    upstream: interruption.upstream.id.clone(),
                    incarnation: interruption.upstream.incarnation,
                };
                let may_lack_room = self.dispatcher.may_lack_room(interruption.at, &start.upstream);
                if self.is_in_service(&start) && !may_lack_room {
                    by_start.entry(start).or_default().push(interruption);
                }
            }
            retain_crashed(&mut by_start);
            if !by_start.is_empty() {
                self.drop_unreachable(&mut by_start);
            }
            for (start, interruptions) in by_start {
                self.record_crash(&start, &interruptions);
            }
        }
    }

    /// Drops upstreams that refuse connections to this VM only, as it is cut off from them: it reaches
    /// no other upstream either, and they accept connections from other VMs.
    fn drop_unreachable(&self, refusing: &mut HashMap<UpstreamStart, Vec<Interruption>>) {
        let is_refusing =
            |it: &UpstreamRecord| refusing.keys().any(|start| start.upstream == it.id);
        let directory = self.dispatcher.directory();
        let others: Vec<UpstreamRecord> =
            directory.into_iter().filter(|it| !is_refusing(it)).collect();
        if self.probe(&self.forwarding.next_probed(&others), PROBE_TIMEOUT) {
            return;
        }
        let Some(peers) = self.peers() else { return };
        let suspects: Vec<UpstreamId> = refusing.keys().map(|it| it.upstream.clone()).collect();
        let accepting = peers.query_accepting(&suspects);
        if !accepting.is_empty() {
            info!(self.log, "upstreams refuse connections to this VM only";
                "upstreams" => join(&accepting));
            refusing.clear();
        }
    }

    /// Returns `true` if the directory lists this start of the upstream, and not as leaving.
    fn is_in_service(&self, start: &UpstreamStart) -> bool {
        let listed = self.dispatcher.upstream(&start.upstream);
        listed.is_some_and(|it| it.incarnation == start.incarnation && !it.is_leaving)
    }

    fn record_crash(&self, start: &UpstreamStart, interruptions: &[Interruption]) {
        info!(self.log, "upstream crashed"; "upstream" => &*start.upstream,
            "calls" => interruptions.len());
        metrics::counter!("cranberryvalve_upstream_crashes_total").increment(1);
        for interruption in interruptions {
            let keys = &interruption.keys;
            let changes = self.crash_guard.lock().record_crash(start, interruption.at, keys);
            self.crash_guard.report(&changes);
        }
        self.forward_suspects();
    }

    /// Tells the neighbours what is new to this VM.
    fn forward_suspects(&self) {
        let updates = self.crash_guard.lock().take_updates(Instant::now());
        let Some(peers) = self.peers() else { return };
        for part in updates.chunks(MAX_SUSPECTS_PER_MESSAGE) {
            peers.send_suspects(part);
        }
    }
}

/// Keeps the upstreams that refuse connections.
fn retain_crashed(by_start: &mut HashMap<UpstreamStart, Vec<Interruption>>) {
    let probe =
        |it: &Vec<Interruption>| it.first().map(|it| Connection::connect(it.upstream.address));
    let probes: HashMap<UpstreamStart, _> =
        by_start.iter().filter_map(|(start, it)| Some((start.clone(), probe(it)?))).collect();
    let probe_deadline = Instant::now() + PROBE_TIMEOUT;
    by_start.retain(|start, _| match probes.get(start) {
        Some(Ok(connection)) => refuses(connection, probe_deadline),
        Some(Err(error)) => is_refusal(error),
        None => false,
    });
}

/// Waits until the connection is established or has failed; returns `true` if it was refused.
fn refuses(connection: &Connection, deadline: Instant) -> bool {
    let interest =
        Interest { upstream: Some(connection), upstream_output: true, ..Interest::default() };
    // Without an answer within the time, or on an error, the probe shows nothing.
    wait(interest, deadline).is_ok_and(|it| it.upstream)
        && matches!(connection.connect_error(), Ok(Some(error)) if is_refusal(&error))
}

fn is_refusal(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::ConnectionRefused
}

/// Lists the names of upstreams for logs.
pub(crate) fn join(upstreams: &[UpstreamId]) -> String {
    upstreams.join(" ")
}
