//! What callers got.

use std::collections::BTreeMap;
use std::time::Duration;

/// What callers of one kind got.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Requests.
    pub asked: u32,
    /// Whole answers with the first event and all pauses on time.
    pub on_time: u32,
    /// Whole answers that were late.
    pub late: u32,
    /// Refused at once.
    pub refused: u32,
    /// Without a whole answer.
    pub failed: u32,
    /// Of the largest tenth by prompt: asked and answered whole.
    pub large: (u32, u32),
    /// Longest time to a first event.
    pub longest_wait: Duration,
}

/// What came of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// By kind of request.
    pub kinds: BTreeMap<&'static str, Tally>,
    /// Prompt tokens that engines read.
    pub read_tokens: u64,
    /// Prompt tokens that engines found in their caches.
    pub cached_tokens: u64,
    /// Tokens of prefixes read again within seconds after some engine had them.
    pub read_again_tokens: u64,
    /// Prompt tokens that engines fetched from each other's caches.
    pub fetched_tokens: u64,
    /// Bytes of bodies that crossed failure domains.
    pub crossed_bytes: u64,
    /// Messages between VMs.
    pub messages: u64,
    /// Arrivals at engines beyond the first of each request.
    pub repeated: u32,
}

impl Report {
    /// Share of a kind's requests that were answered on time.
    pub fn on_time(&self, name: &str) -> f64 {
        self.kinds.get(name).map_or(0.0, |it| share(it.on_time, it.asked))
    }

    /// Share of a kind's requests that were answered whole, late or not.
    pub fn answered(&self, name: &str) -> f64 {
        self.kinds.get(name).map_or(0.0, |it| share(it.on_time + it.late, it.asked))
    }

    /// Share of a kind's largest requests that were answered whole.
    pub fn large_answered(&self, name: &str) -> f64 {
        self.kinds.get(name).map_or(0.0, |it| share(it.large.1, it.large.0))
    }

    /// Share of prompt tokens that were found in a cache.
    pub fn cached_share(&self) -> f64 {
        self.cached_tokens as f64 / (self.cached_tokens + self.read_tokens).max(1) as f64
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
