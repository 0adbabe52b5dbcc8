//! Queue of the requests for one pool.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;

use super::QueuedRequest;
use super::fair::FairQueue;

/// Number of queue places shared by all tiers.
const SHARED_PLACES: usize = 4_096;

/// Number of queue places reserved for each tier.
///
/// Keeps bursts of higher tiers from evicting all requests of lower tiers.
const RESERVED_PLACES_PER_TIER: usize = 64;

/// Number of regular dispatches after which an overdue request is promoted.
const REGULAR_DISPATCHES_PER_PROMOTION: u32 = 8;

/// Time since the last promotion after which an overdue request is promoted, regardless of the
/// number of regular dispatches.
const PROMOTION_INTERVAL: Duration = Duration::from_secs(1);

/// Result of [`PoolQueue::push`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PushResult {
    /// The request was queued.
    Queued,
    /// The request was queued and this request of a lower tier was removed to make room.
    Evicted(RequestId),
    /// The request was rejected: the queue is full and no lower tier exceeds its reserved places.
    Full,
}

/// Priority queue of one pool, with a [`FairQueue`] for each tier.
#[derive(Debug)]
pub(crate) struct PoolQueue {
    tiers: BTreeMap<Tier, FairQueue>,
    regular_dispatches: u32,
    last_promotion_at: Instant,
}

impl PoolQueue {
    pub(crate) const fn new(now: Instant) -> Self {
        Self { tiers: BTreeMap::new(), regular_dispatches: 0, last_promotion_at: now }
    }

    /// Appends a new request. If the queue is full, evicts one from the lowest possible tier.
    pub(crate) fn push(
        &mut self,
        customer: &CustomerId,
        weight: u32,
        queued: QueuedRequest,
    ) -> PushResult {
        let mut result = PushResult::Queued;
        if !self.has_place(queued.tier) {
            let Some(evicted) = self.eviction_candidate(queued.tier) else {
                return PushResult::Full;
            };
            self.remove(evicted);
            result = PushResult::Evicted(evicted);
        }
        let queue = self.tiers.entry(queued.tier).or_default();
        queue.push(customer, weight, queued, false);
        result
    }

    /// Puts a request back at the front after an attempt that did not complete it.
    ///
    /// The limits on the number of places do not apply.
    pub(crate) fn push_front(&mut self, customer: &CustomerId, weight: u32, queued: QueuedRequest) {
        let queue = self.tiers.entry(queued.tier).or_default();
        queue.push(customer, weight, queued, true);
    }

    /// Returns the overdue request to promote now, or `None` if no promotion is due.
    pub(crate) fn next_promotion(&self, now: Instant) -> Option<QueuedRequest> {
        let is_due = self.regular_dispatches >= REGULAR_DISPATCHES_PER_PROMOTION
            || now.saturating_duration_since(self.last_promotion_at) >= PROMOTION_INTERVAL;
        if !is_due {
            return None;
        }
        let candidates = self.tiers.values().filter_map(FairQueue::first_overdue);
        candidates.filter(|it| it.promote_at <= now).min_by_key(|it| it.promote_at)
    }

    /// Returns the next request of each tier, highest tier first.
    pub(crate) fn next_by_tier(&self) -> Vec<QueuedRequest> {
        self.tiers.values().filter_map(FairQueue::peek).collect()
    }

    /// Removes a request to send it in regular order.
    pub(crate) fn dequeue_regular(&mut self, queued: &QueuedRequest) {
        self.regular_dispatches = self.regular_dispatches.saturating_add(1);
        self.dequeue(queued);
    }

    /// Removes a request to send it ahead of higher tiers.
    pub(crate) fn dequeue_promoted(&mut self, now: Instant, queued: &QueuedRequest) {
        self.regular_dispatches = 0;
        self.last_promotion_at = now;
        self.dequeue(queued);
    }

    /// Removes a request that will not be sent.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        self.tiers.values_mut().find_map(|queue| queue.remove(id))
    }

    /// Returns the requests whose time limit in the queue has passed.
    pub(crate) fn expired(&self, now: Instant) -> Vec<RequestId> {
        let all = self.tiers.values().flat_map(FairQueue::iter);
        all.filter(|it| it.expires_at <= now).map(|it| it.id).collect()
    }

    /// Returns the highest tier with a queued request.
    pub(crate) fn highest_queued_tier(&self) -> Option<Tier> {
        self.tiers.iter().find(|(_, queue)| queue.len() > 0).map(|(tier, _)| *tier)
    }

    /// Returns the number of queued requests of each tier.
    pub(crate) fn len_by_tier(&self) -> BTreeMap<Tier, usize> {
        self.tiers.iter().map(|(tier, queue)| (*tier, queue.len())).collect()
    }

    /// Returns whether no request is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.tiers.values().all(|it| it.len() == 0)
    }

    fn dequeue(&mut self, queued: &QueuedRequest) {
        if let Some(queue) = self.tiers.get_mut(&queued.tier) {
            queue.dequeue(queued.id);
        }
    }

    fn has_place(&self, tier: Tier) -> bool {
        let tier_len = self.tiers.get(&tier).map_or(0, FairQueue::len);
        if tier_len < RESERVED_PLACES_PER_TIER {
            return true;
        }
        let beyond_reserved =
            |queue: &FairQueue| queue.len().saturating_sub(RESERVED_PLACES_PER_TIER);
        let shared: usize = self.tiers.values().map(beyond_reserved).sum();
        shared < SHARED_PLACES
    }

    fn eviction_candidate(&self, tier: Tier) -> Option<RequestId> {
        let lower_tiers = self.tiers.range(tier + 1..).rev();
        let mut evictable = lower_tiers.filter(|(_, queue)| queue.len() > RESERVED_PLACES_PER_TIER);
        let (_, queue) = evictable.next()?;
        queue.eviction_candidate().map(|it| it.id)
    }
}
