//! When upstreams last responded to calls with a key.

use std::collections::HashMap;
use std::time::Instant;

use cranberryvalve_core::SuspectKey;

/// Number of keys of each kind that are remembered.
const MAX_KEYS: usize = 4_096;

/// Latest responses by key. Most requests never come again, so they take no place of prompt parts.
#[derive(Debug, Default)]
pub(super) struct RecentResponses {
    parts: LatestResponses,
    requests: LatestResponses,
}

impl RecentResponses {
    /// Records a response that began at `at`.
    pub(super) fn record(&mut self, key: &SuspectKey, at: Instant) {
        match key {
            SuspectKey::PromptPart { .. } => self.parts.record(key, at),
            SuspectKey::Request(_) => self.requests.record(key, at),
        }
    }

    /// Returns when the latest response to a call with the key began, or `None` if none is
    /// remembered.
    pub(super) fn latest(&self, key: &SuspectKey) -> Option<Instant> {
        let responses = match key {
            SuspectKey::PromptPart { .. } => &self.parts,
            SuspectKey::Request(_) => &self.requests,
        };
        responses.0.get(key).copied()
    }
}

/// Latest responses to keys of one kind. The longest unused half is dropped when it is full.
#[derive(Debug, Default)]
struct LatestResponses(HashMap<SuspectKey, Instant>);

impl LatestResponses {
    fn record(&mut self, key: &SuspectKey, at: Instant) {
        if let Some(latest) = self.0.get_mut(key) {
            *latest = (*latest).max(at);
            return;
        }
        if self.0.len() >= MAX_KEYS {
            self.drop_oldest_half();
        }
        self.0.insert(key.clone(), at);
    }

    fn drop_oldest_half(&mut self) {
        let mut times: Vec<Instant> = self.0.values().copied().collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.0.retain(|_, it| *it > median);
    }
}
