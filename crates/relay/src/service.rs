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

use crate::caller::Caller;
use crate::caller::CallerRequest;
use crate::caller::ReadError;
use crate::dialect::CallFacts;
use crate::dialect::Refusal;
use crate::dispatch::Directive;
use crate::dispatch::Mailbox;
use crate::dispatch::Ticket;
use crate::exchange::AttemptOutcome;
use crate::exchange::Delivery;
use crate::exchange::Exchange;
use crate::exchange::WholeAnswer;
use crate::record::log_ending;
use crate::record::millis;
use crate::socket::Connection;
use crate::socket::Waits;
use crate::socket::wait;
use crate::state::Relay;

/// When a caller may try again that came before there was a configuration.
const RETRY_AFTER_START: Duration = Duration::from_millis(500);

/// Serves one caller's connection until it is closed.
pub(crate) fn serve(relay: &Arc<Relay>, stream: TcpStream) {
    let Ok(connection) = Connection::accepted(stream) else { return };
    // Without a mailbox there are no more files to be had, and nothing can be served.
    let Ok(mailbox) = Mailbox::new() else { return };
    let mut service =
        Service { relay, mailbox: Arc::new(mailbox), caller: Caller::new(connection) };
    if relay.connections() > relay.settings.max_connections {
        service.refuse(&refusal(503, Some(RETRY_AFTER_START), "too many connections"));
        return;
    }
    while service.serve_one() {}
}

struct Service<'a> {
    relay: &'a Arc<Relay>,
    mailbox: Arc<Mailbox>,
    caller: Caller,
}

/// Who asks for what.
pub(crate) struct Access {
    pub(crate) route: Arc<RouteRule>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) tier: Tier,
    pub(crate) config_version: ConfigVersion,
    pool: PoolId,
}

/// What a call ends with.
pub(crate) enum Ending {
    /// An upstream's answer.
    Answer(WholeAnswer),
    /// An answer of the relay's own.
    Refusal(Refusal),
    /// The caller has the whole stream.
    Delivered,
    /// The caller has a part of a stream, and its connection is closed to show that.
    Partial,
    /// The caller is gone.
    CallerGone,
}

impl Ending {
    /// Name in logs and metrics.
    pub(crate) const fn outcome(&self) -> &'static str {
        match self {
            Self::Answer(answer) if answer.head.status >= 500 => "upstream_failed",
            Self::Answer(_) | Self::Delivered => "completed",
            Self::Refusal(refusal) if refusal.status == 502 || refusal.status == 504 => "unknown",
            Self::Refusal(_) => "not_run",
            Self::Partial => "partial",
            Self::CallerGone => "caller_gone",
        }
    }

    /// Status that the caller was sent; none when no answer was begun.
    pub(crate) const fn status(&self) -> Option<u16> {
        match self {
            Self::Answer(answer) => Some(answer.head.status),
            Self::Refusal(refusal) => Some(refusal.status),
            Self::Delivered | Self::Partial => Some(200),
            Self::CallerGone => None,
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

impl Service<'_> {
    /// Serves one request; false when the connection must be closed.
    fn serve_one(&mut self) -> bool {
        let limits = self.limits();
        if self.caller.wait_for_request(limits.idle_time, &self.relay.closing).is_err() {
            return false;
        }
        let _busy = self.relay.count_busy();
        let request = match self.caller.read(&limits) {
            Ok(request) => request,
            Err(ReadError::Gone) => return false,
            Err(ReadError::Refused(refusal)) => {
                self.refuse(&refusal);
                return false;
            }
        };
        if self.relay.is_draining() {
            self.caller.keeps_alive = false;
        }
        let ending = match self.prepare(&request) {
            Ok((facts, access)) => self.call(&request, facts, &access),
            Err(refusal) => {
                self.log_refusal(&request, &refusal);
                Ending::Refusal(refusal)
            }
        };
        self.finish(&ending)
    }

    fn limits(&self) -> CallerLimits {
        self.relay.table().map(|it| it.limits().clone()).unwrap_or_default()
    }

    /// Answers a request that could not be read, and lets the caller receive that.
    fn refuse(&mut self, refusal: &Refusal) {
        self.caller.keeps_alive = false;
        if self.caller.send_refusal(refusal).is_ok() {
            self.caller.linger();
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
    fn prepare(&self, request: &CallerRequest) -> Result<(CallFacts, Access), Refusal> {
        let Some(table) = self.relay.table() else {
            return Err(refusal(503, Some(RETRY_AFTER_START), "no configuration is known yet"));
        };
        let facts = self.relay.dialect.read_call(&request.head)?;
        let access = access(&table, request, &facts)?;
        Ok((facts, access))
    }

    /// Exchanges a call and logs how it ended.
    fn call(&mut self, request: &CallerRequest, facts: CallFacts, access: &Access) -> Ending {
        let mut progress = Progress {
            delivery: Delivery {
                last_event: facts.last_event.filter(|_| access.route.kind.is_repeatable()),
                ..Delivery::default()
            },
            input_tokens: facts.prompt.as_ref().map_or(0, |it| it.input_tokens),
            caller_id: facts.id,
            ..Progress::default()
        };
        let call = scheduler_call(request, facts.time_limit, facts.prompt, access);
        let ending = self.exchange(request, access, call, &mut progress);
        log_ending(&self.relay.log, &self.relay.call_lines, request, access, &progress, &ending);
        ending
    }

    /// Waits for the scheduler and exchanges the call until it has an ending.
    fn exchange(
        &mut self,
        request: &CallerRequest,
        access: &Access,
        call: Call,
        progress: &mut Progress,
    ) -> Ending {
        let deadline = call.deadline;
        let is_long = self.ask_homes(&call);
        let mut ticket = self.relay.dispatcher.admit(call, &self.mailbox);
        let caller_id = progress.caller_id.clone();
        let exchange = Exchange {
            relay: self.relay,
            head: &request.head,
            body: &request.body,
            caller_id: caller_id.as_deref(),
            customer: access.customer.as_deref(),
            tier: access.tier,
            is_stream: access.route.kind.is_stream(),
            deadline,
            is_long,
        };
        loop {
            let ending = match self.next_directive(&ticket, deadline) {
                Ok(Directive::Send(command)) => {
                    self.attempt(&exchange, command, &mut ticket, progress)
                }
                Ok(Directive::Conclude(conclusion)) => Some(progress.conclude(&conclusion)),
                Err(Interruption::CallerGone) => Some(Ending::CallerGone),
                Err(Interruption::TimeOver) => Some(progress.time_over()),
            };
            if let Some(ending) = ending {
                return ending;
            }
        }
    }

    /// Learns what the other VMs have in flight where the call is likely to go; false when the
    /// call is too small to matter to them.
    fn ask_homes(&self, call: &Call) -> bool {
        let Some(peers) = self.relay.peers() else { return false };
        let upstreams = self.relay.dispatcher.worth_asking(call);
        if upstreams.is_empty() {
            return false;
        }
        let loads = peers.ask(&upstreams);
        if !loads.is_empty() {
            self.relay.dispatcher.handle(SchedulerEvent::HomeTold(loads));
        }
        true
    }

    /// Waits for what to do next.
    fn next_directive(
        &self,
        ticket: &Ticket,
        deadline: Instant,
    ) -> Result<Directive, Interruption> {
        loop {
            if let Some(directive) = self.mailbox.take(ticket.id()) {
                return Ok(directive);
            }
            let waits = Waits {
                caller: Some(&self.caller.connection),
                waker: Some(self.mailbox.waker()),
                ..Waits::default()
            };
            let ready = wait(waits, deadline).map_err(|_| Interruption::CallerGone)?;
            if ready.caller_gone {
                return Err(Interruption::CallerGone);
            }
            if ready.timed_out {
                return Err(Interruption::TimeOver);
            }
        }
    }

    /// Carries out an attempt; none when the scheduler is to decide what comes next.
    fn attempt(
        &mut self,
        exchange: &Exchange<'_>,
        command: SendCommand,
        ticket: &mut Ticket,
        progress: &mut Progress,
    ) -> Option<Ending> {
        progress.attempts += 1;
        progress.sent_at.get_or_insert_with(Instant::now);
        exchange.report(&command);
        let outcome = exchange.attempt(&command, ticket, &mut self.caller, &mut progress.delivery);
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
        progress.note_attempt(command, &outcome);
        let end = outcome.end();
        let ending = match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::NotRun { .. } => None,
            AttemptOutcome::Whole(answer) if end == SendEnd::Failed => {
                progress.failure = Some(answer);
                None
            }
            AttemptOutcome::Whole(answer) => Some(Ending::Answer(answer)),
            AttemptOutcome::Delivered => Some(Ending::Delivered),
            AttemptOutcome::Broken => {
                progress.may_have_run = true;
                None
            }
            AttemptOutcome::CallerGone => Some(Ending::CallerGone),
            AttemptOutcome::TimeOver => {
                progress.may_have_run = true;
                Some(progress.time_over())
            }
        };
        ticket.ended(attempt, end);
        ending
    }

    /// Gives the caller its final answer; false when the connection must be closed.
    fn finish(&mut self, ending: &Ending) -> bool {
        let sent = match ending {
            Ending::Answer(answer) => self.caller.send_whole(answer).is_ok(),
            Ending::Refusal(refusal) => self.caller.send_refusal(refusal).is_ok(),
            Ending::Delivered => true,
            Ending::Partial | Ending::CallerGone => false,
        };
        sent && self.caller.keeps_alive
    }
}

/// Why a call waits no longer.
enum Interruption {
    CallerGone,
    TimeOver,
}

/// What has become of a call so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pub(crate) delivery: Delivery,
    pub(crate) attempts: u32,
    /// The last attempt.
    pub(crate) command: Option<SendCommand>,
    /// When the first attempt was sent.
    pub(crate) sent_at: Option<Instant>,
    /// Upstreams of the attempts that failed, with what failed.
    pub(crate) failures: String,
    /// Identifier that the caller chose.
    pub(crate) caller_id: Option<Box<str>>,
    /// Tokens of the prompt.
    pub(crate) input_tokens: u32,
    /// Whether an upstream may have begun to run it.
    may_have_run: bool,
    /// The last answer of an upstream that failed.
    failure: Option<WholeAnswer>,
}

impl Progress {
    /// Notes an attempt that ended.
    fn note_attempt(&mut self, command: SendCommand, outcome: &AttemptOutcome) {
        if let Some(failure) = outcome.failure() {
            if !self.failures.is_empty() {
                self.failures.push(' ');
            }
            self.failures.push_str(&command.upstream.id);
            self.failures.push(':');
            self.failures.push_str(failure);
        }
        self.command = Some(command);
    }

    /// The ending when no further attempt is made.
    fn conclude(&mut self, conclusion: &Conclusion) -> Ending {
        if self.delivery.is_started {
            return Ending::Partial;
        }
        if let Some(answer) = self.failure.take() {
            return Ending::Answer(answer);
        }
        let reason = conclusion.reason.name();
        if self.may_have_run {
            let message = format!("no whole answer came back, and it may have been run: {reason}");
            return Ending::Refusal(refusal(502, None, message));
        }
        let message = format!("not run: {reason}");
        Ending::Refusal(refusal(503, Some(conclusion.retry_after), message))
    }

    /// The ending when the time for the call is over.
    fn time_over(&mut self) -> Ending {
        if self.delivery.is_started {
            return Ending::Partial;
        }
        if self.may_have_run || self.failure.is_some() {
            let message = "no whole answer came back in time, and it may have been run";
            return Ending::Refusal(refusal(504, None, message));
        }
        Ending::Refusal(refusal(503, Some(RETRY_AFTER_START), "not run: no room in time"))
    }
}

fn scheduler_call(
    request: &CallerRequest,
    time_limit: Option<Duration>,
    prompt: Option<Prompt>,
    access: &Access,
) -> Call {
    let route = access.route.clone();
    let time_limit = time_limit.map_or(route.time_limit, |it| it.min(route.time_limit));
    Call {
        id: 0,
        pool: access.pool.clone(),
        customer: access.customer.clone(),
        tier: access.tier,
        arrived_at: request.arrived_at,
        deadline: request.arrived_at + time_limit,
        prompt,
        body_bytes: request.body.len(),
        route,
    }
}

/// Finds the route and the customer of a request.
fn access(
    table: &RoutingTable,
    request: &CallerRequest,
    facts: &CallFacts,
) -> Result<Access, Refusal> {
    let host = request.head.header("host").unwrap_or_default();
    let Some(route) = table.route(host, request.head.path()) else {
        return Err(refusal(404, None, "no route matches the host and path"));
    };
    let key = facts.api_key.as_deref();
    let customer = key.and_then(|it| table.customer(it));
    if customer.is_none() && table.has_customers() && !route.is_public {
        return Err(refusal(401, None, "the API key is missing or unknown"));
    }
    let draw = shared_hash(facts.id.as_deref().unwrap_or_else(|| request.head.path()));
    let Some(pool) = route.pool(draw) else {
        return Err(refusal(503, Some(RETRY_AFTER_START), "the route has no upstreams"));
    };
    Ok(Access {
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
