//! Selection of the next request to send.

use std::time::Instant;

use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;

use super::RETRY_AFTER_FAILURE;
use super::Router;
use super::Stage;
use super::placement::Placement;
use crate::Action;
use crate::SendCommand;
use crate::queue::QueuedRequest;

/// Tier at which a promoted request is sent.
const PROMOTED_TIER: Tier = 0;

/// Number of requests by which a promoted request may exceed an upstream's slots.
const PROMOTED_EXTRA_SLOTS: u32 = 1;

/// A queued request that is selected for dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SelectedRequest {
    queued: QueuedRequest,
    /// Whether it is sent ahead of higher tiers because it is overdue.
    promoted: bool,
}

impl SelectedRequest {
    /// Returns the tier at which it is sent.
    const fn dispatch_tier(self) -> Tier {
        if self.promoted { PROMOTED_TIER } else { self.queued.tier }
    }

    /// Returns the number of requests by which it may exceed an upstream's slots.
    const fn extra_slots(self) -> u32 {
        if self.promoted { PROMOTED_EXTRA_SLOTS } else { 0 }
    }
}

impl Router {
    /// Sends queued requests of `pool` until no upstream has room for the next one.
    pub(super) fn dispatch(&mut self, now: Instant, pool: &PoolId, actions: &mut Vec<Action>) {
        while self.dispatch_one(now, pool, actions) {}
    }

    fn dispatch_one(&mut self, now: Instant, pool: &PoolId, actions: &mut Vec<Action>) -> bool {
        let Some(queue) = self.queues.get(pool) else { return false };
        let overdue = queue.next_promotion(now);
        let next_by_tier = queue.next_by_tier();
        if let Some(queued) = overdue
            && self.try_dispatch(now, pool, SelectedRequest { queued, promoted: true }, actions)
        {
            return true;
        }
        for queued in next_by_tier {
            if self.peer_pressure.has_higher_tier_waiting(now, pool, queued.tier) {
                return false;
            }
            if self.try_dispatch(now, pool, SelectedRequest { queued, promoted: false }, actions) {
                return true;
            }
        }
        false
    }

    /// Sends a request or gives it up. Returns `false` if it remains queued.
    fn try_dispatch(
        &mut self,
        now: Instant,
        pool: &PoolId,
        selected: SelectedRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        let id = selected.queued.id;
        match self.choose_upstream(now, pool, id, selected.dispatch_tier(), selected.extra_slots())
        {
            Placement::Upstream(upstream) => {
                self.dequeue(now, pool, selected);
                actions.extend(self.send(now, selected, upstream));
                true
            }
            Placement::NoneInService => {
                let reason = NotRunReason::NoUpstream;
                self.give_up_queued(id, reason, RETRY_AFTER_FAILURE, actions);
                true
            }
            Placement::NoRoom => false,
        }
    }

    fn dequeue(&mut self, now: Instant, pool: &PoolId, selected: SelectedRequest) {
        let Some(queue) = self.queues.get_mut(pool) else { return };
        if selected.promoted {
            queue.dequeue_promoted(now, &selected.queued);
        } else {
            queue.dequeue_regular(&selected.queued);
        }
    }

    fn send(
        &mut self,
        now: Instant,
        selected: SelectedRequest,
        upstream: UpstreamId,
    ) -> Option<Action> {
        let dispatch_tier = selected.dispatch_tier();
        if let Some(entry) = self.upstreams.entry(&upstream) {
            entry.load.add(dispatch_tier);
            entry.circuit.record_sent(now);
        }
        let tracked = self.requests.get_mut(&selected.queued.id)?;
        tracked.attempts += 1;
        tracked.tried_upstreams.push(upstream.clone());
        tracked.stage = Stage::InFlight { upstream: upstream.clone(), dispatch_tier };
        let (id, attempt) = (selected.queued.id, tracked.attempts);
        Some(Action::Send(SendCommand { id, attempt, upstream, priority: dispatch_tier }))
    }
}
