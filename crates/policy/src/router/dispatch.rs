//! Choice of the next request to send.

use std::time::Instant;

use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::UpstreamId;

use super::RETRY_AFTER_FAULT;
use super::Router;
use super::Stage;
use super::placement::Placement;
use crate::Action;
use crate::SendOrder;
use crate::queue::Waiting;

/// Tier at which an overdue request is sent.
const PROMOTED_TIER: Tier = 0;

/// Requests above an upstream's slots that an overdue request may add.
const PROMOTED_OVERFLOW: u32 = 1;

/// A turn that a request has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Turn {
    waiting: Waiting,
    /// Whether it is ahead of its tier, because the request is overdue.
    promoted: bool,
}

impl Turn {
    /// Tier at which it is sent.
    const fn slot_tier(self) -> Tier {
        if self.promoted { PROMOTED_TIER } else { self.waiting.tier }
    }

    /// Requests above an upstream's slots that it may add.
    const fn overflow(self) -> u32 {
        if self.promoted { PROMOTED_OVERFLOW } else { 0 }
    }
}

impl Router {
    /// Sends requests that wait for `pool` for as long as there is room.
    pub(super) fn dispatch(&mut self, now: Instant, pool: &PoolId, actions: &mut Vec<Action>) {
        while self.dispatch_one(now, pool, actions) {}
    }

    fn dispatch_one(&mut self, now: Instant, pool: &PoolId, actions: &mut Vec<Action>) -> bool {
        let Some(queue) = self.queues.get(pool) else { return false };
        let overdue = queue.due_promotion(now);
        let heads = queue.heads();
        if let Some(waiting) = overdue
            && self.take_turn(now, pool, Turn { waiting, promoted: true }, actions)
        {
            return true;
        }
        for waiting in heads {
            if self.pressure.holds_back(now, pool, waiting.tier) {
                return false;
            }
            if self.take_turn(now, pool, Turn { waiting, promoted: false }, actions) {
                return true;
            }
        }
        false
    }

    /// Sends a request or gives it up; false when it must go on waiting.
    fn take_turn(
        &mut self,
        now: Instant,
        pool: &PoolId,
        turn: Turn,
        actions: &mut Vec<Action>,
    ) -> bool {
        let id = turn.waiting.id;
        match self.place(now, pool, id, turn.slot_tier(), turn.overflow()) {
            Placement::Upstream(upstream) => {
                self.leave_queue(now, pool, turn);
                actions.extend(self.send(now, turn, upstream));
                true
            }
            Placement::NoneServes => {
                let reason = NotRunReason::NoUpstream;
                self.give_up_queued(id, reason, RETRY_AFTER_FAULT, actions);
                true
            }
            Placement::NoRoom => false,
        }
    }

    fn leave_queue(&mut self, now: Instant, pool: &PoolId, turn: Turn) {
        let Some(queue) = self.queues.get_mut(pool) else { return };
        if turn.promoted {
            queue.take_promoted(now, &turn.waiting);
        } else {
            queue.take_regular(&turn.waiting);
        }
    }

    fn send(&mut self, now: Instant, turn: Turn, upstream: UpstreamId) -> Option<Action> {
        let slot_tier = turn.slot_tier();
        if let Some(entry) = self.upstreams.entry(&upstream) {
            entry.load.add(slot_tier);
            entry.circuit.sent(now);
        }
        let tracked = self.requests.get_mut(&turn.waiting.id)?;
        tracked.attempts += 1;
        tracked.avoid.push(upstream.clone());
        tracked.stage = Stage::InFlight { upstream: upstream.clone(), slot_tier };
        let (id, attempt) = (turn.waiting.id, tracked.attempts);
        Some(Action::Send(SendOrder { id, attempt, upstream, priority: slot_tier }))
    }
}
