//! Log line and metrics of each call.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::telemetry::LogRateLimiter;
use cranberryvalve_policy::scheduler::SendCommand;
use slog::Logger;
use slog::info;

use crate::caller::CallerRequest;
use crate::exchange::AttemptTrace;
use crate::exchange::Exchange;
use crate::service::CallOutcome;
use crate::service::CallProgress;
use crate::service::RequestContext;

/// Logs and counts a finished call, with the data its placement was based on.
///
/// Calls that failed, missed a target, took more than one attempt or resumed a stream are always
/// logged; the others are rate-limited.
pub(crate) fn log_call(
    log: &Logger,
    limiter: &LogRateLimiter,
    request: &CallerRequest,
    context: &RequestContext,
    progress: &CallProgress,
    call_outcome: &CallOutcome,
) {
    let outcome = call_outcome.label();
    let total = request.arrived_at.elapsed();
    let first_part =
        progress.delivery.first_part_at.map(|it| duration_between(request.arrived_at, it));
    record_metrics(context, outcome, request.arrived_at, first_part, progress);
    let is_late = missed_target(context, total, first_part, progress);
    let is_routine = outcome == "completed"
        && !is_late
        && progress.attempts == 1
        && progress.resumed_after.is_none();
    let suppressed = if is_routine { limiter.acquire(Instant::now()) } else { Some(0) };
    let Some(suppressed) = suppressed else { return };
    let last_command = progress.last_command.as_ref();
    let reason = last_command.map(|it| it.reason).unwrap_or_default();
    // The logger writes the last field first: what tells most stays in a line that is cut.
    info!(log, "call ended";
        "left_out" => suppressed,
        "total_ms" => millis(total),
        "events" => progress.delivery.events,
        "longest_gap_ms" => millis(progress.delivery.longest_gap),
        "first_part_ms" => first_part.map(millis),
        "queue_ms" => progress.sent_at.map(|it| millis(duration_between(request.arrived_at, it))),
        "shared_parts" => hex_list(&progress.shared_parts),
        "input_tokens" => progress.input_tokens,
        "peer_age_ms" => millis(reason.peer_age),
        "cached_tokens" => reason.cached_tokens,
        "excess_delay_ms" => millis(reason.excess_delay),
        "backlog_ms" => millis(reason.backlog),
        "candidates" => reason.candidates,
        "failures" => &*progress.failed_attempts,
        "attempts" => progress.attempts,
        "resumed_after" => progress.resumed_after,
        "resumes" => progress.resumed_request_id.as_deref(),
        "forwarded_by" => progress.forwarded_by.as_deref(),
        "software_version" => last_command.map_or("-", |it| &*it.upstream.software_version),
        "upstream" => last_command.map_or("-", |it| &*it.upstream.id),
        "retry_after_ms" => call_outcome.retry_after().map(millis),
        "crashed" => progress.quarantined_for.as_deref(),
        "late" => is_late,
        "config_version" => context.config_version,
        "tier" => context.tier,
        "admission" => context.admission.name(),
        "customer" => context.customer.as_deref().unwrap_or("-"),
        "route" => &*context.route.id,
        "execution" => progress.execution.name(),
        "reason" => call_outcome.reason(),
        "outcome" => outcome,
        "status" => call_outcome.status(),
        "request" => progress.caller_id.as_deref().unwrap_or("-"));
}

/// Logs an attempt that failed, with what it saw of the upstream.
pub(crate) fn log_failed_attempt(
    log: &Logger,
    exchange: &Exchange<'_>,
    command: &SendCommand,
    progress: &CallProgress,
    trace: &AttemptTrace,
    failure: &'static str,
    started_at: Instant,
) {
    info!(log, "attempt failed";
        "peer_age_ms" => millis(command.reason.peer_age),
        "excess_delay_ms" => millis(command.reason.excess_delay),
        "backlog_ms" => millis(command.reason.backlog),
        "candidates" => command.reason.candidates,
        "prefix_source" => command.prefix_source.as_ref().map(|it| &*it.id),
        "fingerprint" => exchange.fingerprint().map(|it| it.to_string()),
        "shared_parts" => hex_list(&progress.shared_parts),
        "attempt_ms" => millis(started_at.elapsed()),
        "events" => progress.delivery.events,
        "software_version" => &*command.upstream.software_version,
        "stray_responses" => trace.stray_responses,
        "response_request" => trace.response_request_id.as_deref(),
        "response_status" => trace.response_status,
        "reused_connection" => trace.is_connection_reused,
        "failure" => failure,
        "attempt" => command.attempt,
        "upstream" => &*command.upstream.id,
        "request" => progress.caller_id.as_deref().unwrap_or("-"));
}

/// Returns `true` if the response, its first event or a later event exceeded its target time.
fn missed_target(
    context: &RequestContext,
    total: Duration,
    first_part: Option<Duration>,
    progress: &CallProgress,
) -> bool {
    let route = &context.route;
    let response_time = if route.kind.is_stream() { first_part } else { Some(total) };
    let longest_gap = progress.delivery.longest_gap;
    response_time.is_some_and(|it| it > route.latency_target)
        || route.event_gap_target.is_some_and(|it| longest_gap > it)
}

fn record_metrics(
    context: &RequestContext,
    outcome: &'static str,
    arrived_at: Instant,
    first_part: Option<Duration>,
    progress: &CallProgress,
) {
    let total = arrived_at.elapsed();
    let route = context.route.id.to_string();
    metrics::counter!("cranberryvalve_calls_total", "route" => route.clone(), "outcome" => outcome)
        .increment(1);
    metrics::counter!("cranberryvalve_calls_admitted_total", "admission" => context.admission.name())
        .increment(1);
    metrics::counter!("cranberryvalve_attempts_total", "route" => route.clone())
        .increment(u64::from(progress.attempts));
    metrics::histogram!("cranberryvalve_call_seconds", "route" => route.clone())
        .record(total.as_secs_f64());
    if let Some(sent_at) = progress.sent_at {
        let queued = duration_between(arrived_at, sent_at).as_secs_f64();
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

fn duration_between(start: Instant, end: Instant) -> Duration {
    end.saturating_duration_since(start)
}

/// Formats identifiers of prompt parts as callers write them.
pub(crate) fn hex_list(ids: &[u64]) -> String {
    let ids: Vec<String> = ids.iter().map(|it| format!("{it:x}")).collect();
    ids.join(",")
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
