//! What is known of one key.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamStart;

use super::EVIDENCE_MEMORY;
use super::update::CrashReport;
use super::update::SuspectUpdate;
use super::update::age_ms;

/// Maximum number of crashes that are kept of one key.
///
/// Further ones are ignored rather than put in place of earlier ones: VMs would replace different
/// crashes and tell each other of them again without end.
const MAX_CRASHES: usize = 32;

/// Maximum number of crashes that logs and refusals list.
const MAX_LISTED_CRASHES: usize = 5;

/// Crashes within this time of the first one count as one, since whatever ends several upstreams at
/// once is rather a fault of what they share, such as a rack.
const SAME_MOMENT: Duration = Duration::from_millis(50);

/// Time from the last crash until the first trial. Callers are told to come back then.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(15);

/// Ratio of the delay of a trial to that of the trial before.
const TRIAL_BACKOFF: u32 = 4;

/// Longest time between two trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(600);

/// A crash of an upstream under a call with the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) start: UpstreamStart,
    pub(super) at: Instant,
}

/// Order by which evidence is kept: verdicts, then the number of crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Strength {
    pub(super) is_condemned: bool,
    /// Number of crashes that no response acquits of.
    pub(super) crashes: usize,
}

/// Evidence for and against a key.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    /// Crashes, the earliest first.
    crashes: Vec<Crash>,
    /// When the latest response known began.
    responded_at: Option<Instant>,
    position: u16,
    trials: u32,
    last_trial_at: Option<Instant>,
    is_condemned: bool,
}

impl Evidence {
    /// Adds a crash; returns `true` if it is new.
    pub(super) fn add_crash(&mut self, crash: &Crash) -> bool {
        let is_known = self.crashes.iter().any(|it| it.start == crash.start);
        if is_known || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        let index = self.crashes.partition_point(|it| it.at <= crash.at);
        self.crashes.insert(index, crash.clone());
        true
    }

    /// Adds a response; returns `true` if it is the first one known or acquits of a crash.
    pub(super) fn add_response(&mut self, at: Instant) -> bool {
        let known_at = self.responded_at;
        if known_at.is_some_and(|it| it >= at) {
            return false;
        }
        self.responded_at = Some(at);
        let is_acquittal = |it: &Crash| it.at <= at && known_at.is_none_or(|known| it.at > known);
        known_at.is_none() || self.crashes.iter().any(is_acquittal)
    }

    pub(super) fn raise_position(&mut self, position: u16) {
        self.position = self.position.max(position);
    }

    /// Merges what another VM knows; returns `true` if any of it is new.
    pub(super) fn merge(&mut self, now: Instant, update: &SuspectUpdate) -> bool {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let mut is_new = false;
        // What is about to be dropped is not taken in again.
        let max_age_ms = EVIDENCE_MEMORY.mul_f64(0.9).as_millis();
        let recent = update.crashes.iter().filter(|it| u128::from(it.age_ms) < max_age_ms);
        for report in recent {
            let crash = Crash { start: report.start.clone(), at: at(report.age_ms).unwrap_or(now) };
            is_new |= self.add_crash(&crash);
        }
        if let Some(responded_at) = update.response_age_ms.and_then(at) {
            is_new |= self.add_response(responded_at);
        }
        if update.trials > self.trials {
            self.trials = update.trials;
            self.last_trial_at = update.trial_age_ms.and_then(at);
            is_new = true;
        }
        self.raise_position(update.position);
        is_new
    }

    /// Returns what this VM knows, for another one.
    pub(super) fn update(&self, now: Instant, key: &SuspectKey) -> SuspectUpdate {
        let report =
            |it: &Crash| CrashReport { start: it.start.clone(), age_ms: age_ms(now, it.at) };
        SuspectUpdate {
            key: key.clone(),
            position: self.position,
            crashes: self.crashes.iter().map(report).collect(),
            response_age_ms: self.responded_at.map(|it| age_ms(now, it)),
            trials: self.trials,
            trial_age_ms: self.last_trial_at.map(|it| age_ms(now, it)),
        }
    }

    /// Returns the number of moments with crashes that no response acquits of and that `counts`.
    pub(super) fn moments(&self, counts: impl Fn(&UpstreamStart) -> bool) -> usize {
        let mut moments = 0;
        let mut moment_at: Option<Instant> = None;
        for crash in self.active_crashes().filter(|it| counts(&it.start)) {
            if moment_at.is_none_or(|it| crash.at.saturating_duration_since(it) > SAME_MOMENT) {
                moments += 1;
                moment_at = Some(crash.at);
            }
        }
        moments
    }

    /// Returns the starts of upstreams that crashed under the key.
    pub(super) fn starts(&self) -> impl Iterator<Item = &UpstreamStart> {
        self.crashes.iter().map(|it| &it.start)
    }

    /// Returns the latest upstreams that crashed under the key, for people.
    pub(super) fn crashed_upstreams(&self) -> Vec<UpstreamId> {
        let latest = self.crashes.iter().rev().take(MAX_LISTED_CRASHES).rev();
        latest.map(|it| it.start.upstream.clone()).collect()
    }

    /// Returns `true` if an upstream is known to have responded to the key at some time.
    pub(super) const fn is_proven(&self) -> bool {
        self.responded_at.is_some()
    }

    pub(super) const fn position(&self) -> u16 {
        self.position
    }

    pub(super) const fn is_condemned(&self) -> bool {
        self.is_condemned
    }

    pub(super) const fn condemn(&mut self) {
        self.is_condemned = true;
    }

    /// Lifts the verdict if a response began after the last crash; returns `true` if there was one.
    pub(super) fn lift_if_acquitted(&mut self) -> bool {
        if !self.is_condemned() || self.active_crashes().next().is_some() {
            return false;
        }
        self.is_condemned = false;
        true
    }

    /// Returns the time until a call with the key may be sent; zero if it may be sent now.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        if !self.is_condemned() {
            return Duration::ZERO;
        }
        let delay = FIRST_TRIAL_DELAY * TRIAL_BACKOFF.saturating_pow(self.trials.min(8));
        let trial_at = self.last_changed_at().unwrap_or(now) + delay.min(MAX_TRIAL_DELAY);
        trial_at.saturating_duration_since(now)
    }

    /// Starts a trial if the key is condemned; returns `true` if it does.
    pub(super) const fn start_trial(&mut self, now: Instant) -> bool {
        if self.is_condemned() {
            self.trials = self.trials.saturating_add(1);
            self.last_trial_at = Some(now);
        }
        self.is_condemned()
    }

    /// Drops the crashes that are too old to count, unless the key is condemned.
    pub(super) fn drop_old_crashes(&mut self, now: Instant) {
        if !self.is_condemned() {
            let age = |it: &Crash| now.saturating_duration_since(it.at);
            self.crashes.retain(|it| age(it) < EVIDENCE_MEMORY);
        }
    }

    /// Returns the number of trials since the key was condemned.
    pub(super) const fn trials(&self) -> u32 {
        self.trials
    }

    /// Returns the time of the last crash or trial; `None` if there is none.
    pub(super) fn last_changed_at(&self) -> Option<Instant> {
        self.crashes.last().map(|it| it.at).max(self.last_trial_at)
    }

    pub(super) fn strength(&self) -> Strength {
        Strength { is_condemned: self.is_condemned(), crashes: self.active_crashes().count() }
    }

    fn active_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|it| self.responded_at.is_none_or(|at| it.at > at))
    }
}
