//! From a caller's request to its answer.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::shared_hash;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Conclusion;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SendCommand;
use cranberryvalve_policy::scheduler::SendEnd;
use slog::info;

use crate::call_log::log_call;
use crate::call_log::millis;
use crate::caller::CallerConnection;
use crate::caller::CallerRequest;
use crate::caller::ReadError;
use crate::dialect::CallFacts;
use crate::dialect::Refusal;
use crate::dispatch::CallGuard;
use crate::dispatch::Directive;
use crate::dispatch::Mailbox;
use crate::exchange::AttemptOutcome;
use crate::exchange::BufferedResponse;
use crate::exchange::Delivery;
use crate::exchange::Exchange;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::wait;
use crate::state::Relay;

/// When a caller may try again that came before there was a configuration.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves one caller's connection until it is closed.
pub(crate) fn serve_connection(relay: &Arc<Relay>, stream: TcpStream) {
    let Ok(connection) = Connection::from_accepted(stream) else { return };
    // Without a mailbox there are no more files to be had, and nothing can be served.
    let Ok(mailbox) = Mailbox::new() else { return };
    let mut handler = ConnectionHandler {
        relay,
        mailbox: Arc::new(mailbox),
        caller: CallerConnection::new(connection),
    };
    if relay.connections() > relay.settings.max_connections {
        handler.reject(&refusal(503, Some(DEFAULT_RETRY_AFTER), "too many connections"));
        return;
    }
    while handler.serve_request() {}
}

struct ConnectionHandler<'a> {
    relay: &'a Arc<Relay>,
    mailbox: Arc<Mailbox>,
    caller: CallerConnection,
}

/// Who asks for what.
pub(crate) struct RequestContext {
    pub(crate) route: Arc<RouteRule>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) tier: Tier,
    pub(crate) config_version: ConfigVersion,
    pool: PoolId,
}

/// What a call ends with.
pub(crate) enum CallOutcome {
    /// An upstream's answer.
    Response(BufferedResponse),
    /// An answer of the relay's own.
    Refusal(Refusal),
    /// The caller has the whole stream.
    Streamed,
    /// The caller has a part of a stream, and its connection is closed to show that.
    Truncated,
    /// The caller is gone.
    CallerDisconnected,
}

impl CallOutcome {
    /// Name in logs and metrics.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Response(response) if response.head.status >= 500 => "upstream_failed",
            Self::Response(_) | Self::Streamed => "completed",
            Self::Refusal(refusal) if refusal.status == 502 || refusal.status == 504 => "unknown",
            Self::Refusal(_) => "not_run",
            Self::Truncated => "partial",
            Self::CallerDisconnected => "caller_gone",
        }
    }

    /// Status that the caller was sent; none when no answer was begun.
    pub(crate) const fn status(&self) -> Option<u16> {
        match self {
            Self::Response(response) => Some(response.head.status),
            Self::Refusal(refusal) => Some(refusal.status),
            Self::Streamed | Self::Truncated => Some(200),
            Self::CallerDisconnected => None,
        }
    }

    /// What the caller was told of a refusal.
    pub(crate) fn reason(&self) -> Option<&str> {
        self.refusal().map(|it| &*it.message)
    }

    /// When the caller was told to come back.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        self.refusal().and_then(|it| it.retry_after)
    }

    const fn refusal(&self) -> Option<&Refusal> {
        match self {
            Self::Refusal(refusal) => Some(refusal),
            _ => None,
        }
    }
}

impl ConnectionHandler<'_> {
    /// Serves one request; false when the connection must be closed.
    fn serve_request(&mut self) -> bool {
        let limits = self.limits();
        if self.caller.wait_for_request(limits.idle_time, &self.relay.closing_waker).is_err() {
            return false;
        }
        let _active_request = self.relay.track_request();
        let request = match self.caller.read_request(&limits) {
            Ok(request) => request,
            Err(ReadError::Disconnected) => return false,
            Err(ReadError::Rejected(refusal)) => {
                self.reject(&refusal);
                return false;
            }
        };
        if self.relay.is_draining() {
            self.caller.keeps_alive = false;
        }
        let call_outcome = match self.prepare(&request) {
            Ok((facts, context)) => self.run_call(&request, facts, &context),
            Err(refusal) => {
                self.log_refusal(&request, &refusal);
                CallOutcome::Refusal(refusal)
            }
        };
        self.send_outcome(&call_outcome)
    }

    fn limits(&self) -> CallerLimits {
        self.relay.table().map(|it| it.limits().clone()).unwrap_or_default()
    }

    /// Answers a request that could not be read, and lets the caller receive that.
    fn reject(&mut self, refusal: &Refusal) {
        self.caller.keeps_alive = false;
        if self.caller.send_refusal(refusal).is_ok() {
            self.caller.drain_input();
        }
    }

    /// Logs and counts a call that was refused before it was placed.
    fn log_refusal(&self, request: &CallerRequest, refusal: &Refusal) {
        let id = self.relay.dialect.read_call(&request.head).ok().and_then(|it| it.id);
        info!(self.relay.log, "call refused";
            "request" => id.as_deref().unwrap_or("-"),
            "path" => request.head.path(),
            "config_version" => self.relay.table().map(|it| it.version()),
            "status" => refusal.status,
            "reason" => &*refusal.message);
        let status = refusal.status.to_string();
        metrics::counter!("cranberryvalve_calls_refused_total", "status" => status).increment(1);
    }

    /// Finds out what is asked for and whether it is allowed.
    fn prepare(&self, request: &CallerRequest) -> Result<(CallFacts, RequestContext), Refusal> {
        let Some(table) = self.relay.table() else {
            return Err(refusal(503, Some(DEFAULT_RETRY_AFTER), "no configuration is known yet"));
        };
        let facts = self.relay.dialect.read_call(&request.head)?;
        let context = resolve_context(&table, request, &facts)?;
        Ok((facts, context))
    }

    /// Exchanges a call and logs how it ended.
    fn run_call(
        &mut self,
        request: &CallerRequest,
        facts: CallFacts,
        context: &RequestContext,
    ) -> CallOutcome {
        let mut progress = CallProgress {
            delivery: Delivery {
                last_event: facts.last_event.filter(|_| context.route.kind.is_repeatable()),
                ..Delivery::default()
            },
            input_tokens: facts.prompt.as_ref().map_or(0, |it| it.input_tokens),
            caller_id: facts.id,
            ..CallProgress::default()
        };
        let call = scheduler_call(request, facts.time_limit, facts.prompt, context);
        let call_outcome = self.schedule_and_forward(request, context, call, &mut progress);
        log_call(
            &self.relay.log,
            &self.relay.call_log_limiter,
            request,
            context,
            &progress,
            &call_outcome,
        );
        call_outcome
    }

    /// Waits for the scheduler and exchanges the call until it has an ending.
    fn schedule_and_forward(
        &mut self,
        request: &CallerRequest,
        context: &RequestContext,
        call: Call,
        progress: &mut CallProgress,
    ) -> CallOutcome {
        let deadline = call.deadline;
        let reports_load = self.query_peer_loads(&call);
        let mut call_guard = self.relay.dispatcher.admit(call, &self.mailbox);
        let caller_id = progress.caller_id.clone();
        let exchange = Exchange {
            relay: self.relay,
            head: &request.head,
            body: &request.body,
            caller_id: caller_id.as_deref(),
            customer: context.customer.as_deref(),
            tier: context.tier,
            is_stream: context.route.kind.is_stream(),
            deadline,
            reports_load,
        };
        loop {
            let call_outcome = match self.next_directive(&call_guard, deadline) {
                Ok(Directive::Send(command)) => {
                    self.run_attempt(&exchange, command, &mut call_guard, progress)
                }
                Ok(Directive::Conclude(conclusion)) => Some(progress.final_outcome(&conclusion)),
                Err(WaitError::CallerDisconnected) => Some(CallOutcome::CallerDisconnected),
                Err(WaitError::DeadlineExceeded) => Some(progress.outcome_at_deadline()),
            };
            if let Some(call_outcome) = call_outcome {
                return call_outcome;
            }
        }
    }

    /// Learns what the other VMs have in flight where the call is likely to go; false when the
    /// call is too small to matter to them.
    fn query_peer_loads(&self, call: &Call) -> bool {
        let Some(peers) = self.relay.peers() else { return false };
        let upstreams = self.relay.dispatcher.upstreams_to_query(call);
        if upstreams.is_empty() {
            return false;
        }
        let loads = peers.query_loads(&upstreams);
        if !loads.is_empty() {
            self.relay.dispatcher.handle(SchedulerEvent::HomeTold(loads));
        }
        true
    }

    /// Waits for what to do next.
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
                ..Interest::default()
            };
            let ready = wait(interest, deadline).map_err(|_| WaitError::CallerDisconnected)?;
            if ready.caller_disconnected {
                return Err(WaitError::CallerDisconnected);
            }
            if ready.timed_out {
                return Err(WaitError::DeadlineExceeded);
            }
        }
    }

    /// Carries out an attempt; none when the scheduler is to decide what comes next.
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
        let outcome =
            exchange.run_attempt(&command, call_guard, &mut self.caller, &mut progress.delivery);
        let attempt = command.attempt;
        if let Some(failure) = outcome.failure() {
            info!(self.relay.log, "attempt failed";
                "request" => progress.caller_id.as_deref().unwrap_or("-"),
                "upstream" => &*command.upstream.id, "attempt" => attempt, "failure" => failure,
                "events" => progress.delivery.events,
                "candidates" => command.reason.candidates,
                "backlog_ms" => millis(command.reason.backlog),
                "peer_age_ms" => millis(command.reason.peer_age));
        }
        progress.record_attempt(command, &outcome);
        let end = outcome.end();
        let call_outcome = match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::NotRun { .. } => None,
            AttemptOutcome::Buffered(response) if end == SendEnd::Failed => {
                progress.failed_response = Some(response);
                None
            }
            AttemptOutcome::Buffered(response) => Some(CallOutcome::Response(response)),
            AttemptOutcome::Streamed => Some(CallOutcome::Streamed),
            AttemptOutcome::Incomplete => {
                progress.may_have_run = true;
                None
            }
            AttemptOutcome::CallerDisconnected => Some(CallOutcome::CallerDisconnected),
            AttemptOutcome::DeadlineExceeded => {
                progress.may_have_run = true;
                Some(progress.outcome_at_deadline())
            }
        };
        call_guard.attempt_ended(attempt, end);
        call_outcome
    }

    /// Gives the caller its final answer; false when the connection must be closed.
    fn send_outcome(&mut self, call_outcome: &CallOutcome) -> bool {
        let sent = match call_outcome {
            CallOutcome::Response(response) => self.caller.send_response(response).is_ok(),
            CallOutcome::Refusal(refusal) => self.caller.send_refusal(refusal).is_ok(),
            CallOutcome::Streamed => true,
            CallOutcome::Truncated | CallOutcome::CallerDisconnected => false,
        };
        sent && self.caller.keeps_alive
    }
}

/// Why a call waits no longer.
enum WaitError {
    CallerDisconnected,
    DeadlineExceeded,
}

/// What has become of a call so far.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    pub(crate) delivery: Delivery,
    pub(crate) attempts: u32,
    /// The last attempt.
    pub(crate) last_command: Option<SendCommand>,
    /// When the first attempt was sent.
    pub(crate) sent_at: Option<Instant>,
    /// Upstreams of the attempts that failed, with what failed.
    pub(crate) failed_attempts: String,
    /// Identifier that the caller chose.
    pub(crate) caller_id: Option<Box<str>>,
    /// Tokens of the prompt.
    pub(crate) input_tokens: u32,
    /// Whether an upstream may have begun to run it.
    may_have_run: bool,
    /// The last answer of an upstream that failed.
    failed_response: Option<BufferedResponse>,
}

impl CallProgress {
    /// Notes an attempt that ended.
    fn record_attempt(&mut self, command: SendCommand, outcome: &AttemptOutcome) {
        if let Some(failure) = outcome.failure() {
            if !self.failed_attempts.is_empty() {
                self.failed_attempts.push(' ');
            }
            self.failed_attempts.push_str(&command.upstream.id);
            self.failed_attempts.push(':');
            self.failed_attempts.push_str(failure);
        }
        self.last_command = Some(command);
    }

    /// The ending when no further attempt is made.
    fn final_outcome(&mut self, conclusion: &Conclusion) -> CallOutcome {
        if self.delivery.is_head_sent {
            return CallOutcome::Truncated;
        }
        if let Some(response) = self.failed_response.take() {
            return CallOutcome::Response(response);
        }
        let reason = conclusion.reason.name();
        if self.may_have_run {
            let message = format!("no whole answer came back, and it may have been run: {reason}");
            return CallOutcome::Refusal(refusal(502, None, message));
        }
        let message = format!("not run: {reason}");
        CallOutcome::Refusal(refusal(503, Some(conclusion.retry_after), message))
    }

    /// The ending when the time for the call is over.
    fn outcome_at_deadline(&mut self) -> CallOutcome {
        if self.delivery.is_head_sent {
            return CallOutcome::Truncated;
        }
        if self.may_have_run || self.failed_response.is_some() {
            let message = "no whole answer came back in time, and it may have been run";
            return CallOutcome::Refusal(refusal(504, None, message));
        }
        CallOutcome::Refusal(refusal(503, Some(DEFAULT_RETRY_AFTER), "not run: no room in time"))
    }
}

fn scheduler_call(
    request: &CallerRequest,
    time_limit: Option<Duration>,
    prompt: Option<Prompt>,
    context: &RequestContext,
) -> Call {
    let route = context.route.clone();
    let time_limit = time_limit.map_or(route.time_limit, |it| it.min(route.time_limit));
    Call {
        id: 0,
        pool: context.pool.clone(),
        customer: context.customer.clone(),
        tier: context.tier,
        arrived_at: request.arrived_at,
        deadline: request.arrived_at + time_limit,
        prompt,
        body_bytes: request.body.len(),
        route,
    }
}

/// Finds the route and the customer of a request.
fn resolve_context(
    table: &RoutingTable,
    request: &CallerRequest,
    facts: &CallFacts,
) -> Result<RequestContext, Refusal> {
    let host = request.head.header("host").unwrap_or_default();
    let Some(route) = table.route(host, request.head.path()) else {
        return Err(refusal(404, None, "no route matches the host and path"));
    };
    let key = facts.api_key.as_deref();
    let customer = key.and_then(|it| table.customer(it));
    if customer.is_none() && table.has_customers() && !route.is_public {
        return Err(refusal(401, None, "the API key is missing or unknown"));
    }
    let hash = shared_hash(facts.id.as_deref().unwrap_or_else(|| request.head.path()));
    let Some(pool) = route.pool(hash) else {
        return Err(refusal(503, Some(DEFAULT_RETRY_AFTER), "the route has no upstreams"));
    };
    Ok(RequestContext {
        customer: customer.map(|it| it.id.clone()),
        tier: table.tier(route, customer),
        config_version: table.version(),
        pool: pool.clone(),
        route: route.clone(),
    })
}

fn refusal(status: u16, retry_after: Option<Duration>, message: impl Into<Box<str>>) -> Refusal {
    Refusal { status, retry_after, message: message.into() }
}
