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
enum Turn {
    Regular,
    Promoted,
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
            && self.try_send(now, pool, &waiting, Turn::Promoted, actions)
        {
            return true;
        }
        for waiting in heads {
            if self.pressure.holds_back(now, pool, waiting.tier) {
                return false;
            }
            if self.try_send(now, pool, &waiting, Turn::Regular, actions) {
                return true;
            }
        }
        false
    }

    /// Sends `waiting` or gives it up; false when it must go on waiting.
    fn try_send(
        &mut self,
        now: Instant,
        pool: &PoolId,
        waiting: &Waiting,
        turn: Turn,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (slot_tier, overflow) = match turn {
            Turn::Regular => (waiting.tier, 0),
            Turn::Promoted => (PROMOTED_TIER, PROMOTED_OVERFLOW),
        };
        match self.place(now, pool, waiting.id, slot_tier, overflow) {
            Placement::Upstream(upstream) => {
                self.send(now, pool, waiting, turn, slot_tier, upstream, actions);
                true
            }
            Placement::NoneServes => {
                let reason = NotRunReason::NoUpstream;
                self.give_up_queued(waiting.id, reason, RETRY_AFTER_FAULT, actions);
                true
            }
            Placement::NoRoom => false,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "all of it describes the one turn")]
    fn send(
        &mut self,
        now: Instant,
        pool: &PoolId,
        waiting: &Waiting,
        turn: Turn,
        slot_tier: Tier,
        upstream: UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(queue) = self.queues.get_mut(pool) {
            match turn {
                Turn::Regular => queue.take_regular(waiting),
                Turn::Promoted => queue.take_promoted(now, waiting),
            }
        }
        if let Some(entry) = self.upstreams.entry(&upstream) {
            entry.load.add(slot_tier);
            entry.circuit.sent(now);
        }
        let Some(tracked) = self.requests.get_mut(&waiting.id) else { return };
        tracked.attempts += 1;
        tracked.avoid.push(upstream.clone());
        tracked.stage = Stage::InFlight { upstream: upstream.clone(), slot_tier };
        let attempt = tracked.attempts;
        let order = SendOrder { id: waiting.id, attempt, upstream, priority: slot_tier };
        actions.push(Action::Send(order));
    }
}
