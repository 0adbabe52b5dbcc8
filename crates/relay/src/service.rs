//! Serves the requests of a caller's connection.

mod call;
mod conclusion;
mod context;
mod forward;
mod progress;

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_policy::execution::NotRun;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::ConclusionReason;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SendCommand;
use slog::info;

use crate::call_log::log_call;
use crate::call_log::log_failed_attempt;
use crate::caller::CallerConnection;
use crate::caller::CallerRequest;
use crate::caller::Intake;
use crate::caller::ReadError;
use crate::caller::RequestLimits;
use crate::caller::UnsentResponse;
use crate::dialect::CallMetadata;
use crate::dispatch::CallGuard;
use crate::dispatch::Directive;
use crate::dispatch::Mailbox;
use crate::exchange::AttemptOutcome;
use crate::exchange::AttemptTrace;
use crate::exchange::Delivery;
use crate::exchange::Exchange;
use crate::exchange::is_unsent;
use crate::refusal::Refusal;
use crate::slots::ConnectionSlot;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::wait;
use crate::state::Relay;

use self::call::scheduler_call;
use self::call::suspect_keys;
use self::conclusion::CallConclusion;
pub(crate) use self::context::RequestContext;
use self::context::resolve_context;
pub(crate) use self::progress::CallOutcome;
pub(crate) use self::progress::CallProgress;

/// `Retry-After` for refusals that have no better estimate, such as those before the first
/// configuration is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Who sends the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sender {
    /// A caller.
    Caller,
    /// Another VM, which reaches no upstream. Its calls are not forwarded once more.
    Vm,
}

/// Serves a connection until it is closed, or refuses it if it has no slot.
pub(crate) fn serve_connection(
    relay: &Arc<Relay>,
    stream: TcpStream,
    sender: Sender,
    mailbox: Arc<Mailbox>,
    slot: Option<ConnectionSlot>,
) {
    let Ok(connection) = Connection::from_accepted(stream) else { return };
    let caller = CallerConnection::new(connection, sender == Sender::Vm);
    let memory = slot.is_some().then(|| relay.memory.reserve_connection().ok()).flatten();
    let (Some(slot), Some(_memory)) = (slot, memory) else {
        relay.memory.record_refusal("connection");
        caller.refuse_connection(&not_yet_sent("too many connections"));
        return;
    };
    let mut handler = ConnectionHandler { relay, sender, mailbox, caller, slot };
    while handler.serve_request() {}
}

/// Serves the requests of one connection, one after another.
struct ConnectionHandler<'a> {
    relay: &'a Arc<Relay>,
    sender: Sender,
    mailbox: Arc<Mailbox>,
    caller: CallerConnection,
    slot: ConnectionSlot,
}

impl ConnectionHandler<'_> {
    /// Serves one request. Returns `false` if the connection must be closed.
    fn serve_request(&mut self) -> bool {
        let relay = self.relay;
        let limits_in_force = || relay.routing_table().map(|it| it.limits().clone());
        let eviction = (&self.slot, &**self.mailbox.waker());
        let closed = relay.lifecycle.closed();
        if self.caller.wait_for_request(&limits_in_force, closed, eviction).is_err() {
            return false;
        }
        let limits = RequestLimits::at_arrival(&limits_in_force);
        let _active_request = self.relay.track_request();
        let slot = self.slot.begin_request();
        let intake = Intake {
            limits: &limits,
            calls_ended: self.relay.lifecycle.calls_ended(),
            memory: &self.relay.memory,
            waker: self.mailbox.waker(),
            slot: &slot,
        };
        let (request, response) = match self.caller.read_request(intake) {
            Ok(request) => request,
            Err(ReadError::Disconnected) => return false,
            Err(ReadError::Evicted(response)) => {
                self.slot.record_eviction("part");
                // The caller may not read it, and others wait for the slot.
                let _ = response.refuse(&mut self.caller, &not_yet_sent("too many connections"));
                return false;
            }
            Err(ReadError::Rejected(response, refusal)) => {
                response.reject(&mut self.caller, &refusal);
                return false;
            }
        };
        if self.relay.is_draining() {
            self.caller.keeps_alive = false;
        }
        slot.begin_response();
        let conclusion = match self.prepare(&request) {
            Ok((metadata, context)) => self.run_call(&request, response, metadata, &context),
            Err(refusal) => {
                self.log_refusal(&request, &refusal);
                CallConclusion::new(CallOutcome::Refusal(refusal), Some(response))
            }
        };
        conclusion.send(&mut self.caller) && self.caller.keeps_alive
    }

    /// Logs and counts a request that was refused before it reached the scheduler.
    fn log_refusal(&self, request: &CallerRequest, refusal: &Refusal) {
        let id = self.relay.dialect.parse_call(&request.head).ok().and_then(|it| it.request_id);
        info!(self.relay.log, "call refused";
            "request" => id.as_deref().unwrap_or("-"),
            "path" => request.head.path(),
            "config_version" => self.relay.routing_table().map(|it| it.version()),
            "status" => refusal.status(),
            "reason" => refusal.message());
        let status = refusal.status().to_string();
        metrics::counter!("cranberryvalve_calls_refused_total", "status" => status).increment(1);
    }

    /// Parses the call's headers, resolves its route and authenticates the customer.
    fn prepare(&self, request: &CallerRequest) -> Result<(CallMetadata, RequestContext), Refusal> {
        let Some(table) = self.relay.routing_table() else {
            return Err(not_yet_sent("no configuration is known yet"));
        };
        let metadata = self.relay.dialect.parse_call(&request.head)?;
        let context = resolve_context(&table, request, &metadata)?;
        Ok((metadata, context))
    }

    /// Runs a call to its outcome and logs it.
    fn run_call(
        &mut self,
        request: &CallerRequest,
        response: UnsentResponse,
        metadata: CallMetadata,
        context: &RequestContext,
    ) -> CallConclusion {
        let mut progress = CallProgress {
            delivery: Delivery::new(
                response,
                metadata.last_event_id.filter(|_| context.route.kind.is_retryable()),
            ),
            input_tokens: metadata.prompt.as_ref().map_or(0, |it| it.input_tokens),
            shared_parts: metadata.prompt.as_ref().map(Prompt::shared_part_ids).unwrap_or_default(),
            caller_id: metadata.request_id,
            resumed_request_id: metadata.resumed_request_id,
            resumed_after: metadata.last_event_id,
            ..CallProgress::default()
        };
        let mut call = scheduler_call(request, metadata.timeout, metadata.prompt, context);
        self.caller.begin_call(call.deadline);
        if self.sender == Sender::Vm {
            call.max_attempts = call.max_attempts.saturating_sub(metadata.upstream_attempts).max(1);
        }
        let suspect_keys = suspect_keys(request, &call);
        let call_outcome = match self.relay.crash_guard.check(&suspect_keys) {
            Ok(()) if !self.relay.lifecycle.accepts(call.deadline) => {
                progress.outcome_at_shutdown()
            }
            Ok(()) => match self.constrain_continuation(&mut call, &progress) {
                Ok(()) => {
                    self.schedule_and_forward(request, context, call, &suspect_keys, &mut progress)
                }
                Err(refusal) => CallOutcome::Refusal(refusal),
            },
            Err(refusal) => progress.quarantine_outcome(&refusal),
        };
        let conclusion = CallConclusion::new(call_outcome, progress.delivery.take_unsent());
        log_call(
            &self.relay.log,
            &self.relay.call_log_limiter,
            request,
            context,
            &progress,
            conclusion.outcome(),
        );
        conclusion
    }

    /// Limits a call that continues a stream to the upstreams that can continue it.
    fn constrain_continuation(
        &self,
        call: &mut Call,
        progress: &CallProgress,
    ) -> Result<(), Refusal> {
        if !progress.continues_stream(&call.route) {
            return Ok(());
        }
        let continuation =
            self.relay.continuation(&call.route, progress.resumed_request_id.as_deref());
        match continuation {
            Ok(origin) => {
                call.pool = origin.pool;
                call.software_version = Some(origin.software_version);
                Ok(())
            }
            Err(error) => {
                metrics::counter!("cranberryvalve_continuations_refused_total").increment(1);
                Err(not_yet_sent(error.message()))
            }
        }
    }

    /// Submits the call to the scheduler and follows its directives until the call has an outcome.
    fn schedule_and_forward(
        &mut self,
        request: &CallerRequest,
        context: &RequestContext,
        call: Call,
        suspect_keys: &[SuspectKey],
        progress: &mut CallProgress,
    ) -> CallOutcome {
        let deadline = call.deadline;
        let caller_id = progress.caller_id.clone();
        let stream_id = progress.stream_id(&context.route).map(ToOwned::to_owned);
        let mut exchange = Exchange {
            relay: self.relay,
            head: &request.head,
            body: &request.body,
            caller_id: caller_id.as_deref(),
            customer: context.customer.as_deref(),
            tier: context.tier,
            is_stream: context.route.kind.is_stream(),
            stream_id: stream_id.as_deref(),
            is_route_split: context.route.pools.len() > 1,
            deadline,
            is_retryable: context.route.kind.is_retryable(),
            may_have_been_sent: self.sender == Sender::Vm && !is_unsent(&request.head),
            reports_load: false,
            suspect_keys,
        };
        if self.relay.forwarding.is_partitioned()
            && let Some(call_outcome) = self.forward(&exchange, &context.route, progress)
        {
            return call_outcome;
        }
        exchange.reports_load = self.query_peer_loads(&call);
        let call_guard = self.relay.dispatcher.admit(call, &self.mailbox);
        self.follow_directives(&exchange, &context.route, call_guard, progress)
    }

    /// Follows the scheduler's directives for a call until it has an outcome. Another VM forwards the
    /// call if this one turns out to reach no upstream.
    fn follow_directives(
        &mut self,
        exchange: &Exchange<'_>,
        route: &RouteRule,
        mut call_guard: CallGuard,
        progress: &mut CallProgress,
    ) -> CallOutcome {
        loop {
            let call_outcome = match self.next_directive(&call_guard, exchange.deadline) {
                Ok(Directive::Send(command)) => {
                    let call_outcome =
                        self.run_attempt(exchange, command, &mut call_guard, progress);
                    if call_outcome.is_none() && progress.has_failed_to_connect_repeatedly() {
                        self.forward(exchange, route, progress)
                    } else {
                        call_outcome
                    }
                }
                Ok(Directive::Conclude(conclusion)) => {
                    // Forwarding would be a repeat like any other.
                    let may_forward = conclusion.reason != ConclusionReason::RetryBudgetExhausted;
                    let forwarded =
                        may_forward.then(|| self.forward(exchange, route, progress)).flatten();
                    Some(forwarded.unwrap_or_else(|| progress.final_outcome(&conclusion)))
                }
                Err(WaitError::CallerDisconnected) => Some(CallOutcome::CallerDisconnected),
                Err(WaitError::DeadlineExceeded) => Some(progress.outcome_at_deadline()),
                Err(WaitError::ShuttingDown) => Some(progress.outcome_at_shutdown()),
            };
            if let Some(call_outcome) = call_outcome {
                return call_outcome;
            }
        }
    }

    /// Refreshes the scheduler's view of the load that other VMs put on the candidate upstreams.
    /// Returns `false` if this VM has no peers or the call is too small for a query.
    fn query_peer_loads(&self, call: &Call) -> bool {
        let Some(peers) = self.relay.peers() else { return false };
        let upstreams = self.relay.dispatcher.upstreams_to_query(call);
        if upstreams.is_empty() {
            return false;
        }
        let loads = peers.query_loads(&upstreams);
        if !loads.is_empty() {
            self.relay.dispatcher.handle(SchedulerEvent::CoordinatorLoads(loads));
        }
        true
    }

    /// Waits for the scheduler's next directive.
    fn next_directive(
        &self,
        call_guard: &CallGuard,
        deadline: Instant,
    ) -> Result<Directive, WaitError> {
        loop {
            if let Some(directive) = self.mailbox.take(call_guard.id()) {
                return Ok(directive);
            }
            let interest = Interest {
                caller: Some(&self.caller.connection),
                waker: Some(self.mailbox.waker()),
                broadcast: Some(self.relay.lifecycle.calls_ended()),
                ..Interest::default()
            };
            let ready = wait(interest, deadline).map_err(|_| WaitError::CallerDisconnected)?;
            if ready.caller_disconnected {
                return Err(WaitError::CallerDisconnected);
            }
            if ready.broadcast {
                return Err(WaitError::ShuttingDown);
            }
            if ready.timed_out {
                return Err(WaitError::DeadlineExceeded);
            }
        }
    }

    /// Runs one attempt. Returns `None` if the scheduler decides what happens next.
    fn run_attempt(
        &mut self,
        exchange: &Exchange<'_>,
        command: SendCommand,
        call_guard: &mut CallGuard,
        progress: &mut CallProgress,
    ) -> Option<CallOutcome> {
        progress.attempts += 1;
        progress.sent_at.get_or_insert_with(Instant::now);
        exchange.report_load(&command);
        let started_at = Instant::now();
        let events_before = progress.delivery.events;
        let mut trace = AttemptTrace::default();
        let outcome = exchange.run_attempt(
            &command,
            call_guard,
            &mut self.caller,
            &mut progress.delivery,
            &mut trace,
        );
        let events = progress.delivery.events - events_before;
        let first_part_at = progress.delivery.first_part_at;
        exchange.record_evidence(&command.upstream, &outcome, first_part_at, events);
        let attempt = command.attempt;
        if let Some(failure) = outcome.failure() {
            log_failed_attempt(
                &self.relay.log,
                exchange,
                &command,
                progress,
                &trace,
                failure,
                started_at,
            );
        }
        progress.record_attempt(command, &outcome);
        let end = outcome.end();
        let call_outcome = match outcome {
            AttemptOutcome::NotSent
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::NotRun { .. }
            | AttemptOutcome::Unattested => None,
            AttemptOutcome::Incomplete => {
                progress.delivery.is_stuck().then_some(CallOutcome::Truncated)
            }
            AttemptOutcome::Buffered(response) if end == AttemptEnd::Failed => {
                progress.failed_response = Some(response);
                None
            }
            AttemptOutcome::Buffered(response) => Some(CallOutcome::Response(response)),
            AttemptOutcome::Streamed { .. } => Some(CallOutcome::Streamed),
            AttemptOutcome::Quarantined(refusal) => Some(progress.quarantine_outcome(&refusal)),
            AttemptOutcome::CallerDisconnected => Some(CallOutcome::CallerDisconnected),
            AttemptOutcome::Unread | AttemptOutcome::DeadlineExceeded { .. } => {
                Some(progress.outcome_at_deadline())
            }
            AttemptOutcome::ShutDown { .. } => Some(progress.outcome_at_shutdown()),
        };
        call_guard.attempt_ended(attempt, end);
        if matches!(end, AttemptEnd::Refused { .. }) {
            self.relay.forward_refusals();
        }
        call_outcome
    }
}

/// Why waiting for a directive was given up.
enum WaitError {
    CallerDisconnected,
    DeadlineExceeded,
    ShuttingDown,
}

/// Returns the refusal of a request before it is sent to an upstream.
fn not_yet_sent(message: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(NotRun::before_sending(), DEFAULT_RETRY_AFTER, message)
}
