//! Model requests.

mod answer;
mod body;
mod pace;

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::resume::ResumeClaims;
use cranberryvalve_adapters::upstream;
use cranberryvalve_adapters::upstream::CallError;
use cranberryvalve_adapters::upstream::CancelHandle;
use cranberryvalve_adapters::upstream::EngineEvent;
use cranberryvalve_adapters::upstream::EngineRequest;
use cranberryvalve_adapters::upstream::EngineStream;
use cranberryvalve_adapters::upstream::Timeouts;
use cranberryvalve_adapters::upstream::UpstreamAnswer;
use cranberryvalve_core::Config;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::Digest;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::UpstreamSpec;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::ChunkVerdict;
use cranberryvalve_policy::SendOrder;
use cranberryvalve_policy::TokenAssembler;

use self::answer::Answer;
use self::body::ChatBody;
use self::pace::AttemptPace;
use super::access;
use super::problem::Problem;
use crate::dispatcher::Ask;
use crate::dispatcher::Directive;
use crate::dispatcher::Ticket;
use crate::measures::RequestMeasure;
use crate::node::Node;

/// Header that carries a resume token.
const RESUME_HEADER: &str = "x-resume-token";

/// Header that carries the position of the last token that the caller has.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Serves a model request.
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
    let body = ChatBody::parse(&request.body)?;
    check_model(&config, &body)?;
    let digest = Digest::of(&request.body);
    let position = resume_position(node, customer, &digest, request)?;
    let _place = access::take_place(node, customer)?;
    let ticket = node.dispatcher.admit(Ask {
        class: class.id.clone(),
        customer: customer.id.clone(),
        pool: body.model.clone(),
        repeatable: true,
        prefix_hash: Some(body.prefix_hash),
    });
    let _watched = node.presence.watch(stream, ticket.on_caller_gone());
    let claims =
        ResumeClaims { customer: customer.id.clone(), request: digest, stream: ticket.id() };
    let id = format!("chatcmpl-{}-{}", node.settings.vm, ticket.id());
    let answer = Answer::new(&body, id.into(), claims.seal(&node.key), position);
    let mut call = ChatCall {
        node,
        class,
        body,
        answer,
        measure: RequestMeasure::start(class),
        assembler: TokenAssembler::new(position),
    };
    call.run(&ticket, responder)
}

fn check_model(config: &Config, body: &ChatBody) -> Result<(), Problem> {
    let models = config.models();
    if models.contains(&body.model) {
        return Ok(());
    }
    let message = format!("no model `{}`; known models: {}", body.model, models.join(", "));
    Err(Problem::field("model", message))
}

/// Position to continue at, 0 for a new answer.
fn resume_position(
    node: &Node,
    customer: &CustomerSpec,
    digest: &Digest,
    request: &CallerRequest,
) -> Result<u64, Problem> {
    let Some(token) = request.head.header(RESUME_HEADER) else { return Ok(0) };
    let claims = ResumeClaims::open(token, &node.key);
    let is_own = claims.is_some_and(|it| it.customer == customer.id && it.request == *digest);
    if !is_own {
        let message = "the token does not belong to this customer and request body".to_owned();
        return Err(Problem::forbidden(RESUME_HEADER, message));
    }
    let position = request.head.header(LAST_EVENT_HEADER).unwrap_or("0");
    position.parse().map_err(|_| {
        let message = format!("`{position}` is no whole number; send the last event's id");
        Problem::field(LAST_EVENT_HEADER, message)
    })
}

/// One model request, over all its attempts.
struct ChatCall<'a, 's> {
    node: &'a Arc<Node>,
    class: &'a ServiceClass,
    body: ChatBody,
    answer: Answer<'s>,
    measure: RequestMeasure,
    assembler: TokenAssembler,
}

/// How reading an attempt's stream ended.
enum Reading {
    Complete,
    Broken,
    CallerGone,
}

/// How an attempt ended.
enum Attempted {
    Finished,
    Declined(UpstreamAnswer),
    CallerGone,
    Failed,
}

impl<'s> ChatCall<'_, 's> {
    fn run(&mut self, ticket: &Ticket, responder: &mut Responder<'s>) -> Result<(), Problem> {
        loop {
            match ticket.next() {
                Directive::GiveUp(give_up) => return self.give_up(give_up.outcome, responder),
                Directive::CallerGone => return self.caller_gone(responder),
                Directive::Send(order, upstream) => {
                    self.measure.sent(order.attempt);
                    match self.attempt(ticket, &order, &upstream, responder) {
                        Attempted::Finished => {
                            self.measure.ended(&Outcome::Completed);
                            return Ok(());
                        }
                        Attempted::Declined(answer) => return self.decline(&answer, responder),
                        Attempted::CallerGone => return self.caller_gone(responder),
                        Attempted::Failed => {}
                    }
                }
            }
        }
    }

    fn attempt(
        &mut self,
        ticket: &Ticket,
        order: &SendOrder,
        upstream: &UpstreamSpec,
        responder: &mut Responder<'s>,
    ) -> Attempted {
        let request = EngineRequest {
            body: self.body.fields.clone(),
            attempt_id: self.attempt_id(order),
            priority: order.priority,
            position: self.assembler.position(),
        };
        let cancel = ticket.start_attempt();
        self.assembler.start_attempt(request.attempt_id.clone());
        let before = self.assembler.position();
        let opened = upstream::open_stream(upstream.address, &request, self.timeouts(), &cancel);
        let (attempted, end) = match opened {
            Ok(engine) => self.read(ticket, order, engine, &cancel, responder, before),
            Err(CallError::Declined(answer)) => {
                (Attempted::Declined(answer), AttemptEnd::Abandoned)
            }
            Err(_) if cancel.is_cancelled() => (Attempted::CallerGone, AttemptEnd::Abandoned),
            Err(CallError::NotSent) => (Attempted::Failed, AttemptEnd::NotSent),
            Err(CallError::Refused { leaving }) => {
                if leaving {
                    self.node.hear_upstream(&upstream.id, true);
                }
                (Attempted::Failed, AttemptEnd::Refused { leaving })
            }
            Err(CallError::Stalled) => (Attempted::Failed, AttemptEnd::Stalled),
            Err(CallError::Broken) => (Attempted::Failed, AttemptEnd::Broken { tokens: 0 }),
        };
        ticket.ended(order.attempt, end);
        attempted
    }

    fn read(
        &mut self,
        ticket: &Ticket,
        order: &SendOrder,
        mut engine: EngineStream,
        cancel: &CancelHandle,
        responder: &mut Responder<'s>,
        before: u64,
    ) -> (Attempted, AttemptEnd) {
        let mut pace = AttemptPace::default();
        let reading = loop {
            let Ok(event) = engine.next_event() else { break Reading::Broken };
            let chunk = match event {
                EngineEvent::Chunk(chunk) => chunk,
                EngineEvent::Other => continue,
                EngineEvent::End => break Reading::Broken,
            };
            let has_text = chunk.text.is_some();
            let (tokens, is_complete) = match self.assembler.accept(chunk) {
                ChunkVerdict::Deliver(tokens) => (tokens, false),
                ChunkVerdict::Complete(tokens) => (tokens, true),
                ChunkVerdict::Discard => {
                    self.measure.wasted(u64::from(has_text));
                    continue;
                }
                ChunkVerdict::Lost => break Reading::Broken,
            };
            pace.tell(tokens.len(), ticket, order.attempt);
            if self.deliver(&tokens, is_complete, responder).is_err() {
                break Reading::CallerGone;
            }
            if is_complete {
                break Reading::Complete;
            }
        };
        let tokens = self.assembler.position() - before;
        match reading {
            Reading::Complete => {
                let token_interval = pace.token_interval();
                (Attempted::Finished, AttemptEnd::Complete { token_interval })
            }
            Reading::CallerGone => (Attempted::CallerGone, AttemptEnd::Abandoned),
            Reading::Broken if cancel.is_cancelled() => {
                (Attempted::CallerGone, AttemptEnd::Abandoned)
            }
            Reading::Broken => (Attempted::Failed, AttemptEnd::Broken { tokens }),
        }
    }

    fn deliver(
        &mut self,
        tokens: &[Arc<str>],
        is_complete: bool,
        responder: &mut Responder<'s>,
    ) -> io::Result<()> {
        if !tokens.is_empty() {
            self.measure.delivered(tokens.len() as u64);
            self.answer.push(tokens, responder)?;
        }
        if is_complete {
            self.answer.finish(responder)?;
        }
        Ok(())
    }

    fn give_up(&mut self, outcome: Outcome, responder: &mut Responder<'s>) -> Result<(), Problem> {
        self.measure.ended(&outcome);
        let problem = Problem::outcome(outcome);
        if responder.is_answered() {
            self.answer.fail(&problem.body());
            responder.close();
            return Ok(());
        }
        Err(problem)
    }

    fn decline(
        &self,
        answer: &UpstreamAnswer,
        responder: &mut Responder<'s>,
    ) -> Result<(), Problem> {
        self.measure.ended(&Outcome::Completed);
        let headers = [("content-type", &*answer.content_type), ("x-outcome", "completed")];
        // An error means that the caller is gone, and there is nobody left to tell.
        let _ = responder.respond(answer.status, &headers, &answer.body);
        Ok(())
    }

    fn caller_gone(&self, responder: &mut Responder<'s>) -> Result<(), Problem> {
        metrics::counter!("cranberryvalve_callers_left_total",
            "class" => self.class.id.to_string())
        .increment(1);
        responder.close();
        Ok(())
    }

    fn attempt_id(&self, order: &SendOrder) -> Arc<str> {
        let vm = &self.node.settings.vm;
        let boot = self.node.started_unix_ms;
        format!("{vm}-{boot}-{}-{}", order.id, order.attempt).into()
    }

    fn timeouts(&self) -> Timeouts {
        let silence = Duration::from_millis(self.class.silence_limit_ms);
        let first_token = Duration::from_millis(self.class.first_token_target_ms);
        Timeouts::new(first_token + silence, silence)
    }
}
