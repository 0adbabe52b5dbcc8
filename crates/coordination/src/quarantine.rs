//! Holds back calls that crash the upstreams that run them.
//!
//! A crash ends all calls on its upstream, and most of them are innocent. Each VM records what its
//! own calls had in common (a [`SuspectKey`]) whenever an upstream crashes under them before it
//! responds, and the VMs flood this evidence. A response that begins later acquits the key. A key
//! with crashes at several moments that no other condemned key explains is condemned: its calls are
//! refused on all VMs, apart from single trials with growing intervals, so that a cured upstream or
//! a wrong verdict is noticed.
//!
//! What VMs know of a key only grows (a union of crashes, the latest response, the number of
//! trials), so they agree in whatever order messages arrive, be they lost, doubled or delayed
//! (state-based replicated data types: Shapiro and others, 2011). Nothing waits for a peer, and
//! without any a VM decides on its own evidence.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::quarantine::Quarantine;
//! use cranberryvalve_core::SuspectKey;
//! use cranberryvalve_core::UpstreamStart;
//!
//! let mut quarantine = Quarantine::default();
//! let key = SuspectKey::PromptPart { pool: "engines".into(), part: 7 };
//! let mut now = Instant::now();
//! for upstream in ["engine-1", "engine-2", "engine-3"] {
//!     now += Duration::from_secs(1);
//!     let start = UpstreamStart { upstream: upstream.into(), incarnation: 1 };
//!     quarantine.record_crash(&start, now, &[key.clone()]);
//! }
//! assert!(quarantine.check(now, &[key]).is_err());
//! ```

mod evidence;
mod responses;
mod update;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamStart;

use self::evidence::Crash;
use self::evidence::Evidence;
use self::evidence::Strength;
use self::responses::RecentResponses;
pub use self::update::CrashReport;
pub use self::update::SuspectUpdate;

/// Number of moments with crashes that condemn a request without shared prompt parts. A wrong verdict
/// concerns no other request.
const CRASHES_OF_REQUEST: usize = 2;

/// Number of moments with crashes that condemn a prompt part, or a request with shared prompt parts,
/// since either of them may be the cause.
const CRASHES_OF_PROMPT: usize = 3;

/// Number of further moments if an upstream is known to have responded before.
const FURTHER_CRASHES_IF_PROVEN: usize = 1;

/// Maximum number of keys with evidence. Those with the fewest crashes are dropped first.
const MAX_SUSPECTS: usize = 1_024;

/// Time after the last crash or trial from which the evidence against a key is dropped, unless the
/// key is condemned.
const EVIDENCE_MEMORY: Duration = Duration::from_secs(600);

/// Time after the last crash or trial from which a condemned key is dropped.
const VERDICT_MEMORY: Duration = Duration::from_secs(3_600);

/// Why a call must not be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The condemned key.
    pub key: SuspectKey,
    /// Upstreams that crashed under it, the latest ones only.
    pub crashed: Vec<UpstreamId>,
    /// Time until the next trial.
    pub retry_after: Duration,
}

/// A change that is worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Calls with the key are refused from now on.
    Condemned {
        /// The key.
        key: SuspectKey,
        /// Upstreams that crashed under it.
        crashed: Vec<UpstreamId>,
    },
    /// Calls with the key are sent again.
    Lifted {
        /// The key.
        key: SuspectKey,
    },
}

/// Evidence against calls that may crash upstreams, as one VM knows it, and the verdicts.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<SuspectKey, Evidence>,
    responses: RecentResponses,
    /// Keys whose evidence still has to be sent to the neighbours.
    untold: BTreeSet<SuspectKey>,
    /// Whether another VM has told of a trial that still has to be sent to the neighbours.
    has_untold_trial: bool,
    /// Keys whose evidence has changed since the last judgement.
    unjudged: BTreeSet<SuspectKey>,
    /// Whether a verdict that explained crashes has ended since then, so that all keys are judged.
    has_unexplained: bool,
    keys_examined: u64,
    /// The weakest keys as last looked up; `None` before that and after each tick.
    weakest: Option<WeakestKeys>,
}

/// Keys with the weakest evidence.
#[derive(Debug)]
struct WeakestKeys {
    strength: Strength,
    /// The first one to remove is the last. Prompt parts are removed before requests.
    keys: Vec<SuspectKey>,
}

impl Quarantine {
    /// Records that an upstream crashed at `at` under a call with these keys, before it responded.
    /// A later key of a call is more specific than those before it.
    pub fn record_crash(
        &mut self,
        start: &UpstreamStart,
        at: Instant,
        keys: &[SuspectKey],
    ) -> Vec<QuarantineChange> {
        let crash = Crash { start: start.clone(), at };
        for (position, key) in (0..).zip(keys) {
            let responded_at = self.responses.latest(key);
            if responded_at.is_some_and(|it| it >= at) {
                continue;
            }
            let evidence = self.suspects.entry(key.clone()).or_default();
            evidence.raise_position(position);
            if let Some(responded_at) = responded_at {
                evidence.add_response(responded_at);
            }
            if evidence.add_crash(&crash) {
                self.untold.insert(key.clone());
            }
            self.unjudged.insert(key.clone());
        }
        self.enforce_capacity();
        self.judge()
    }

    /// Records that an upstream began to respond, at `responded_at`, to a call with these keys and
    /// went on well.
    pub fn record_response(
        &mut self,
        responded_at: Instant,
        keys: &[SuspectKey],
    ) -> Vec<QuarantineChange> {
        for key in keys {
            self.responses.record(key, responded_at);
            if self.suspects.get_mut(key).is_some_and(|it| it.add_response(responded_at)) {
                self.record_news(key);
            }
        }
        self.judge()
    }

    /// Merges what another VM knows.
    pub fn merge(&mut self, now: Instant, updates: &[SuspectUpdate]) -> Vec<QuarantineChange> {
        for update in updates {
            if self.merge_key(now, update) {
                self.record_news(&update.key);
            }
        }
        self.judge()
    }

    /// Merges what another VM knows of a key; returns `true` if any of it is new.
    fn merge_key(&mut self, now: Instant, update: &SuspectUpdate) -> bool {
        let trials = |it: &Self| it.suspects.get(&update.key).map_or(0, Evidence::trials);
        let trials_before = trials(self);
        let mut is_new = match self.suspects.get_mut(&update.key) {
            Some(evidence) => evidence.merge(now, update),
            None => self.add_key(now, update),
        };
        self.has_untold_trial |= trials(self) > trials_before;
        if let Some(responded_at) = self.responses.latest(&update.key)
            && let Some(evidence) = self.suspects.get_mut(&update.key)
        {
            is_new |= evidence.add_response(responded_at);
        }
        is_new
    }

    /// Adds a key that only the other VM knows; returns `true` if it is kept. If there are too many keys,
    /// it takes the place of a weaker one, so that no two keys replace each other without end.
    fn add_key(&mut self, now: Instant, update: &SuspectUpdate) -> bool {
        let mut evidence = Evidence::default();
        evidence.merge(now, update);
        let strength = evidence.strength();
        let is_kept = evidence.starts().next().is_some()
            && (self.suspects.len() < MAX_SUSPECTS || self.remove_weakest(|it| it < strength));
        if is_kept {
            self.suspects.insert(update.key.clone(), evidence);
        }
        is_kept
    }

    /// Returns the refusal of a call with these keys if one of them is condemned and no trial is
    /// due.
    ///
    /// # Errors
    ///
    /// The call must not be sent.
    pub fn check(&self, now: Instant, keys: &[SuspectKey]) -> Result<(), Refusal> {
        for key in keys {
            let Some(evidence) = self.suspects.get(key) else { continue };
            let wait = evidence.wait(now);
            if !wait.is_zero() {
                let crashed = evidence.crashed_upstreams();
                return Err(Refusal { key: key.clone(), crashed, retry_after: wait });
            }
        }
        Ok(())
    }

    /// Claims the right to send a call with these keys now. Returns the condemned keys for which
    /// it is a trial.
    ///
    /// To be called right before the call is sent, since a trial that is claimed excludes others
    /// until the next one is due.
    ///
    /// # Errors
    ///
    /// The call must not be sent.
    pub fn claim(&mut self, now: Instant, keys: &[SuspectKey]) -> Result<Vec<SuspectKey>, Refusal> {
        self.check(now, keys)?;
        let mut trials = Vec::new();
        for key in keys {
            if self.suspects.get_mut(key).is_some_and(|it| it.start_trial(now)) {
                self.untold.insert(key.clone());
                trials.push(key.clone());
            }
        }
        Ok(trials)
    }

    /// Drops outdated evidence.
    pub fn on_tick(&mut self, now: Instant) {
        self.weakest = None;
        self.suspects.retain(|_, it| {
            it.drop_old_crashes(now);
            let memory = if it.is_condemned() { VERDICT_MEMORY } else { EVIDENCE_MEMORY };
            let age = it.last_changed_at().map(|it| now.saturating_duration_since(it));
            let is_recent = age.is_some_and(|it| it < memory);
            self.has_unexplained |= it.is_condemned() && !is_recent;
            is_recent
        });
    }

    /// Returns the number of times that a key was judged or considered for removal, which is most of the
    /// work.
    pub const fn keys_examined(&self) -> u64 {
        self.keys_examined
    }

    /// Records that what is known of a key has changed.
    fn record_news(&mut self, key: &SuspectKey) {
        self.untold.insert(key.clone());
        self.unjudged.insert(key.clone());
    }

    /// Returns `true` if something has to be sent to the neighbouring VMs.
    pub fn has_updates(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Returns `true` if it has to be sent at once: until a trial is known, other VMs may start one.
    pub const fn has_urgent_updates(&self) -> bool {
        self.has_untold_trial
    }

    /// Takes what still has to be sent to all neighbouring VMs.
    ///
    /// A VM forwards whatever is new to it, so an update reaches all VMs in as many rounds as the
    /// diameter of the neighbour graph (flooding).
    pub fn take_updates(&mut self, now: Instant) -> Vec<SuspectUpdate> {
        let untold = std::mem::take(&mut self.untold);
        self.has_untold_trial = false;
        let known = untold.iter().filter_map(|key| Some((key, self.suspects.get(key)?)));
        known.map(|(key, evidence)| evidence.update(now, key)).collect()
    }

    /// Returns the strongest evidence, at most `limit` keys, for a VM that has just joined.
    pub fn updates(&self, now: Instant, limit: usize) -> Vec<SuspectUpdate> {
        self.strongest(now, limit, 1)
    }

    /// Returns evidence, at most `limit` keys, for a VM that an earlier update may not have reached.
    ///
    /// Keys with a single crash are left out: the next crash is told with all before it.
    pub fn repeated_updates(&self, now: Instant, limit: usize) -> Vec<SuspectUpdate> {
        self.strongest(now, limit, 2)
    }

    fn strongest(&self, now: Instant, limit: usize, min_crashes: usize) -> Vec<SuspectUpdate> {
        let mut known: Vec<(&SuspectKey, &Evidence)> =
            self.suspects.iter().filter(|(_, it)| it.starts().count() >= min_crashes).collect();
        known.sort_by_key(|(_, it)| std::cmp::Reverse(it.strength()));
        known.iter().take(limit).map(|(key, evidence)| evidence.update(now, key)).collect()
    }

    /// Returns the condemned keys with the upstreams that crashed under them and the time until the
    /// next trial.
    pub fn condemned(&self, now: Instant) -> Vec<Refusal> {
        let condemned = self.suspects.iter().filter(|(_, it)| it.is_condemned());
        condemned
            .map(|(key, it)| Refusal {
                key: key.clone(),
                crashed: it.crashed_upstreams(),
                retry_after: it.wait(now),
            })
            .collect()
    }

    /// Condemns keys, the best explanation first, and lifts verdicts that no longer hold.
    ///
    /// Only evidence that has changed can do either, unless crashes have lost their explanation.
    fn judge(&mut self) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        let mut candidates = std::mem::take(&mut self.unjudged);
        for key in &candidates {
            if self.suspects.get_mut(key).is_some_and(Evidence::lift_if_acquitted) {
                self.has_unexplained = true;
                changes.push(QuarantineChange::Lifted { key: key.clone() });
            }
        }
        if std::mem::take(&mut self.has_unexplained) {
            candidates = self.suspects.keys().cloned().collect();
        }
        self.keys_examined += candidates.len() as u64;
        candidates.retain(|key| {
            let evidence = self.suspects.get(key).filter(|it| !it.is_condemned());
            evidence.is_some_and(|it| it.moments(|_| true) >= crashes_that_condemn(key, it))
        });
        while let Some(key) = self.best_explanation(&candidates) {
            if let Some(evidence) = self.suspects.get_mut(&key) {
                evidence.condemn();
                let crashed = evidence.crashed_upstreams();
                changes.push(QuarantineChange::Condemned { key, crashed });
            }
        }
        changes
    }

    /// Returns the candidate that accounts best for crashes that no condemned key explains: one that
    /// nothing has responded to, then the one with most crashes, then the most specific one.
    fn best_explanation(&self, candidates: &BTreeSet<SuspectKey>) -> Option<SuspectKey> {
        if candidates.is_empty() {
            return None;
        }
        let explained: BTreeSet<&UpstreamStart> = self
            .suspects
            .values()
            .filter(|it| it.is_condemned())
            .flat_map(Evidence::starts)
            .collect();
        let sufficient = candidates.iter().filter_map(|key| {
            let evidence = self.suspects.get(key).filter(|it| !it.is_condemned())?;
            let moments = evidence.moments(|it| !explained.contains(it));
            let is_sufficient = moments >= crashes_that_condemn(key, evidence);
            is_sufficient.then_some((!evidence.is_proven(), moments, evidence.position(), key))
        });
        sufficient.max().map(|(.., key)| key.clone())
    }

    fn enforce_capacity(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS && self.remove_weakest(|_| true) {}
    }

    /// Removes one of the weakest keys if `is_removable` holds for their strength; returns `true` if it
    /// did. They are looked up together, as a series of crashes replaces many.
    fn remove_weakest(&mut self, is_removable: impl Fn(Strength) -> bool) -> bool {
        loop {
            let suspects = &self.suspects;
            let weakest = self.weakest.get_or_insert_with(|| {
                self.keys_examined += suspects.len() as u64;
                WeakestKeys::of(suspects)
            });
            if !is_removable(weakest.strength) {
                return false;
            }
            let strength = weakest.strength;
            let is_current =
                |it: &SuspectKey| suspects.get(it).is_some_and(|it| it.strength() == strength);
            let found = std::iter::from_fn(|| weakest.keys.pop()).find(is_current);
            if let Some(key) = found {
                self.remove(&key);
                return true;
            }
            if self.suspects.is_empty() {
                return false;
            }
            self.weakest = None;
        }
    }

    fn remove(&mut self, key: &SuspectKey) {
        self.untold.remove(key);
        let removed = self.suspects.remove(key);
        self.has_unexplained |= removed.is_some_and(|it| it.is_condemned());
    }
}

impl WeakestKeys {
    fn of(suspects: &BTreeMap<SuspectKey, Evidence>) -> Self {
        let strengths: Vec<(&SuspectKey, Strength)> =
            suspects.iter().map(|(key, it)| (key, it.strength())).collect();
        let strength = strengths.iter().map(|it| it.1).min().unwrap_or_default();
        let weakest = strengths.into_iter().rev().filter(|it| it.1 == strength);
        Self { strength, keys: weakest.map(|it| it.0.clone()).collect() }
    }
}

/// Returns the number of moments with crashes that condemn a key.
fn crashes_that_condemn(key: &SuspectKey, evidence: &Evidence) -> usize {
    let if_unproven = match key {
        SuspectKey::Request(_) if evidence.position() == 0 => CRASHES_OF_REQUEST,
        SuspectKey::Request(_) | SuspectKey::PromptPart { .. } => CRASHES_OF_PROMPT,
    };
    if_unproven + if evidence.is_proven() { FURTHER_CRASHES_IF_PROVEN } else { 0 }
}
