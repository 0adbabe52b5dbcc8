//! Log lines of requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::UpstreamId;
use slog::info;

use crate::node::Node;

/// Request header with the caller's name for a request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Request header with the key that identifies a non-repeatable call.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Maximum length of a caller's name for a request, in bytes; longer ones are ignored.
const MAX_ID_BYTES: usize = 256;

/// Outcome in the line of a request whose caller disconnected.
const CALLER_GONE: &str = "caller_gone";

/// Returns the caller's name for a request: its identifier, or its idempotency key.
pub(crate) fn caller_id(head: &RequestHead) -> Option<&str> {
    let names = [REQUEST_ID_HEADER, IDEMPOTENCY_HEADER].into_iter();
    let mut names = names.filter_map(|it| head.header(it));
    names.find(|it| !it.is_empty() && it.len() <= MAX_ID_BYTES)
}

/// Logs a request that was refused before it was placed, at a limited rate: a customer above its limit
/// may send any number.
pub(crate) fn log_refusal(node: &Node, head: &RequestHead, status: u16, message: &str) {
    let Some(left_out) = node.refusal_log_limiter.acquire(Instant::now()) else { return };
    info!(node.log, "call refused";
        "left_out" => left_out,
        "path" => head.path(),
        "status" => status,
        "reason" => message,
        "request" => caller_id(head).unwrap_or("-"));
}

/// The line about a request, which is written when the request ends.
pub(crate) struct RequestLog<'a> {
    node: &'a Node,
    request: Arc<str>,
    class: String,
    arrived_at: Instant,
    attempts: u32,
    queue: Option<Duration>,
    upstream: Option<UpstreamId>,
}

impl<'a> RequestLog<'a> {
    pub(crate) fn start(node: &'a Node, class: &ServiceClass, request: Arc<str>) -> Self {
        Self {
            node,
            request,
            class: class.id.to_string(),
            arrived_at: Instant::now(),
            attempts: 0,
            queue: None,
            upstream: None,
        }
    }

    /// Records that an attempt is made at an upstream.
    pub(crate) fn record_attempt(&mut self, upstream: &UpstreamId) {
        self.attempts += 1;
        self.queue.get_or_insert_with(|| self.arrived_at.elapsed());
        self.upstream = Some(upstream.clone());
    }

    /// Logs the outcome. Requests that completed within the targets at their first attempt are
    /// rate-limited.
    pub(crate) fn log_outcome(&self, outcome: &Outcome, meets_targets: bool, events: u64) {
        let is_routine = *outcome == Outcome::Completed && meets_targets && self.attempts <= 1;
        let left_out = if is_routine {
            self.node.request_log_limiter.acquire(Instant::now())
        } else {
            Some(0)
        };
        let Some(left_out) = left_out else { return };
        let (reason, retry_after_ms) = match outcome {
            Outcome::NotRun { reason, retry_after_ms } => {
                (Some(reason.name()), Some(*retry_after_ms))
            }
            _ => (None, None),
        };
        info!(self.node.log, "call ended";
            "left_out" => left_out,
            "total_ms" => millis(self.arrived_at.elapsed()),
            "events" => events,
            "queue_ms" => self.queue.map(millis),
            "meets_targets" => meets_targets,
            "attempts" => self.attempts,
            "upstream" => self.upstream.as_deref().unwrap_or("-"),
            "retry_after_ms" => retry_after_ms,
            "class" => &*self.class,
            "reason" => reason,
            "outcome" => outcome.name(),
            "request" => &*self.request);
    }

    /// Logs that the caller disconnected before the response was complete.
    pub(crate) fn log_disconnect(&self, events: u64) {
        info!(self.node.log, "call ended";
            "total_ms" => millis(self.arrived_at.elapsed()),
            "events" => events,
            "queue_ms" => self.queue.map(millis),
            "attempts" => self.attempts,
            "upstream" => self.upstream.as_deref().unwrap_or("-"),
            "class" => &*self.class,
            "outcome" => CALLER_GONE,
            "request" => &*self.request);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
