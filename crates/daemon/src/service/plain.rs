//! Calls to plain services.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::upstream;
use cranberryvalve_adapters::upstream::ATTEMPT_HEADER;
use cranberryvalve_adapters::upstream::CallError;
use cranberryvalve_adapters::upstream::CancelHandle;
use cranberryvalve_adapters::upstream::Timeouts;
use cranberryvalve_adapters::upstream::UpstreamAnswer;
use cranberryvalve_coordination::ledger::ClaimStep;
use cranberryvalve_coordination::ledger::RecordedAnswer;
use cranberryvalve_coordination::ledger::SendPermit;
use cranberryvalve_coordination::ledger::SentCall;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::Digest;
use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::UpstreamSpec;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::SendOrder;

use super::access;
use super::claims;
use super::problem::Problem;
use crate::dispatcher::Ask;
use crate::dispatcher::Directive;
use crate::dispatcher::Ticket;
use crate::measures::RequestMeasure;
use crate::node::Node;

/// Header that names a call that may not be repeated.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest idempotency key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Time after which a caller may try again when the store is down, in milliseconds.
const RETRY_AFTER_STORE_MS: u64 = 2_000;

/// Serves a call to a plain service.
pub(super) fn serve(
    node: &Arc<Node>,
    request: &CallerRequest,
    stream: &TcpStream,
    responder: &mut Responder<'_>,
) -> Result<(), Problem> {
    access::check_freshness(node)?;
    let config = node.dispatcher.config();
    let Some(route) = config.route(request.head.path()) else {
        let message = format!("no route for `{}`", request.head.path());
        return Err(Problem::invalid(404, message));
    };
    let customer = access::customer(&config, &request.head)?;
    let class = access::allowed_class(&config, customer, &route.class)?;
    let is_safe = matches!(&*request.head.method, "GET" | "HEAD");
    let repeatable = is_safe || route.idempotent;
    let key = if repeatable { None } else { Some(idempotency_key(request)?) };
    let _place = access::take_place(node, customer)?;
    let ticket = node.dispatcher.admit(Ask {
        class: class.id.clone(),
        customer: customer.id.clone(),
        pool: route.pool.clone(),
        repeatable,
        prefix_hash: None,
    });
    let _watched = node.presence.watch(stream, ticket.on_caller_gone());
    let mut call = PlainCall {
        node,
        request,
        customer: customer.id.clone(),
        class,
        key,
        measure: RequestMeasure::start(class),
        permit: None,
    };
    call.run(&ticket, responder)
}

fn idempotency_key(request: &CallerRequest) -> Result<Arc<str>, Problem> {
    let Some(key) = request.head.header(IDEMPOTENCY_HEADER).filter(|it| !it.is_empty()) else {
        let message = "this call may not be repeated; name it by an `Idempotency-Key` header, \
                       and use the same key when you ask again";
        return Err(Problem::field(IDEMPOTENCY_HEADER, message.to_owned()));
    };
    if key.len() > MAX_KEY_BYTES {
        let message = format!("at most {MAX_KEY_BYTES} bytes are accepted");
        return Err(Problem::field(IDEMPOTENCY_HEADER, message));
    }
    Ok(key.into())
}

/// One call to a plain service, over all its attempts.
struct PlainCall<'a> {
    node: &'a Arc<Node>,
    request: &'a CallerRequest,
    customer: CustomerId,
    class: &'a ServiceClass,
    /// Idempotency key; none when the call may be repeated.
    key: Option<Arc<str>>,
    measure: RequestMeasure,
    /// The right to run a call that may not be repeated.
    permit: Option<SendPermit>,
}

impl PlainCall<'_> {
    fn run(&mut self, ticket: &Ticket, responder: &mut Responder<'_>) -> Result<(), Problem> {
        let result = self.attempts(ticket, responder);
        if let Some(permit) = self.permit.take() {
            claims::release(self.node, permit.release());
        }
        result
    }

    fn attempts(&mut self, ticket: &Ticket, responder: &mut Responder<'_>) -> Result<(), Problem> {
        loop {
            match ticket.next() {
                Directive::GiveUp(give_up) => return Err(self.problem(give_up.outcome)),
                Directive::CallerGone => {
                    responder.close();
                    return Ok(());
                }
                Directive::Send(order, upstream) => {
                    self.measure.sent(order.attempt);
                    if !self.claim(ticket, &order, responder)? {
                        return Ok(());
                    }
                    if let Some(answer) = self.attempt(ticket, &order, &upstream) {
                        self.send_answer(&answer, &[], responder);
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Makes sure that the call may be run; false when it was answered from the record.
    fn claim(
        &mut self,
        ticket: &Ticket,
        order: &SendOrder,
        responder: &mut Responder<'_>,
    ) -> Result<bool, Problem> {
        let Some(key) = self.key.clone().filter(|_| self.permit.is_none()) else {
            return Ok(true);
        };
        let step = claims::claim(self.node, &self.customer, &key, self.digest());
        if let ClaimStep::Granted(permit) = step {
            self.permit = Some(permit);
            return Ok(true);
        }
        ticket.ended(order.attempt, AttemptEnd::Abandoned);
        match step {
            ClaimStep::Replay(recorded) => {
                let answer = UpstreamAnswer {
                    status: recorded.status,
                    content_type: recorded.content_type,
                    body: recorded.body.as_bytes().to_vec(),
                };
                self.send_answer(&answer, &[("x-replayed", "true")], responder);
                Ok(false)
            }
            ClaimStep::KeyReused => {
                let message = "the key was used for a different request".to_owned();
                Err(Problem::invalid(422, message))
            }
            ClaimStep::GivenUp(release) => {
                claims::release(self.node, release);
                let reason = NotRunReason::StoreUnavailable;
                let retry_after_ms = RETRY_AFTER_STORE_MS;
                Err(self.problem(Outcome::NotRun { reason, retry_after_ms }))
            }
            _ => Err(self.problem(Outcome::Unknown)),
        }
    }

    /// Runs one attempt and tells the router how it ended; none when there is no whole answer.
    fn attempt(
        &mut self,
        ticket: &Ticket,
        order: &SendOrder,
        upstream: &UpstreamSpec,
    ) -> Option<UpstreamAnswer> {
        let sent = self.permit.take().map(SendPermit::send);
        // A call that may not be repeated is finished even when its caller leaves, so that its
        // answer is there when the caller asks again.
        let cancel = if sent.is_some() { CancelHandle::new() } else { ticket.start_attempt() };
        let result = self.build(order).and_then(|request| {
            upstream::call(upstream.address, request, self.timeouts(), &cancel)
        });
        let end = match &result {
            Ok(_) | Err(CallError::Declined(_)) => AttemptEnd::Complete { token_interval: None },
            Err(CallError::NotSent) => AttemptEnd::NotSent,
            Err(CallError::Refused { leaving }) => AttemptEnd::Refused { leaving: *leaving },
            Err(CallError::Stalled) => AttemptEnd::Stalled,
            Err(CallError::Broken) => AttemptEnd::Broken { tokens: 0 },
        };
        match &result {
            Err(CallError::NotSent | CallError::Refused { .. }) => {
                self.permit = sent.map(SentCall::refused);
            }
            Ok(answer) => {
                if let Some(sent) = &sent {
                    self.record(sent, answer);
                }
            }
            Err(_) => {}
        }
        if end == (AttemptEnd::Refused { leaving: true }) {
            self.node.hear_upstream(&upstream.id, true);
        }
        ticket.ended(order.attempt, end);
        match result {
            Ok(answer) | Err(CallError::Declined(answer)) => Some(answer),
            Err(_) => None,
        }
    }

    fn record(&self, sent: &SentCall, answer: &UpstreamAnswer) {
        let recorded = RecordedAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: String::from_utf8_lossy(&answer.body).into(),
        };
        if !claims::record(self.node, sent, recorded) {
            metrics::counter!("cranberryvalve_answers_not_recorded_total").increment(1);
        }
    }

    fn build(&self, order: &SendOrder) -> Result<ureq::http::Request<Vec<u8>>, CallError> {
        let attempt_id = format!("{}-{}-{}", self.node.settings.vm, order.id, order.attempt);
        let mut builder = ureq::http::Request::builder()
            .method(&*self.request.head.method)
            .uri(&*self.request.head.target)
            .header(ATTEMPT_HEADER, attempt_id)
            .header("x-customer", &*self.customer)
            .header("x-priority", order.priority.to_string());
        for name in ["content-type", "accept", IDEMPOTENCY_HEADER] {
            if let Some(value) = self.request.head.header(name) {
                builder = builder.header(name, value);
            }
        }
        builder.body(self.request.body.clone()).map_err(|_| CallError::NotSent)
    }

    fn timeouts(&self) -> Timeouts {
        let first_byte = Duration::from_millis(self.class.answer_limit_ms);
        let silence = Duration::from_millis(self.class.silence_limit_ms);
        Timeouts::new(first_byte, silence)
    }

    fn send_answer(
        &mut self,
        answer: &UpstreamAnswer,
        extra: &[(&str, &str)],
        responder: &mut Responder<'_>,
    ) {
        self.measure.delivered(1);
        self.measure.ended(&Outcome::Completed);
        let mut headers = vec![("content-type", &*answer.content_type), ("x-outcome", "completed")];
        headers.extend_from_slice(extra);
        // An error means that the caller is gone; the answer is recorded for when it asks again.
        let _ = responder.respond(answer.status, &headers, &answer.body);
    }

    fn problem(&self, outcome: Outcome) -> Problem {
        self.measure.ended(&outcome);
        Problem::outcome(outcome)
    }

    fn digest(&self) -> Digest {
        let head = format!("{} {}\n", self.request.head.method, self.request.head.target);
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.request.body);
        Digest::of(&bytes)
    }
}
