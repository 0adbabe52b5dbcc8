//! Calls to plain (non-model) services.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::upstream;
use cranberryvalve_adapters::upstream::ATTEMPT_HEADER;
use cranberryvalve_adapters::upstream::CallError;
use cranberryvalve_adapters::upstream::Timeouts;
use cranberryvalve_adapters::upstream::UpstreamResponse;
use cranberryvalve_coordination::ledger::ClaimStep;
use cranberryvalve_coordination::ledger::RecordedResponse;
use cranberryvalve_coordination::ledger::SendPermit;
use cranberryvalve_coordination::ledger::SentCall;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::Digest;
use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::UpstreamSpec;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::SendCommand;

use super::access;
use super::claims;
use super::problem::Problem;
use crate::dispatcher::Directive;
use crate::dispatcher::NewRequest;
use crate::dispatcher::RequestHandle;
use crate::node::Node;
use crate::request_log::IDEMPOTENCY_HEADER;
use crate::request_log::caller_id;
use crate::request_metrics::RequestMetrics;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Retry delay for requests rejected because the store is unavailable, in milliseconds.
const RETRY_AFTER_STORE_MS: u64 = 2_000;

/// Handles a call to a plain service.
///
/// A refusal is a statement about the idempotency key only if the key was claimed, since its row shows
/// that no earlier request with it was run.
pub(super) fn serve(
    node: &Arc<Node>,
    request: &CallerRequest,
    stream: &TcpStream,
    responder: &mut Responder<'_>,
) -> Result<(), Problem> {
    let mut is_claimed = false;
    let result = serve_call(node, request, stream, responder, &mut is_claimed);
    let has_key = request.head.header(IDEMPOTENCY_HEADER).is_some();
    result.map_err(|it| if has_key && !is_claimed { it.for_this_request_only() } else { it })
}

fn serve_call(
    node: &Arc<Node>,
    request: &CallerRequest,
    stream: &TcpStream,
    responder: &mut Responder<'_>,
    is_claimed: &mut bool,
) -> Result<(), Problem> {
    access::check_freshness(node)?;
    let config = node.dispatcher.config();
    let Some(route) = config.route(request.head.path()) else {
        let message = format!("no route for `{}`", request.head.path());
        return Err(Problem::invalid(404, message));
    };
    let customer = access::customer(&config, &request.head)?;
    let class = access::allowed_class(&config, customer, &route.class)?;
    access::check_stop(node, class)?;
    let is_safe = matches!(&*request.head.method, "GET" | "HEAD");
    let repeatable = is_safe || route.idempotent;
    let key = if repeatable { None } else { Some(idempotency_key(request)?) };
    let _limit_guard = access::acquire_limit_slot(node, customer)?;
    let handle = node.dispatcher.admit(NewRequest {
        class: class.id.clone(),
        customer: customer.id.clone(),
        pool: route.pool.clone(),
        repeatable,
        prefix_hash: None,
    });
    let _disconnect_guard = node.disconnect_monitor.watch(stream, handle.disconnect_handler());
    let name =
        caller_id(&request.head).map_or_else(|| node.unique_id(handle.id()).into(), Into::into);
    let mut call = PlainCall {
        node,
        request,
        customer: customer.id.clone(),
        class,
        key,
        metrics: RequestMetrics::start(node, class, name),
        permit: None,
        is_claimed,
    };
    call.run(&handle, responder)
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

/// A call to a plain service across all its attempts.
struct PlainCall<'a> {
    node: &'a Arc<Node>,
    request: &'a CallerRequest,
    customer: CustomerId,
    class: &'a ServiceClass,
    /// Idempotency key; `None` if the call is repeatable.
    key: Option<Arc<str>>,
    metrics: RequestMetrics<'a>,
    /// Permit to send a non-repeatable call; `None` before the claim is granted and once the
    /// call has been sent.
    permit: Option<SendPermit>,
    /// Whether the claim was granted.
    is_claimed: &'a mut bool,
}

impl PlainCall<'_> {
    fn run(
        &mut self,
        handle: &RequestHandle,
        responder: &mut Responder<'_>,
    ) -> Result<(), Problem> {
        let result = self.run_attempts(handle, responder);
        if let Some(permit) = self.permit.take() {
            claims::queue_release(self.node, permit.release());
        }
        result
    }

    fn run_attempts(
        &mut self,
        handle: &RequestHandle,
        responder: &mut Responder<'_>,
    ) -> Result<(), Problem> {
        loop {
            match handle.next_directive() {
                Directive::Conclude(conclusion) => return Err(self.problem_for(conclusion.outcome)),
                Directive::CallerDisconnected => {
                    self.metrics.record_disconnect();
                    responder.close();
                    return Ok(());
                }
                Directive::Send(order, _) if handle.is_ended() => {
                    handle.report_end(order.attempt, AttemptEnd::NotSent);
                }
                Directive::Send(order, upstream) => {
                    self.metrics.record_sent(order.attempt);
                    if !self.claim(handle, &order, responder)? {
                        return Ok(());
                    }
                    if let Some(response) = self.attempt(handle, &order, &upstream) {
                        self.send_response(&response, &[], responder);
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Claims a non-repeatable call before it is sent.
    ///
    /// Returns `false` if the recorded response of an earlier call was sent instead.
    fn claim(
        &mut self,
        handle: &RequestHandle,
        order: &SendCommand,
        responder: &mut Responder<'_>,
    ) -> Result<bool, Problem> {
        let Some(key) = self.key.clone().filter(|_| self.permit.is_none()) else {
            return Ok(true);
        };
        let step = claims::acquire(self.node, &self.customer, &key, self.request_digest());
        if let ClaimStep::Granted(permit) = step {
            self.permit = Some(permit);
            *self.is_claimed = true;
            return Ok(true);
        }
        handle.report_end(order.attempt, AttemptEnd::Abandoned);
        match step {
            ClaimStep::Replay(recorded) => {
                let response = UpstreamResponse {
                    status: recorded.status,
                    content_type: recorded.content_type,
                    body: recorded.body.as_bytes().to_vec(),
                };
                self.send_response(&response, &[("x-replayed", "true")], responder);
                Ok(false)
            }
            ClaimStep::KeyReused => {
                let message = "the key was used for a different request".to_owned();
                Err(Problem::invalid(422, message))
            }
            ClaimStep::GivenUp(release) => {
                claims::queue_release(self.node, release);
                let reason = NotRunReason::StoreUnavailable;
                let retry_after_ms = RETRY_AFTER_STORE_MS;
                Err(self.problem_for(Outcome::NotRun { reason, retry_after_ms }))
            }
            _ => Err(self.problem_for(Outcome::Unknown)),
        }
    }

    /// Runs one attempt and reports its end to the router.
    ///
    /// Returns `None` if there is no complete response.
    fn attempt(
        &mut self,
        handle: &RequestHandle,
        order: &SendCommand,
        upstream: &UpstreamSpec,
    ) -> Option<UpstreamResponse> {
        self.metrics.record_attempt(&upstream.id);
        let sent = self.permit.take().map(SendPermit::send);
        let _live_call = sent.as_ref().map(|it| self.node.live_calls.register(it));
        // A non-repeatable call is finished even if its caller disconnects, so that the response
        // is available when the caller retries.
        let cancel =
            if sent.is_some() { handle.start_kept_attempt() } else { handle.start_attempt() };
        let result = self.build_request(order).and_then(|request| {
            upstream::call(upstream.address, request, self.timeouts(), &cancel)
        });
        let end = match &result {
            Ok(_) | Err(CallError::Declined(_)) => AttemptEnd::Complete { token_interval: None },
            Err(CallError::NotSent) => AttemptEnd::NotSent,
            Err(CallError::Refused { leaving }) => AttemptEnd::Refused { leaving: *leaving },
            Err(CallError::TimedOut) => AttemptEnd::TimedOut,
            Err(CallError::Broken) => AttemptEnd::Interrupted { tokens: 0 },
        };
        match &result {
            Err(CallError::NotSent | CallError::Refused { .. }) => {
                self.permit = sent.map(SentCall::refused);
            }
            Ok(response) => {
                if let Some(sent) = &sent {
                    self.record(sent, response);
                }
            }
            Err(_) => {}
        }
        if end == (AttemptEnd::Refused { leaving: true }) {
            self.node.on_upstream_report(&upstream.id, true);
        }
        handle.report_end(order.attempt, end);
        match result {
            Ok(response) | Err(CallError::Declined(response)) => Some(response),
            Err(_) => None,
        }
    }

    fn record(&self, sent: &SentCall, response: &UpstreamResponse) {
        let recorded = RecordedResponse {
            status: response.status,
            content_type: response.content_type.clone(),
            body: String::from_utf8_lossy(&response.body).into(),
        };
        if !claims::record(self.node, sent, recorded) {
            metrics::counter!("cranberryvalve_answers_not_recorded_total").increment(1);
        }
    }

    fn build_request(
        &self,
        order: &SendCommand,
    ) -> Result<ureq::http::Request<Vec<u8>>, CallError> {
        let mut builder = ureq::http::Request::builder()
            .method(&*self.request.head.method)
            .uri(&*self.request.head.target)
            .header(ATTEMPT_HEADER, &*self.node.attempt_id(order))
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
        let idle_timeout = Duration::from_millis(self.class.silence_limit_ms);
        Timeouts::new(first_byte, idle_timeout)
    }

    fn send_response(
        &mut self,
        response: &UpstreamResponse,
        extra_headers: &[(&str, &str)],
        responder: &mut Responder<'_>,
    ) {
        self.metrics.record_delivered(1);
        self.metrics.record_outcome(&Outcome::Completed);
        let mut headers =
            vec![("content-type", &*response.content_type), ("x-outcome", "completed")];
        headers.extend_from_slice(extra_headers);
        // An error means that the caller has disconnected; the response of a non-repeatable call is
        // recorded for a retry.
        let _ = responder.respond(response.status, &headers, &response.body);
    }

    fn problem_for(&self, outcome: Outcome) -> Problem {
        self.metrics.record_outcome(&outcome);
        Problem::outcome(outcome).logged()
    }

    fn request_digest(&self) -> Digest {
        let head = format!("{} {}\n", self.request.head.method, self.request.head.target);
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.request.body);
        Digest::of(&bytes)
    }
}
