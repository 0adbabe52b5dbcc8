//! Results of a simulated run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Outcomes of the requests of one kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Number of requests that callers sent.
    pub requests: u32,
    /// Number of complete responses whose first event and gaps between events met their targets.
    pub on_time: u32,
    /// Number of complete responses that missed a target.
    pub late: u32,
    /// Number of requests that were rejected before any event of a response.
    pub refused: u32,
    /// Number of requests that ended, or reached their deadline, without a complete response.
    pub failed: u32,
    /// Among the tenth of the requests with the longest prompts: the number of requests and the
    /// number of complete responses.
    pub largest: (u32, u32),
    /// Longest time from the arrival of a request to its first event.
    pub longest_wait: Duration,
}

/// Results of a simulated run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Outcomes by kind of request.
    pub kinds: BTreeMap<&'static str, Tally>,
    /// Number of prompt tokens that engines prefilled.
    pub prefilled_tokens: u64,
    /// Number of prompt tokens that did not need prefill, as they were cached or fetched.
    pub cached_tokens: u64,
    /// Number of prefix tokens that were prefilled again within seconds of their last use at any
    /// engine.
    pub recomputed_tokens: u64,
    /// Number of prompt tokens that engines fetched from each other's caches.
    pub fetched_tokens: u64,
    /// Number of request body bytes sent across failure domains.
    pub cross_domain_bytes: u64,
    /// Number of messages between VMs.
    pub messages: u64,
    /// Number of attempts beyond the first of each request.
    pub retries: u32,
}

impl Report {
    /// Returns the share of a kind's requests that were served on time, from 0 to 1.
    pub fn on_time_share(&self, name: &str) -> f64 {
        self.kinds.get(name).map_or(0.0, |it| share(it.on_time, it.requests))
    }

    /// Returns the share of a kind's requests that got a complete response, late or not.
    pub fn complete_share(&self, name: &str) -> f64 {
        self.kinds.get(name).map_or(0.0, |it| share(it.on_time + it.late, it.requests))
    }

    /// Returns the share of complete responses among the tenth of a kind's requests with the
    /// longest prompts.
    pub fn largest_complete_share(&self, name: &str) -> f64 {
        self.kinds.get(name).map_or(0.0, |it| share(it.largest.1, it.largest.0))
    }

    /// Returns the share of prompt tokens that did not need prefill, as they were cached or
    /// fetched.
    pub fn cached_share(&self) -> f64 {
        self.cached_tokens as f64 / (self.cached_tokens + self.prefilled_tokens).max(1) as f64
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
