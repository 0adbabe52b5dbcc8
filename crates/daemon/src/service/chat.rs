//! Model requests (chat completions).

mod body;
mod pace;
mod response;

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::resume::ResumeClaims;
use cranberryvalve_adapters::upstream;
use cranberryvalve_adapters::upstream::CallError;
use cranberryvalve_adapters::upstream::EngineEvent;
use cranberryvalve_adapters::upstream::EngineRequest;
use cranberryvalve_adapters::upstream::EngineStream;
use cranberryvalve_adapters::upstream::Timeouts;
use cranberryvalve_adapters::upstream::UpstreamResponse;
use cranberryvalve_core::Config;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::Digest;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::UpstreamSpec;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::ChunkAction;
use cranberryvalve_policy::SendCommand;
use cranberryvalve_policy::TokenAssembler;

use self::body::ChatBody;
use self::pace::AttemptPace;
use self::response::ChatResponse;
use super::access;
use super::problem::Problem;
use crate::dispatcher::Directive;
use crate::dispatcher::NewRequest;
use crate::dispatcher::RequestHandle;
use crate::node::Node;
use crate::request_log::caller_id;
use crate::request_metrics::RequestMetrics;

/// Request header with the resume token of an earlier response.
const RESUME_HEADER: &str = "x-resume-token";

/// Request header with the position of the last token that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Handles a model request, new or resumed.
pub(super) fn serve(
    node: &Arc<Node>,
    request: &CallerRequest,
    stream: &TcpStream,
    responder: &mut Responder<'_>,
) -> Result<(), Problem> {
    access::check_freshness(node)?;
    let config = node.dispatcher.config();
    let customer = access::customer(&config, &request.head)?;
    let class = access::class(&config, customer, &request.head)?;
    access::check_stop(node, class)?;
    let body = ChatBody::parse(&request.body)?;
    check_model(&config, &body)?;
    let digest = Digest::of(&request.body);
    let position = resume_position(node, customer, &digest, request)?;
    let _limit_guard = access::acquire_limit_slot(node, customer)?;
    let handle = node.dispatcher.admit(NewRequest {
        class: class.id.clone(),
        customer: customer.id.clone(),
        pool: body.model.clone(),
        repeatable: true,
        prefix_hash: Some(body.prefix_hash),
    });
    let _disconnect_guard = node.disconnect_monitor.watch(stream, handle.disconnect_handler());
    let claims =
        ResumeClaims { customer: customer.id.clone(), request: digest, stream: handle.id() };
    let id: Arc<str> = format!("chatcmpl-{}", node.unique_id(handle.id())).into();
    let name = caller_id(&request.head).map_or_else(|| id.clone(), Into::into);
    let response = ChatResponse::new(&body, id, claims.sign(&node.key), position);
    let mut call = ChatCall {
        node,
        class,
        body,
        response,
        metrics: RequestMetrics::start(node, class, name),
        assembler: TokenAssembler::new(position),
    };
    call.run(&handle, responder)
}

fn check_model(config: &Config, body: &ChatBody) -> Result<(), Problem> {
    let models = config.models();
    if models.contains(&body.model) {
        return Ok(());
    }
    let message = format!("no model `{}`; known models: {}", body.model, models.join(", "));
    Err(Problem::field("model", message))
}

/// Returns the position to resume the response at, 0 for a new response.
fn resume_position(
    node: &Node,
    customer: &CustomerSpec,
    digest: &Digest,
    request: &CallerRequest,
) -> Result<u64, Problem> {
    let Some(token) = request.head.header(RESUME_HEADER) else { return Ok(0) };
    let claims = ResumeClaims::verify(token, &node.key);
    let is_valid = claims.is_some_and(|it| it.customer == customer.id && it.request == *digest);
    if !is_valid {
        let message = "the token does not belong to this customer and request body".to_owned();
        return Err(Problem::forbidden(RESUME_HEADER, message));
    }
    let position = request.head.header(LAST_EVENT_HEADER).unwrap_or("0");
    position.parse().map_err(|_| {
        let message = format!("`{position}` is no whole number; send the last event's id");
        Problem::field(LAST_EVENT_HEADER, message)
    })
}

/// A model request across all its attempts.
struct ChatCall<'a, 's> {
    node: &'a Arc<Node>,
    class: &'a ServiceClass,
    body: ChatBody,
    response: ChatResponse<'s>,
    metrics: RequestMetrics<'a>,
    assembler: TokenAssembler,
}

/// How the stream of an attempt ended.
enum StreamEnd {
    /// All tokens arrived.
    Complete,
    /// The stream ended early or lost tokens.
    Broken,
    /// The caller disconnected.
    Disconnected,
    /// The caller did not read the response in time.
    Unread,
}

/// Result of an attempt to call an upstream.
enum CallResult {
    /// The complete response was sent to the caller.
    Finished,
    /// The upstream rejected the request as invalid with this response, which is final.
    Declined(UpstreamResponse),
    /// The caller disconnected.
    Disconnected,
    /// The caller did not read the response in time.
    Unread,
    /// The attempt failed; the router decides on a retry.
    Failed,
}

impl<'s> ChatCall<'_, 's> {
    fn run(
        &mut self,
        handle: &RequestHandle,
        responder: &mut Responder<'s>,
    ) -> Result<(), Problem> {
        loop {
            match handle.next_directive() {
                Directive::Conclude(it) => return self.give_up(it.outcome, responder),
                Directive::CallerDisconnected => return self.on_disconnect(responder),
                Directive::Send(order, upstream) => {
                    self.metrics.record_sent(order.attempt);
                    match self.attempt(handle, &order, &upstream, responder) {
                        CallResult::Finished => {
                            self.metrics.record_outcome(&Outcome::Completed);
                            return Ok(());
                        }
                        CallResult::Declined(reply) => return self.forward(&reply, responder),
                        CallResult::Disconnected => return self.on_disconnect(responder),
                        CallResult::Unread => return self.on_unread(responder),
                        CallResult::Failed => {}
                    }
                }
            }
        }
    }

    fn attempt(
        &mut self,
        handle: &RequestHandle,
        order: &SendCommand,
        upstream: &UpstreamSpec,
        responder: &mut Responder<'s>,
    ) -> CallResult {
        let request = EngineRequest {
            body: self.body.fields.clone(),
            attempt_id: self.node.attempt_id(order),
            priority: order.priority,
            position: self.assembler.position(),
        };
        self.metrics.record_attempt(&upstream.id);
        let cancel = handle.start_attempt();
        self.assembler.start_attempt(request.attempt_id.clone());
        let start = self.assembler.position();
        let opened = upstream::open_stream(upstream.address, &request, self.timeouts(), &cancel);
        let (result, end) = match opened {
            Ok(stream) => self.relay_stream(handle, order, stream, responder, start),
            Err(CallError::Declined(response)) => {
                (CallResult::Declined(response), AttemptEnd::Abandoned)
            }
            Err(_) if handle.is_disconnected() => (CallResult::Disconnected, AttemptEnd::Abandoned),
            Err(CallError::NotSent) => (CallResult::Failed, AttemptEnd::NotSent),
            Err(CallError::Refused { leaving }) => {
                if leaving {
                    self.node.on_upstream_report(&upstream.id, true);
                }
                (CallResult::Failed, AttemptEnd::Refused { leaving })
            }
            Err(CallError::TimedOut) => (CallResult::Failed, AttemptEnd::TimedOut),
            Err(CallError::Broken) => (CallResult::Failed, AttemptEnd::Interrupted { tokens: 0 }),
        };
        handle.report_end(order.attempt, end);
        result
    }

    /// Reads the stream of an attempt and sends its tokens to the caller.
    fn relay_stream(
        &mut self,
        handle: &RequestHandle,
        order: &SendCommand,
        mut engine_stream: EngineStream,
        responder: &mut Responder<'s>,
        start_position: u64,
    ) -> (CallResult, AttemptEnd) {
        let mut decode_pace = AttemptPace::default();
        let stream_end = loop {
            let Ok(event) = engine_stream.next_event() else { break StreamEnd::Broken };
            let chunk = match event {
                EngineEvent::Chunk(chunk) => chunk,
                EngineEvent::Other => continue,
                EngineEvent::End => break StreamEnd::Broken,
            };
            let has_text = chunk.text.is_some();
            let (tokens, is_complete) = match self.assembler.accept(chunk) {
                ChunkAction::Deliver(tokens) => (tokens, false),
                ChunkAction::Complete(tokens) => (tokens, true),
                ChunkAction::Discard => {
                    self.metrics.record_wasted(u64::from(has_text));
                    continue;
                }
                ChunkAction::Lost => break StreamEnd::Broken,
            };
            decode_pace.record(tokens.len(), handle, order.attempt);
            if let Err(error) = self.deliver(&tokens, is_complete, responder) {
                // The error of a write that reached its time limit (`SO_SNDTIMEO`).
                let is_unread = error.kind() == io::ErrorKind::WouldBlock;
                break if is_unread { StreamEnd::Unread } else { StreamEnd::Disconnected };
            }
            if is_complete {
                break StreamEnd::Complete;
            }
        };
        let tokens = self.assembler.position() - start_position;
        match stream_end {
            StreamEnd::Complete => {
                let token_interval = decode_pace.token_interval();
                (CallResult::Finished, AttemptEnd::Complete { token_interval })
            }
            StreamEnd::Disconnected => (CallResult::Disconnected, AttemptEnd::Abandoned),
            StreamEnd::Unread => (CallResult::Unread, AttemptEnd::Abandoned),
            StreamEnd::Broken if handle.is_disconnected() => {
                (CallResult::Disconnected, AttemptEnd::Abandoned)
            }
            StreamEnd::Broken => (CallResult::Failed, AttemptEnd::Interrupted { tokens }),
        }
    }

    /// Sends tokens to the caller, and the end of the response if it is complete.
    fn deliver(
        &mut self,
        tokens: &[Arc<str>],
        is_complete: bool,
        responder: &mut Responder<'s>,
    ) -> io::Result<()> {
        if !tokens.is_empty() {
            self.metrics.record_delivered(tokens.len() as u64);
            self.response.push(tokens, responder)?;
        }
        if is_complete {
            self.response.finish(responder)?;
        }
        Ok(())
    }

    fn give_up(&mut self, outcome: Outcome, responder: &mut Responder<'s>) -> Result<(), Problem> {
        self.metrics.record_outcome(&outcome);
        let problem = Problem::outcome(outcome).logged();
        if responder.is_started() {
            self.response.fail(&problem.body());
            responder.close();
            return Ok(());
        }
        Err(problem)
    }

    /// Forwards the response of an upstream that rejected the request as invalid. A stream that has
    /// begun ends instead.
    fn forward(
        &mut self,
        response: &UpstreamResponse,
        responder: &mut Responder<'s>,
    ) -> Result<(), Problem> {
        if responder.is_started() {
            return self.give_up(Outcome::Partial, responder);
        }
        self.metrics.record_outcome(&Outcome::Completed);
        let headers = [("content-type", &*response.content_type), ("x-outcome", "completed")];
        // An error means that the caller has disconnected, so it is ignored.
        let _ = responder.respond(response.status, &headers, &response.body);
        Ok(())
    }

    fn on_disconnect(&self, responder: &mut Responder<'s>) -> Result<(), Problem> {
        self.metrics.record_disconnect();
        responder.close();
        Ok(())
    }

    /// Ends a response of which the caller has a part and does not read the rest.
    fn on_unread(&self, responder: &mut Responder<'s>) -> Result<(), Problem> {
        self.metrics.record_outcome(&Outcome::Partial);
        responder.close();
        Ok(())
    }

    fn timeouts(&self) -> Timeouts {
        let idle_timeout = Duration::from_millis(self.class.silence_limit_ms);
        let first_token = Duration::from_millis(self.class.first_token_target_ms);
        Timeouts::new(first_token + idle_timeout, idle_timeout)
    }
}
