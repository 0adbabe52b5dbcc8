//! The queue of calls for one pool.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;

/// Queue of calls, ordered by tier, highest first, and first come, first served within a tier.
#[derive(Debug, Default)]
pub(super) struct CallQueue {
    tiers: BTreeMap<Tier, VecDeque<RequestId>>,
}

impl CallQueue {
    /// Adds a call at the end of its tier.
    pub(super) fn push_back(&mut self, tier: Tier, id: RequestId) {
        self.tiers.entry(tier).or_default().push_back(id);
    }

    /// Adds a call that is retried at the front of its tier.
    pub(super) fn push_front(&mut self, tier: Tier, id: RequestId) {
        self.tiers.entry(tier).or_default().push_front(id);
    }

    /// Removes a call if it is queued.
    pub(super) fn remove(&mut self, tier: Tier, id: RequestId) {
        if let Some(calls) = self.tiers.get_mut(&tier) {
            calls.retain(|it| *it != id);
        }
    }

    /// Returns `true` if no call is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.tiers.values().all(VecDeque::is_empty)
    }

    /// Returns the queued calls with their tiers, in order.
    pub(super) fn entries(&self) -> impl Iterator<Item = (Tier, RequestId)> + '_ {
        self.tiers.iter().flat_map(|(tier, calls)| calls.iter().map(|id| (*tier, *id)))
    }

    /// Returns the queued calls in order.
    pub(super) fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries().map(|(_, id)| id)
    }
}
