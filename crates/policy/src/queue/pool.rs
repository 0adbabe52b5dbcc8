//! Requests that wait for one pool.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;

use super::Waiting;
use super::fair::FairQueue;

/// Places that all tiers share.
const SHARED_PLACES: usize = 4_096;

/// Places that each tier has to itself, so that bursts above cannot evict all that waits below.
const RESERVED_PLACES: usize = 64;

/// Regular turns after which an overdue request gets one.
const REGULAR_TURNS_PER_PROMOTION: u32 = 8;

/// Time after which an overdue request gets a turn, however few regular turns there were.
const PROMOTION_INTERVAL: Duration = Duration::from_secs(1);

/// What becomes of a request that asks for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placed {
    /// It has a place.
    Queued,
    /// It has the place of another one, which is shed.
    Evicted(RequestId),
    /// There is no place: all that waits is of the same or a higher tier.
    Full,
}

/// Queues of one pool, one for each tier.
#[derive(Debug)]
pub(crate) struct PoolQueue {
    tiers: BTreeMap<Tier, FairQueue>,
    regular_turns: u32,
    promoted_at: Instant,
}

impl PoolQueue {
    pub(crate) const fn new(now: Instant) -> Self {
        Self { tiers: BTreeMap::new(), regular_turns: 0, promoted_at: now }
    }

    /// Appends a new request, shedding from the lowest tier when there is no free place.
    pub(crate) fn push(&mut self, customer: &CustomerId, weight: u32, waiting: Waiting) -> Placed {
        let mut placed = Placed::Queued;
        if !self.has_place(waiting.tier) {
            let Some(victim) = self.eviction_candidate(waiting.tier) else {
                return Placed::Full;
            };
            self.remove(victim);
            placed = Placed::Evicted(victim);
        }
        let queue = self.tiers.entry(waiting.tier).or_default();
        queue.push(customer, weight, waiting, false);
        placed
    }

    /// Puts back a request that had its turn and could not be run.
    pub(crate) fn push_front(&mut self, customer: &CustomerId, weight: u32, waiting: Waiting) {
        let queue = self.tiers.entry(waiting.tier).or_default();
        queue.push(customer, weight, waiting, true);
    }

    /// The overdue request whose turn it is ahead of its tier, if any.
    pub(crate) fn due_promotion(&self, now: Instant) -> Option<Waiting> {
        let is_turn = self.regular_turns >= REGULAR_TURNS_PER_PROMOTION
            || now.saturating_duration_since(self.promoted_at) >= PROMOTION_INTERVAL;
        if !is_turn {
            return None;
        }
        let oldest = self.tiers.values().filter_map(FairQueue::oldest);
        oldest.filter(|it| it.promote_at <= now).min_by_key(|it| it.promote_at)
    }

    /// The next request of each tier, highest tier first.
    pub(crate) fn heads(&self) -> Vec<Waiting> {
        self.tiers.values().filter_map(FairQueue::peek).collect()
    }

    /// Removes a request for its regular turn.
    pub(crate) fn take_regular(&mut self, waiting: &Waiting) {
        self.regular_turns = self.regular_turns.saturating_add(1);
        self.take(waiting);
    }

    /// Removes a request for its turn ahead of its tier.
    pub(crate) fn take_promoted(&mut self, now: Instant, waiting: &Waiting) {
        self.regular_turns = 0;
        self.promoted_at = now;
        self.take(waiting);
    }

    /// Removes a request that no longer wants a turn.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        self.tiers.values_mut().find_map(|queue| queue.remove(id))
    }

    /// Requests that have waited as long as they may.
    pub(crate) fn expired(&self, now: Instant) -> Vec<RequestId> {
        let all = self.tiers.values().flat_map(FairQueue::iter);
        all.filter(|it| it.give_up_at <= now).map(|it| it.id).collect()
    }

    /// The highest tier that waits.
    pub(crate) fn highest_waiting(&self) -> Option<Tier> {
        self.tiers.iter().find(|(_, queue)| queue.len() > 0).map(|(tier, _)| *tier)
    }

    /// Number of waiting requests of each tier.
    pub(crate) fn len_by_tier(&self) -> BTreeMap<Tier, usize> {
        self.tiers.iter().map(|(tier, queue)| (*tier, queue.len())).collect()
    }

    fn take(&mut self, waiting: &Waiting) {
        if let Some(queue) = self.tiers.get_mut(&waiting.tier) {
            queue.take(waiting.id);
        }
    }

    fn has_place(&self, tier: Tier) -> bool {
        let own = self.tiers.get(&tier).map_or(0, FairQueue::len);
        if own < RESERVED_PLACES {
            return true;
        }
        let beyond_reserve = |queue: &FairQueue| queue.len().saturating_sub(RESERVED_PLACES);
        let shared: usize = self.tiers.values().map(beyond_reserve).sum();
        shared < SHARED_PLACES
    }

    fn eviction_candidate(&self, tier: Tier) -> Option<RequestId> {
        let below = self.tiers.range(tier + 1..).rev();
        let mut shedding = below.filter(|(_, queue)| queue.len() > RESERVED_PLACES);
        let (_, queue) = shedding.next()?;
        queue.eviction_candidate().map(|it| it.id)
    }
}
