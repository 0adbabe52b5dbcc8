//! Metrics of requests by service class.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Outcome;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::UpstreamId;

use crate::node::Node;
use crate::request_log::RequestLog;

/// Records the metrics of one request from its arrival to its outcome.
pub(crate) struct RequestMetrics<'a> {
    log: RequestLog<'a>,
    class: String,
    first_token_target: Duration,
    token_interval_target: Duration,
    arrived_at: Instant,
    first_token_at: Option<Instant>,
    tokens: u64,
}

impl<'a> RequestMetrics<'a> {
    /// Counts a new request, which lines call `request`, and starts to measure it.
    pub(crate) fn start(node: &'a Node, class: &ServiceClass, request: Arc<str>) -> Self {
        metrics::counter!("cranberryvalve_requests_total", "class" => class.id.to_string())
            .increment(1);
        Self {
            log: RequestLog::start(node, class, request),
            class: class.id.to_string(),
            first_token_target: Duration::from_millis(class.first_token_target_ms),
            token_interval_target: Duration::from_millis(class.token_interval_target_ms),
            arrived_at: Instant::now(),
            first_token_at: None,
            tokens: 0,
        }
    }

    /// Records that an attempt leaves the queue.
    pub(crate) fn record_sent(&self, attempt: u32) {
        if attempt == 1 {
            let wait = self.arrived_at.elapsed().as_secs_f64();
            metrics::histogram!("cranberryvalve_queue_wait_seconds", "class" => self.class.clone())
                .record(wait);
        } else {
            metrics::counter!("cranberryvalve_retries_total", "class" => self.class.clone())
                .increment(1);
        }
    }

    /// Records that an attempt is made at an upstream.
    pub(crate) fn record_attempt(&mut self, upstream: &UpstreamId) {
        self.log.record_attempt(upstream);
    }

    /// Records tokens delivered to the caller; the response of a plain service counts as one token.
    pub(crate) fn record_delivered(&mut self, tokens: u64) {
        self.tokens += tokens;
        if self.first_token_at.is_none() {
            self.first_token_at = Some(Instant::now());
            let wait = self.arrived_at.elapsed().as_secs_f64();
            let class = self.class.clone();
            metrics::histogram!("cranberryvalve_first_token_seconds", "class" => class)
                .record(wait);
        }
    }

    /// Records tokens that were generated but not used.
    pub(crate) fn record_wasted(&self, tokens: u64) {
        if tokens > 0 {
            metrics::counter!("cranberryvalve_wasted_tokens_total", "class" => self.class.clone())
                .increment(tokens);
        }
    }

    /// Returns the mean time between tokens so far, `None` before the second token.
    fn token_interval(&self) -> Option<Duration> {
        let intervals = u32::try_from(self.tokens.checked_sub(1)?).ok().filter(|it| *it > 0)?;
        Some(self.first_token_at?.elapsed() / intervals)
    }

    /// Records that the caller disconnected before the response was complete.
    pub(crate) fn record_disconnect(&self) {
        self.log.log_disconnect(self.tokens);
        metrics::counter!("cranberryvalve_callers_left_total", "class" => self.class.clone())
            .increment(1);
    }

    /// Records the outcome of the request.
    pub(crate) fn record_outcome(&self, outcome: &Outcome) {
        self.log.log_outcome(outcome, self.meets_targets(), self.tokens);
        let class = self.class.clone();
        metrics::counter!("cranberryvalve_outcomes_total",
            "class" => class.clone(), "outcome" => outcome.name())
        .increment(1);
        match outcome {
            Outcome::Completed if self.meets_targets() => {
                metrics::counter!("cranberryvalve_attained_total", "class" => class).increment(1);
            }
            Outcome::NotRun { reason, .. } => {
                metrics::counter!("cranberryvalve_not_run_total",
                    "class" => class, "reason" => reason.name())
                .increment(1);
            }
            Outcome::Partial => self.record_wasted(self.tokens),
            Outcome::Completed | Outcome::Unknown => {}
        }
    }

    /// Returns whether the first-token and token-interval targets of the class were met.
    fn meets_targets(&self) -> bool {
        let first = self.first_token_at.map(|it| it.duration_since(self.arrived_at));
        let meets_first_token = first.is_some_and(|it| it <= self.first_token_target);
        let meets_token_interval =
            self.token_interval().is_none_or(|it| it <= self.token_interval_target);
        meets_first_token && meets_token_interval
    }
}
