//! What is logged and counted of each call.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;

use crate::caller::CallerRequest;
use crate::service::Access;
use crate::service::Ending;
use crate::service::Progress;

/// Lines a second for calls that went well; with about 600 bytes each, 60 KB/s.
const CALL_LINES_PER_S: f64 = 100.0;

/// Lines for calls that went well that may come at once.
const CALL_LINES_BURST: f64 = 200.0;

/// Bounds the lines of one kind and counts those left out (token bucket).
#[derive(Debug)]
pub(crate) struct LineQuota(Mutex<Quota>);

#[derive(Debug)]
struct Quota {
    lines: f64,
    at: Instant,
    left_out: u64,
}

impl LineQuota {
    pub(crate) const fn new(now: Instant) -> Self {
        Self(Mutex::new(Quota { lines: CALL_LINES_BURST, at: now, left_out: 0 }))
    }

    /// Takes a line and returns how many were left out before it; none when it is left out itself.
    fn take(&self, now: Instant) -> Option<u64> {
        let mut quota = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.saturating_duration_since(quota.at).as_secs_f64();
        quota.lines = (quota.lines + elapsed * CALL_LINES_PER_S).min(CALL_LINES_BURST);
        quota.at = now;
        if quota.lines < 1.0 {
            quota.left_out += 1;
            return None;
        }
        quota.lines -= 1.0;
        Some(std::mem::take(&mut quota.left_out))
    }
}

/// Logs how a call ended, with what was known when it was placed, and counts it.
///
/// Calls that failed, were late or took more than one attempt always have their line.
pub(crate) fn log_ending(
    log: &Logger,
    quota: &LineQuota,
    request: &CallerRequest,
    access: &Access,
    progress: &Progress,
    ending: &Ending,
) {
    let outcome = ending.outcome();
    let total = request.arrived_at.elapsed();
    let first_part = progress.delivery.first_part_at.map(|it| since(request.arrived_at, it));
    count(access, outcome, request.arrived_at, first_part, progress);
    let late = is_late(access, total, first_part, progress);
    let went_well = outcome == "completed" && !late && progress.attempts == 1;
    let left_out = if went_well { quota.take(Instant::now()) } else { Some(0) };
    let Some(left_out) = left_out else { return };
    let placed = progress.command.as_ref();
    let reason = placed.map(|it| it.reason).unwrap_or_default();
    info!(log, "call ended";
        "request" => progress.caller_id.as_deref().unwrap_or("-"),
        "route" => &*access.route.id,
        "customer" => access.customer.as_deref().unwrap_or("-"),
        "tier" => access.tier,
        "config_version" => access.config_version,
        "outcome" => outcome,
        "late" => late,
        "status" => ending.status(),
        "reason" => ending.reason(),
        "retry_after_ms" => ending.retry_after().map(millis),
        "upstream" => placed.map_or("-", |it| &*it.upstream.id),
        "attempts" => progress.attempts,
        "failures" => &*progress.failures,
        "candidates" => reason.candidates,
        "backlog_ms" => millis(reason.backlog),
        "cached_tokens" => reason.cached_tokens,
        "peer_age_ms" => millis(reason.peer_age),
        "input_tokens" => progress.input_tokens,
        "queue_ms" => progress.sent_at.map(|it| millis(since(request.arrived_at, it))),
        "first_part_ms" => first_part.map(millis),
        "longest_gap_ms" => millis(progress.delivery.longest_gap),
        "events" => progress.delivery.events,
        "total_ms" => millis(total),
        "left_out" => left_out);
}

/// Whether the answer, its first event or a later one came after its target.
fn is_late(
    access: &Access,
    total: Duration,
    first_part: Option<Duration>,
    progress: &Progress,
) -> bool {
    let route = &access.route;
    let until_answer = if route.kind.is_stream() { first_part } else { Some(total) };
    let longest_gap = progress.delivery.longest_gap;
    until_answer.is_some_and(|it| it > route.target)
        || route.event_gap.is_some_and(|it| longest_gap > it)
}

fn count(
    access: &Access,
    outcome: &'static str,
    arrived_at: Instant,
    first_part: Option<Duration>,
    progress: &Progress,
) {
    let total = arrived_at.elapsed();
    let route = access.route.id.to_string();
    metrics::counter!("cranberryvalve_calls_total", "route" => route.clone(), "outcome" => outcome)
        .increment(1);
    metrics::counter!("cranberryvalve_attempts_total", "route" => route.clone())
        .increment(u64::from(progress.attempts));
    metrics::histogram!("cranberryvalve_call_seconds", "route" => route.clone())
        .record(total.as_secs_f64());
    if let Some(sent_at) = progress.sent_at {
        let queued = since(arrived_at, sent_at).as_secs_f64();
        metrics::histogram!("cranberryvalve_queue_seconds", "route" => route.clone())
            .record(queued);
    }
    if let Some(first_part) = first_part {
        metrics::histogram!("cranberryvalve_first_part_seconds", "route" => route.clone())
            .record(first_part.as_secs_f64());
        metrics::histogram!("cranberryvalve_longest_gap_seconds", "route" => route)
            .record(progress.delivery.longest_gap.as_secs_f64());
    }
}

fn since(start: Instant, end: Instant) -> Duration {
    end.saturating_duration_since(start)
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
