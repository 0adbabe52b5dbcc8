//! Sums of what came of the requests of a class.

use std::time::Duration;

use cranberryvalve_core::Outcome;

use crate::report::percentile;

/// Targets of all classes.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_500);
const TOKEN_INTERVAL_TARGET: Duration = Duration::from_millis(39);

/// What came of one request.
#[derive(Debug, Clone)]
pub(super) struct Finished {
    pub(super) outcome: Outcome,
    pub(super) arrived_at: Duration,
    pub(super) first_token_at: Option<Duration>,
    pub(super) ended_at: Duration,
    pub(super) delivered: u64,
    pub(super) wasted: u64,
}

/// Sums over many requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Tally {
    requests: u64,
    attained: u64,
    in_time: u64,
    not_run: u64,
    partial: u64,
    delivered: u64,
    wasted: u64,
    first_token_s: Vec<f64>,
}

impl Tally {
    pub(super) fn count(&mut self, finished: &Finished) {
        self.requests += 1;
        self.delivered += finished.delivered;
        self.wasted += finished.wasted;
        if let Some(first_token_at) = finished.first_token_at {
            self.first_token_s.push((first_token_at - finished.arrived_at).as_secs_f64());
        }
        match finished.outcome {
            Outcome::Completed => self.count_completed(finished),
            Outcome::NotRun { .. } => self.not_run += 1,
            Outcome::Partial | Outcome::Unknown => {
                self.partial += 1;
                self.wasted += finished.delivered;
            }
        }
    }

    fn count_completed(&mut self, finished: &Finished) {
        let Some(first_token_at) = finished.first_token_at else { return };
        let wait = first_token_at - finished.arrived_at;
        let gaps = u32::try_from(finished.delivered.saturating_sub(1)).unwrap_or(u32::MAX);
        let streaming = finished.ended_at - first_token_at;
        let is_steady = streaming <= TOKEN_INTERVAL_TARGET * gaps;
        self.attained += u64::from(wait <= FIRST_TOKEN_TARGET && is_steady);
        let limit = FIRST_TOKEN_TARGET + TOKEN_INTERVAL_TARGET * gaps;
        self.in_time += u64::from(finished.ended_at - finished.arrived_at <= limit);
    }

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

    /// Cells of the class's row.
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
