//! Event handlers for requests, upstreams and the configuration.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::Config;
use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::RequestId;

use super::RETRY_AFTER_FAILURE;
use super::RETRY_AFTER_OVERLOAD;
use super::Router;
use super::Stage;
use super::TrackedRequest;
use crate::Action;
use crate::AttemptEnd;
use crate::Conclusion;
use crate::LoadReport;
use crate::Request;
use crate::queue::PoolQueue;
use crate::queue::PushResult;
use crate::queue::QueuedRequest;
use crate::retry::MAX_ATTEMPTS;

impl Router {
    pub(super) fn on_arrived(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        if self.is_stopping {
            let outcome = Outcome::not_run(NotRunReason::VmStopping, RETRY_AFTER_FAILURE);
            actions.push(Action::Conclude(Conclusion { id: request.id, outcome }));
            return;
        }
        let Some(class) = self.config.class(&request.class) else {
            let outcome = Outcome::not_run(NotRunReason::NoUpstream, RETRY_AFTER_FAILURE);
            actions.push(Action::Conclude(Conclusion { id: request.id, outcome }));
            return;
        };
        let queued = QueuedRequest {
            id: request.id,
            tier: class.tier,
            arrived_at: now,
            promote_at: now + Duration::from_millis(class.promote_after_ms),
            expires_at: now + Duration::from_millis(class.queue_limit_ms),
        };
        self.retry_budgets.credit(&request.class);
        let pool = request.pool.clone();
        let weight = self.customer_weight(&request);
        let queue = self.queues.entry(pool.clone()).or_insert_with(|| PoolQueue::new(now));
        let push_result = queue.push(&request.customer, weight, queued);
        let tracked = TrackedRequest {
            tried_upstreams: Vec::new(),
            request,
            queued,
            attempts: 0,
            tokens_delivered: 0,
            may_have_run: false,
            response_deadline: now + Duration::from_millis(class.answer_limit_ms),
            stage: Stage::Queued,
        };
        self.requests.insert(queued.id, tracked);
        let rejected = match push_result {
            PushResult::Queued => None,
            PushResult::Evicted(evicted) => Some(evicted),
            PushResult::Full => Some(queued.id),
        };
        if let Some(id) = rejected {
            self.give_up_queued(id, NotRunReason::QueueFull, RETRY_AFTER_OVERLOAD, actions);
        }
        self.dispatch(now, &pool, actions);
    }

    pub(super) fn on_response_started(&mut self, now: Instant, id: RequestId, attempt: Attempt) {
        let Some(tracked) = self.requests.get(&id).filter(|it| it.attempts == attempt) else {
            return;
        };
        let Stage::InFlight { upstream, .. } = &tracked.stage else { return };
        if let Some(upstream) = self.upstreams.entry(upstream) {
            upstream.circuit.record_response_start(now);
        }
    }

    pub(super) fn on_token_interval_measured(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
        token_interval: Duration,
    ) {
        let Some(tracked) = self.requests.get(&id).filter(|it| it.attempts == attempt) else {
            return;
        };
        let Stage::InFlight { upstream, .. } = &tracked.stage else { return };
        self.upstreams.record_token_interval(now, upstream, token_interval);
    }

    pub(super) fn on_ended(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get(&id).filter(|it| it.attempts == attempt) else {
            return;
        };
        let Stage::InFlight { upstream, .. } = tracked.stage.clone() else { return };
        let pool = tracked.request.pool.clone();
        self.release_slot(id);
        self.update_circuit(now, &upstream, end);
        if matches!(end, AttemptEnd::Interrupted { .. } | AttemptEnd::TimedOut)
            && let Some(tracked) = self.requests.get_mut(&id)
        {
            tracked.may_have_run = true;
        }
        match end {
            AttemptEnd::Complete { .. } => {
                self.requests.remove(&id);
            }
            AttemptEnd::Abandoned => {
                self.requests.remove(&id);
            }
            AttemptEnd::NotSent | AttemptEnd::Refused { .. } => {
                self.requeue_unsent(now, id, actions);
            }
            AttemptEnd::Interrupted { tokens } => self.requeue_broken(now, id, tokens, actions),
            AttemptEnd::TimedOut => self.requeue_timed_out(now, id, actions),
        }
        self.dispatch(now, &pool, actions);
    }

    pub(super) fn on_caller_disconnected(
        &mut self,
        now: Instant,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get(&id) else { return };
        let pool = tracked.request.pool.clone();
        match tracked.stage.clone() {
            Stage::Queued => {
                self.give_up_queued(id, NotRunReason::CallerDisconnected, Duration::ZERO, actions);
            }
            Stage::InFlight { upstream, .. } => {
                self.release_slot(id);
                self.update_circuit(now, &upstream, AttemptEnd::Abandoned);
                self.requests.remove(&id);
            }
        }
        self.dispatch(now, &pool, actions);
    }

    pub(super) fn on_load_reported(
        &mut self,
        now: Instant,
        id: &str,
        report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(upstream) = self.upstreams.entry(id) else { return };
        upstream.load.report(now, report);
        self.dispatch_pools_of(now, id, actions);
    }

    pub(super) fn on_load_report_failed(&mut self, now: Instant, id: &str) {
        if let Some(upstream) = self.upstreams.entry(id) {
            upstream.circuit.record_failure(now);
        }
    }

    pub(super) fn on_leaving_changed(
        &mut self,
        now: Instant,
        id: &str,
        leaving: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(upstream) = self.upstreams.entry(id) else { return };
        upstream.leaving = leaving;
        self.update_subsets();
        self.dispatch_pools_of(now, id, actions);
    }

    pub(super) fn on_config_changed(
        &mut self,
        now: Instant,
        config: Arc<Config>,
        actions: &mut Vec<Action>,
    ) {
        self.upstreams.reconcile(&config);
        self.config = config;
        self.update_subsets();
        for pool in self.upstreams.pools() {
            self.dispatch(now, &pool, actions);
        }
        self.queues.retain(|pool, queue| !queue.is_empty() || self.upstreams.has_pool(pool));
        self.retry_budgets.retain_classes(|it| self.config.class(it).is_some());
    }

    pub(super) fn on_stopping(&mut self, actions: &mut Vec<Action>) {
        self.is_stopping = true;
        let queued = self.requests.iter().filter(|(_, it)| it.stage == Stage::Queued);
        let mut queued: Vec<RequestId> = queued.map(|(id, _)| *id).collect();
        queued.sort_unstable();
        for id in queued {
            self.give_up_queued(id, NotRunReason::VmStopping, RETRY_AFTER_FAILURE, actions);
        }
    }

    pub(super) fn customer_weight(&self, request: &Request) -> u32 {
        self.config.customer(&request.customer).map_or(1, |it| it.weight)
    }

    fn dispatch_pools_of(&mut self, now: Instant, id: &str, actions: &mut Vec<Action>) {
        for pool in self.upstreams.pools_of(id) {
            self.dispatch(now, &pool, actions);
        }
    }

    fn release_slot(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let Stage::InFlight { upstream, dispatch_tier } = &tracked.stage else { return };
        if let Some(upstream) = self.upstreams.entry(upstream) {
            upstream.load.remove(*dispatch_tier);
        }
        tracked.stage = Stage::Queued;
    }

    fn update_circuit(&mut self, now: Instant, id: &str, end: AttemptEnd) {
        let Some(it) = self.upstreams.entry(id) else { return };
        match end {
            AttemptEnd::Complete { token_interval: None } => it.circuit.record_whole_response(),
            AttemptEnd::Complete { token_interval: Some(token_interval) } => {
                it.circuit.record_whole_response();
                self.upstreams.record_token_interval(now, id, token_interval);
            }
            AttemptEnd::NotSent | AttemptEnd::Interrupted { .. } => it.circuit.record_failure(now),
            AttemptEnd::Refused { leaving } => {
                it.circuit.record_inconclusive();
                if leaving && !it.leaving {
                    it.leaving = true;
                    self.update_subsets();
                }
            }
            AttemptEnd::TimedOut if it.is_busy(now) => it.circuit.record_inconclusive(),
            AttemptEnd::TimedOut => it.circuit.record_failure(now),
            AttemptEnd::Abandoned => it.circuit.record_inconclusive(),
        }
    }

    /// Requeues a request that no upstream has run, unless it has used all its attempts.
    fn requeue_unsent(&mut self, now: Instant, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|it| it.attempts >= MAX_ATTEMPTS) {
            let reason = NotRunReason::UpstreamsRefused;
            self.give_up_queued(id, reason, RETRY_AFTER_FAILURE, actions);
            return;
        }
        self.requeue(now, id, actions);
    }

    /// Requeues a request that an upstream may have run, if it is retryable and the retry budget
    /// of its class allows it.
    ///
    /// An attempt that delivered tokens does not count against the maximum number of attempts.
    fn requeue_broken(
        &mut self,
        now: Instant,
        id: RequestId,
        tokens: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        tracked.tokens_delivered += tokens;
        let attempts_left = tokens > 0 || tracked.attempts < MAX_ATTEMPTS;
        let may_retry = tracked.request.retryable && attempts_left;
        if may_retry && self.retry_budgets.try_take(&tracked.request.class) {
            self.requeue(now, id, actions);
            return;
        }
        self.give_up_queued(id, NotRunReason::UpstreamsRefused, RETRY_AFTER_FAILURE, actions);
    }

    /// Requeues a request whose response did not begin, most likely because it was queued behind
    /// others in the upstream.
    ///
    /// No work was lost by the delay, so this does not use the retry budget.
    fn requeue_timed_out(&mut self, now: Instant, id: RequestId, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get(&id) else { return };
        if tracked.request.retryable && now < tracked.response_deadline {
            self.requeue(now, id, actions);
            return;
        }
        self.give_up_queued(id, NotRunReason::QueueTimeout, RETRY_AFTER_OVERLOAD, actions);
    }

    fn requeue(&mut self, now: Instant, id: RequestId, actions: &mut Vec<Action>) {
        if self.is_stopping {
            self.give_up_queued(id, NotRunReason::VmStopping, RETRY_AFTER_FAILURE, actions);
            return;
        }
        let Some(tracked) = self.requests.get(&id) else { return };
        let weight = self.customer_weight(&tracked.request);
        let customer = tracked.request.customer.clone();
        let mut queued = tracked.queued;
        if tracked.may_have_run {
            queued.expires_at = queued.expires_at.max(tracked.response_deadline);
        }
        let pool = tracked.request.pool.clone();
        let queue = self.queues.entry(pool).or_insert_with(|| PoolQueue::new(now));
        queue.push_front(&customer, weight, queued);
    }
}
