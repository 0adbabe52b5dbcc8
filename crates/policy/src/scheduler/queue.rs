//! Calls that wait for one pool.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;

/// Calls in order: highest tier first, then first come, first served.
#[derive(Debug, Default)]
pub(super) struct CallQueue {
    tiers: BTreeMap<Tier, VecDeque<RequestId>>,
}

impl CallQueue {
    /// Appends a call.
    pub(super) fn push(&mut self, tier: Tier, id: RequestId) {
        self.tiers.entry(tier).or_default().push_back(id);
    }

    /// Puts a call that was sent before ahead of its tier.
    pub(super) fn push_first(&mut self, tier: Tier, id: RequestId) {
        self.tiers.entry(tier).or_default().push_front(id);
    }

    /// Removes a call, if it waits.
    pub(super) fn remove(&mut self, tier: Tier, id: RequestId) {
        if let Some(calls) = self.tiers.get_mut(&tier) {
            calls.retain(|it| *it != id);
        }
    }

    /// Whether no call waits.
    pub(super) fn is_empty(&self) -> bool {
        self.tiers.values().all(VecDeque::is_empty)
    }

    /// Calls with their tiers, in order.
    pub(super) fn entries(&self) -> impl Iterator<Item = (Tier, RequestId)> + '_ {
        self.tiers.iter().flat_map(|(tier, calls)| calls.iter().map(|id| (*tier, *id)))
    }

    /// Calls in order.
    pub(super) fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries().map(|(_, id)| id)
    }
}
