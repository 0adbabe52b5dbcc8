//! A fake engine in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use cranberryvalve_core::Tier;
use cranberryvalve_policy::LoadReport;

use super::run::AttemptKey;

/// Time for reading a prompt whose beginning is not cached, and one whose beginning is.
const PREFILL: Duration = Duration::from_millis(180);
const PREFILL_CACHED: Duration = Duration::from_millis(30);

/// Prompt beginnings that the engine keeps.
const CACHED_PREFIXES: usize = 16;

/// Time between two tokens on a usual engine that runs one request.
const TOKEN: Duration = Duration::from_millis(18);

/// Share by which each further request in the batch slows all of them down.
const BATCH_SLOWDOWN: f64 = 0.05;

/// What an attempt asks of the engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) key: AttemptKey,
    pub(super) priority: Tier,
    pub(super) prefix: u64,
    pub(super) tokens: u64,
}

/// An attempt that runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Running {
    pub(super) job: Job,
    pub(super) first_token_at: Duration,
    pub(super) token_interval: Duration,
}

impl Running {
    /// When the last token comes.
    pub(super) fn ends_at(&self) -> Duration {
        let gaps = u32::try_from(self.job.tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        self.first_token_at + self.token_interval * gaps
    }

    /// Tokens that have come by `now`.
    pub(super) fn tokens_by(&self, now: Duration) -> u64 {
        let Some(since) = now.checked_sub(self.first_token_at) else { return 0 };
        let gaps = since.as_nanos() / self.token_interval.as_nanos().max(1);
        self.job.tokens.min(u64::try_from(gaps).unwrap_or(u64::MAX) + 1)
    }
}

/// An engine that batches, honours priorities and keeps prompt beginnings.
#[derive(Debug)]
pub(super) struct FakeEngine {
    slots: usize,
    /// Factor by which it is slower than usual.
    slowdown: f64,
    /// Whether it gives slots by priority, or in order of arrival.
    pub(super) by_priority: bool,
    pub(super) down_until: Duration,
    arrivals: u64,
    waiting: BTreeMap<(Tier, u64), Job>,
    running: BTreeMap<AttemptKey, Running>,
    prefixes: Vec<u64>,
}

impl FakeEngine {
    pub(super) const fn new(slots: usize, slowdown: f64, by_priority: bool) -> Self {
        Self {
            slots,
            slowdown,
            by_priority,
            down_until: Duration::ZERO,
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            prefixes: Vec::new(),
        }
    }

    /// Takes an attempt.
    pub(super) fn enqueue(&mut self, job: Job) {
        self.arrivals += 1;
        let priority = if self.by_priority { job.priority } else { 0 };
        self.waiting.insert((priority, self.arrivals), job);
    }

    /// Starts what there are slots for.
    pub(super) fn start_waiting(&mut self, now: Duration) -> Vec<Running> {
        let mut started = Vec::new();
        while self.running.len() < self.slots {
            let Some((_, job)) = self.waiting.pop_first() else { break };
            let running = self.start(now, job);
            self.running.insert(job.key, running);
            started.push(running);
        }
        started
    }

    /// Takes an attempt off the engine, whether it runs or waits.
    pub(super) fn remove(&mut self, key: AttemptKey) -> Option<Running> {
        self.waiting.retain(|_, job| job.key != key);
        self.running.remove(&key)
    }

    /// Drops everything and stays away until `until`.
    pub(super) fn crash(&mut self, until: Duration) -> (Vec<Running>, Vec<Job>) {
        self.down_until = until;
        self.prefixes.clear();
        let running = std::mem::take(&mut self.running).into_values().collect();
        let waiting = std::mem::take(&mut self.waiting).into_values().collect();
        (running, waiting)
    }

    pub(super) fn runs(&self, key: AttemptKey) -> bool {
        self.running.contains_key(&key)
    }

    /// Present load.
    pub(super) fn load(&self) -> LoadReport {
        let mut report = LoadReport::default();
        let running = self.running.values().map(|it| it.job.priority);
        for priority in running.chain(self.waiting.values().map(|it| it.priority)) {
            *report.by_tier.entry(priority).or_insert(0) += 1;
        }
        report
    }

    fn start(&mut self, now: Duration, job: Job) -> Running {
        let prefill = if self.remember(job.prefix) { PREFILL_CACHED } else { PREFILL };
        let batch = 1.0 + BATCH_SLOWDOWN * self.running.len() as f64;
        let token_interval = TOKEN.mul_f64(self.slowdown * batch);
        let first_token_at = now + prefill.mul_f64(self.slowdown) + token_interval;
        Running { job, first_token_at, token_interval }
    }

    /// Notes a prompt's beginning; true when it was known.
    fn remember(&mut self, prefix: u64) -> bool {
        let known = self.prefixes.iter().position(|it| *it == prefix);
        if let Some(index) = known {
            self.prefixes.remove(index);
        }
        self.prefixes.push(prefix);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.remove(0);
        }
        known.is_some()
    }
}
