//! Dispatches queued calls: decides their order and sends them to upstreams.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;

use super::Call;
use super::Conclusion;
use super::ConclusionReason;
use super::RETRY_AFTER_FAILURE;
use super::Scheduler;
use super::SchedulerAction;
use super::SendCommand;
use super::TrackedCall;
use super::placement;
use super::placement::Placement;
use super::placement::PlacementContext;
use super::restarts::SentStart;
use super::upstream::Upstream;

/// Minimum retry delay of a request that is refused for lack of room.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Fraction of an upstream's connection limit that the VMs use together. The rest is for
/// connections that are being closed and for VMs that are not counted yet.
const USABLE_CONNECTION_FRACTION: f64 = 0.8;

impl Scheduler {
    pub(super) fn dispatch_all(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        let pools: Vec<PoolId> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.dispatch(now, &pool, actions);
        }
    }

    /// Sends the calls that are queued for `pool`, highest tier first, until one finds no room.
    ///
    /// Calls of the same tier are still tried after one that finds no room, since there may be room
    /// for one call where there is none for another. Lower tiers wait.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        pool: &PoolId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let waiting = self.dispatch_order(pool);
        if waiting.is_empty() {
            return;
        }
        let lacks_permit = self.send_waiting(now, waiting, actions);
        let has_waiting = self.queues.get(pool).is_some_and(|it| !it.is_empty());
        self.request_permits(now, pool, lacks_permit || has_waiting);
    }

    /// Returns `true` if a call found only upstreams that are paused or limited in their rate.
    fn send_waiting(
        &mut self,
        now: Instant,
        waiting: Vec<(Tier, RequestId)>,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        let mut found_paused = false;
        let mut blocked_tier = None;
        for (tier, id) in waiting {
            if blocked_tier.is_some_and(|it| it < tier) {
                break;
            }
            let Some(tracked) = self.calls.get(&id) else { continue };
            if now >= tracked.call.deadline {
                // The VM was suspended, or it would have been refused in time.
                self.conclude(id, ConclusionReason::Overloaded, MIN_RETRY_AFTER, actions);
                continue;
            }
            let placement = self.place(now, tracked);
            found_paused |= matches!(placement, Placement::Paused(_));
            match placement {
                Placement::Chosen(choice) => self.send(now, id, &choice, actions),
                Placement::Full(_) => blocked_tier = Some(tier),
                Placement::Paused(wait) if now + wait < tracked.give_up_at => {
                    blocked_tier = Some(tier);
                }
                Placement::Paused(wait) => {
                    let retry_after = wait.max(MIN_RETRY_AFTER);
                    self.conclude(id, ConclusionReason::UpstreamsPaused, retry_after, actions);
                }
                Placement::NoUpstream => {
                    let reason = match tracked.call.software_version {
                        _ if !tracked.tried.is_empty() => ConclusionReason::AttemptsExhausted,
                        Some(_) => ConclusionReason::NoSuchVersion,
                        None => ConclusionReason::NoUpstream,
                    };
                    self.conclude(id, reason, RETRY_AFTER_FAILURE, actions);
                }
            }
        }
        found_paused
    }

    /// Returns the calls queued for `pool` in dispatch order: by tier, then retries before new
    /// calls, then calls of the customers with the fewest calls in flight, then by arrival.
    ///
    /// A customer that sends many times its usual number of calls thus waits behind the others
    /// instead of ahead of them (least attained service first).
    fn dispatch_order(&self, pool: &PoolId) -> Vec<(Tier, RequestId)> {
        let Some(queue) = self.queues.get(pool) else { return Vec::new() };
        let mut waiting: Vec<(Tier, RequestId)> = queue.entries().collect();
        if waiting.len() > 1 {
            let in_flight = self.in_flight_by_customer(pool);
            // The sort is stable, so calls with equal keys keep their order of arrival.
            waiting.sort_by_key(|(tier, id)| {
                let tracked = self.calls.get(id);
                let is_new = tracked.is_none_or(|it| it.attempts == 0);
                let customer = tracked.map(|it| &it.call.customer);
                (*tier, is_new, customer.and_then(|it| in_flight.get(it)).copied().unwrap_or(0))
            });
        }
        waiting
    }

    fn in_flight_by_customer(&self, pool: &PoolId) -> HashMap<&Option<CustomerId>, u32> {
        let mut in_flight = HashMap::new();
        for tracked in
            self.calls.values().filter(|it| it.sent_to.is_some() && it.call.pool == *pool)
        {
            *in_flight.entry(&tracked.call.customer).or_default() += 1;
        }
        in_flight
    }

    fn place(&self, now: Instant, tracked: &TrackedCall) -> Placement {
        let pool = &tracked.call.pool;
        placement::place(
            &self.placement_context(now, &tracked.call),
            &tracked.call,
            &self.pool_upstreams(pool),
            &tracked.tried,
        )
    }

    /// Returns the upstreams of a pool.
    pub(super) fn pool_upstreams(&self, pool: &PoolId) -> Vec<&Upstream> {
        self.upstreams.values().filter(|it| it.record.pool == *pool).collect()
    }

    pub(super) fn placement_context(&self, now: Instant, call: &Call) -> PlacementContext<'_> {
        let pool = &call.pool;
        let prefill_ratio = self.prefill_ratios.get(&(pool.clone(), call.tier)).copied();
        let connections = self.table.pool(pool).map_or(u32::MAX, |it| it.max_connections);
        let max_in_flight =
            f64::from(connections) * USABLE_CONNECTION_FRACTION / f64::from(self.vm_count);
        PlacementContext {
            now,
            failure_domain: self.settings.failure_domain.as_ref(),
            max_own_in_flight: (max_in_flight as u32).max(1),
            brittle_vm_count: self.is_brittle(now, pool).then_some(self.vm_count),
            lane_rules: self.recent_arrivals.lane_rules(
                now,
                pool,
                self.measured_pools.contains(pool),
            ),
            prefill_ratio: prefill_ratio.unwrap_or_default().get(),
        }
    }

    fn send(
        &mut self,
        now: Instant,
        id: RequestId,
        choice: &placement::Choice,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.get_mut(&id) else { return };
        let prefix_source = choice.prefix_source.as_ref().and_then(|it| self.upstreams.get(it));
        let prefix_source = prefix_source.map(|it| Box::new(it.record.clone()));
        let Some(upstream) = self.upstreams.get_mut(&choice.upstream) else { return };
        if let Some(queue) = self.queues.get_mut(&tracked.call.pool) {
            queue.remove(tracked.call.tier, id);
        }
        if upstream.pause.take_ended(now) {
            let upstream = choice.upstream.clone();
            actions.push(SchedulerAction::PauseEnded { upstream });
        }
        upstream.record_attempt(now, &tracked.call, &choice.reason);
        let send_by = upstream.rate_limit.use_permit(now);
        let is_repeat = tracked.tried.contains(&choice.upstream);
        tracked.attempts += 1;
        tracked.tried.push(choice.upstream.clone());
        tracked.sent_to = Some(choice.upstream.clone());
        tracked.sent_start = Some(SentStart::new(&upstream.record));
        actions.push(SchedulerAction::Send(SendCommand {
            id,
            attempt: tracked.attempts,
            upstream: upstream.record.clone(),
            is_repeat,
            prefix_source,
            send_by,
            reason: choice.reason,
        }));
    }

    /// Refuses a call that found no room in time.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: RequestId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.get(&id) else { return };
        let retry_after = match self.place(now, tracked) {
            Placement::Full(wait) | Placement::Paused(wait) => wait.max(MIN_RETRY_AFTER),
            Placement::Chosen(_) => MIN_RETRY_AFTER,
            Placement::NoUpstream => RETRY_AFTER_FAILURE,
        };
        self.conclude(id, ConclusionReason::Overloaded, retry_after, actions);
    }

    pub(super) fn conclude(
        &mut self,
        id: RequestId,
        reason: ConclusionReason,
        retry_after: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(tracked) = self.calls.remove(&id) else { return };
        if let Some(queue) = self.queues.get_mut(&tracked.call.pool) {
            queue.remove(tracked.call.tier, id);
        }
        actions.push(SchedulerAction::Conclude(Conclusion { id, reason, retry_after }));
    }
}
