//! What is logged and counted of each call.

use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;

use crate::caller::CallerRequest;
use crate::service::Access;
use crate::service::Ending;
use crate::service::Progress;

/// Logs how a call ended, with what was known when it was placed, and counts it.
pub(crate) fn log_ending(
    log: &Logger,
    request: &CallerRequest,
    access: &Access,
    progress: &Progress,
    ending: &Ending,
) {
    let outcome = ending.outcome();
    let total = request.arrived_at.elapsed();
    let first_part = progress.delivery.first_part_at.map(|it| since(request.arrived_at, it));
    count(access, outcome, total, first_part, progress);
    let placed = progress.command.as_ref();
    let reason = placed.map(|it| it.reason).unwrap_or_default();
    info!(log, "call ended";
        "request" => progress.caller_id.as_deref().unwrap_or("-"),
        "route" => &*access.route.id,
        "customer" => access.customer.as_deref().unwrap_or("-"),
        "tier" => access.tier,
        "config_version" => access.config_version,
        "outcome" => outcome,
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
        "total_ms" => millis(total));
}

fn count(
    access: &Access,
    outcome: &'static str,
    total: Duration,
    first_part: Option<Duration>,
    progress: &Progress,
) {
    let route = access.route.id.to_string();
    metrics::counter!("cranberryvalve_calls_total", "route" => route.clone(), "outcome" => outcome)
        .increment(1);
    metrics::counter!("cranberryvalve_attempts_total", "route" => route.clone())
        .increment(u64::from(progress.attempts));
    metrics::histogram!("cranberryvalve_call_seconds", "route" => route.clone())
        .record(total.as_secs_f64());
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

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
