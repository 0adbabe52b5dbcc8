//! Outcomes of the requests of a class.

use std::time::Duration;

use cranberryvalve_core::Outcome;

use crate::report::percentile;

/// Service targets of all classes.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_500);
const TOKEN_INTERVAL_TARGET: Duration = Duration::from_millis(39);

/// Progress of a request and its final outcome.
#[derive(Debug, Clone)]
pub(super) struct RequestResult {
    pub(super) outcome: Outcome,
    pub(super) arrived_at: Duration,
    pub(super) first_token_at: Option<Duration>,
    pub(super) ended_at: Duration,
    /// Tokens delivered to the caller.
    pub(super) delivered: u64,
    /// Tokens generated but not delivered.
    pub(super) wasted: u64,
}

/// Totals over the requests of a class.
#[derive(Debug, Clone, Default)]
pub(super) struct Tally {
    requests: u64,
    /// Completed requests that met both service targets.
    attained: u64,
    /// Completed requests whose total time met the targets combined, even if one was missed.
    in_time: u64,
    not_run: u64,
    /// Requests with a partial or unknown outcome.
    partial: u64,
    delivered: u64,
    wasted: u64,
    first_token_s: Vec<f64>,
}

impl Tally {
    /// Adds one request.
    pub(super) fn count(&mut self, result: &RequestResult) {
        self.requests += 1;
        self.delivered += result.delivered;
        self.wasted += result.wasted;
        if let Some(first_token_at) = result.first_token_at {
            self.first_token_s.push((first_token_at - result.arrived_at).as_secs_f64());
        }
        match result.outcome {
            Outcome::Completed => self.count_completed(result),
            Outcome::NotRun { .. } => self.not_run += 1,
            Outcome::Partial | Outcome::Unknown => {
                self.partial += 1;
                self.wasted += result.delivered;
            }
        }
    }

    fn count_completed(&mut self, result: &RequestResult) {
        let Some(first_token_at) = result.first_token_at else { return };
        let wait = first_token_at - result.arrived_at;
        let gaps = u32::try_from(result.delivered.saturating_sub(1)).unwrap_or(u32::MAX);
        let streaming = result.ended_at - first_token_at;
        let is_steady = streaming <= TOKEN_INTERVAL_TARGET * gaps;
        self.attained += u64::from(wait <= FIRST_TOKEN_TARGET && is_steady);
        let limit = FIRST_TOKEN_TARGET + TOKEN_INTERVAL_TARGET * gaps;
        self.in_time += u64::from(result.ended_at - result.arrived_at <= limit);
    }

    /// Adds the totals of another run.
    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.attained += other.attained;
        self.in_time += other.in_time;
        self.not_run += other.not_run;
        self.partial += other.partial;
        self.delivered += other.delivered;
        self.wasted += other.wasted;
        self.first_token_s.extend(&other.first_token_s);
    }

    /// Returns the cells of the class's row in the table.
    pub(super) fn row(&self, class: &str) -> Vec<String> {
        let percent =
            |part: u64, whole: u64| format!("{:.1}", 100.0 * part as f64 / whole.max(1) as f64);
        let mut waits_s = self.first_token_s.clone();
        waits_s.sort_by(f64::total_cmp);
        vec![
            class.to_owned(),
            self.requests.to_string(),
            percent(self.attained, self.requests),
            percent(self.in_time, self.requests),
            percent(self.wasted, self.delivered + self.wasted),
            percent(self.not_run, self.requests),
            self.partial.to_string(),
            format!("{:.2}", percentile(&waits_s, 95)),
            format!("{:.2}", percentile(&waits_s, 100)),
        ]
    }
}
