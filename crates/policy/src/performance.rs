//! What the responses of one upstream show of how well it takes more work at present.
//!
//! An upstream may be slower than its known load explains: other VMs send to it, its machine is
//! shared, or its slots are taken by work that generates for long. The excess of the observed over the
//! expected time to the first part of a response shows all of these. An increase counts at once; a
//! decrease is learned from later responses, and from their absence with time, so that an upstream that was
//! avoided is tried again (peak-sensitive moving average, as in latency-based load balancing).

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::RequestId;

/// Time in which an excess that is not observed any more falls to 1/e: a VM among 80 sends to the
/// same engine every few seconds, and bursts and slow phases last as long.
const EXCESS_LIFETIME: Duration = Duration::from_secs(2);

/// Weight of a response that shows a smaller excess than the known one.
const DECREASE_WEIGHT: f64 = 0.5;

/// Excess below which a response counts as expected: the time of one prefill chunk of another prompt.
const MIN_EXCESS: Duration = Duration::from_millis(30);

/// Age from which a report of how long work takes is ignored, as it changes many times a second.
const WORK_TIME_LIFETIME: Duration = Duration::from_millis(200);

/// Bounds of the factor by which work may be reported to take longer than usual.
const WORK_TIME_RANGE: std::ops::RangeInclusive<f64> = 0.25..=10.0;

/// Performance of one upstream as the responses to this VM show it.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use cranberryvalve_policy::performance::Performance;
///
/// let (sent_at, mut performance) = (Instant::now(), Performance::default());
/// performance.record_sent(1, sent_at, Duration::from_millis(50));
/// let responded_at = sent_at + Duration::from_millis(450);
/// performance.record_response_start(responded_at, 1);
/// assert_eq!(performance.excess_delay(responded_at), Duration::from_millis(400));
/// ```
#[derive(Debug, Default)]
pub struct Performance {
    /// Requests whose response has not started.
    awaited: HashMap<RequestId, AwaitedResponse>,
    /// Excess that was known when it last changed.
    excess: Option<(Instant, Duration)>,
    /// Last report of how long work takes, as a factor of the usual time.
    work_time: Option<(Instant, f64)>,
}

#[derive(Debug)]
struct AwaitedResponse {
    sent_at: Instant,
    expected: Duration,
}

impl Performance {
    /// Records a request whose response is expected to start after `expected`.
    pub fn record_sent(&mut self, id: RequestId, now: Instant, expected: Duration) {
        self.awaited.insert(id, AwaitedResponse { sent_at: now, expected });
    }

    /// Records that a response started.
    ///
    /// What the upstream itself puts down to other work on its machine is left out, since that is over
    /// within a fraction of a second.
    pub fn record_response_start(&mut self, now: Instant, id: RequestId) {
        let Some(awaited) = self.awaited.remove(&id) else { return };
        let observed = now.saturating_duration_since(awaited.sent_at);
        let usual = observed.div_f64(self.work_time_factor(now).max(1.0));
        let excess = usual.saturating_sub(awaited.expected);
        let known = self.observed_excess(now);
        let excess = if excess > known {
            excess
        } else {
            known.mul_f64(1.0 - DECREASE_WEIGHT) + excess.mul_f64(DECREASE_WEIGHT)
        };
        self.excess = Some((now, excess));
    }

    /// Forgets a request that has ended.
    pub fn forget(&mut self, id: RequestId) {
        self.awaited.remove(&id);
    }

    /// Records the upstream's report of how long work takes, in percent of the usual time.
    pub fn record_work_time(&mut self, now: Instant, percent: u32) {
        let factor = f64::from(percent) / 100.0;
        self.work_time =
            Some((now, factor.clamp(*WORK_TIME_RANGE.start(), *WORK_TIME_RANGE.end())));
    }

    /// Returns the factor by which work takes longer than usual at this moment; 1 if that is not known.
    pub fn work_time_factor(&self, now: Instant) -> f64 {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < WORK_TIME_LIFETIME;
        self.work_time.filter(|(at, _)| is_fresh(*at)).map_or(1.0, |(_, factor)| factor)
    }

    /// Returns the time by which the next response is expected to start later than its known load
    /// explains. A response that is overdue already counts, too.
    pub fn excess_delay(&self, now: Instant) -> Duration {
        let overdue = self
            .awaited
            .values()
            .map(|it| now.saturating_duration_since(it.sent_at).saturating_sub(it.expected));
        let excess = overdue.max().unwrap_or_default().max(self.observed_excess(now));
        if excess < MIN_EXCESS { Duration::ZERO } else { excess }
    }

    fn observed_excess(&self, now: Instant) -> Duration {
        let Some((at, excess)) = self.excess else { return Duration::ZERO };
        let age = now.saturating_duration_since(at).div_duration_f64(EXCESS_LIFETIME);
        excess.mul_f64((-age).exp())
    }
}
