//! What is measured for each class.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::Outcome;
use cranberryvalve_core::ServiceClass;

/// Measures one request from its arrival to its end.
#[derive(Debug)]
pub(crate) struct RequestMeasure {
    class: String,
    first_token_target: Duration,
    token_interval_target: Duration,
    arrived_at: Instant,
    first_token_at: Option<Instant>,
    tokens: u64,
}

impl RequestMeasure {
    pub(crate) fn start(class: &ServiceClass) -> Self {
        metrics::counter!("cranberryvalve_requests_total", "class" => class.id.to_string())
            .increment(1);
        Self {
            class: class.id.to_string(),
            first_token_target: Duration::from_millis(class.first_token_target_ms),
            token_interval_target: Duration::from_millis(class.token_interval_target_ms),
            arrived_at: Instant::now(),
            first_token_at: None,
            tokens: 0,
        }
    }

    /// Notes that an attempt leaves the queue.
    pub(crate) fn sent(&self, attempt: u32) {
        if attempt == 1 {
            let wait = self.arrived_at.elapsed().as_secs_f64();
            metrics::histogram!("cranberryvalve_queue_wait_seconds", "class" => self.class.clone())
                .record(wait);
        } else {
            metrics::counter!("cranberryvalve_retries_total", "class" => self.class.clone())
                .increment(1);
        }
    }

    /// Notes tokens, or the whole answer of a plain service, that the caller gets.
    pub(crate) fn delivered(&mut self, tokens: u64) {
        self.tokens += tokens;
        if self.first_token_at.is_none() {
            self.first_token_at = Some(Instant::now());
            let wait = self.arrived_at.elapsed().as_secs_f64();
            let class = self.class.clone();
            metrics::histogram!("cranberryvalve_first_token_seconds", "class" => class)
                .record(wait);
        }
    }

    /// Notes tokens that were computed and not used.
    pub(crate) fn wasted(&self, tokens: u64) {
        if tokens > 0 {
            metrics::counter!("cranberryvalve_wasted_tokens_total", "class" => self.class.clone())
                .increment(tokens);
        }
    }

    /// Mean time between tokens so far; none before the second one.
    fn token_interval(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.tokens.checked_sub(1)?).ok().filter(|it| *it > 0)?;
        Some(self.first_token_at?.elapsed() / gaps)
    }

    /// Notes the end.
    pub(crate) fn ended(&self, outcome: &Outcome) {
        let class = self.class.clone();
        metrics::counter!("cranberryvalve_outcomes_total",
            "class" => class.clone(), "outcome" => outcome.name())
        .increment(1);
        match outcome {
            Outcome::Completed if self.attained() => {
                metrics::counter!("cranberryvalve_attained_total", "class" => class).increment(1);
            }
            Outcome::NotRun { reason, .. } => {
                metrics::counter!("cranberryvalve_not_run_total",
                    "class" => class, "reason" => reason.name())
                .increment(1);
            }
            Outcome::Partial => self.wasted(self.tokens),
            Outcome::Completed | Outcome::Unknown => {}
        }
    }

    fn attained(&self) -> bool {
        let first = self.first_token_at.map(|it| it.duration_since(self.arrived_at));
        let is_prompt = first.is_some_and(|it| it <= self.first_token_target);
        let is_steady = self.token_interval().is_none_or(|it| it <= self.token_interval_target);
        is_prompt && is_steady
    }
}
