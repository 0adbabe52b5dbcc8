//! Calls that other VMs forward while this one reaches no upstream.

use cranberryvalve_coordination::reachability::Forwarder;
use cranberryvalve_core::table::RouteRule;
use slog::info;

use super::CallOutcome;
use super::CallProgress;
use super::ConnectionHandler;
use super::Sender;
use crate::call_log::millis;
use crate::exchange::AttemptOutcome;
use crate::exchange::AttemptTrace;
use crate::exchange::Exchange;

/// Maximum number of VMs that are tried for a call. A further one is tried only if the one before has
/// not sent the call to an upstream.
const MAX_FORWARDERS: usize = 2;

impl ConnectionHandler<'_> {
    /// Lets another VM forward the call. Returns `None` if none can, or if it must not be sent again.
    pub(super) fn forward(
        &mut self,
        exchange: &Exchange<'_>,
        route: &RouteRule,
        progress: &mut CallProgress,
    ) -> Option<CallOutcome> {
        let may_repeat = route.kind.is_retryable() || !progress.may_have_run;
        let has_attempts = progress.upstream_attempts() < route.max_attempts;
        let is_hopeless = self.sender == Sender::Vm || progress.lacks_forwarders;
        if is_hopeless || !may_repeat || !has_attempts {
            return None;
        }
        let forwarders = self.relay.forwarding.forwarders();
        progress.lacks_forwarders = forwarders.is_empty() && self.relay.forwarding.is_suspect();
        let mut call_outcome = None;
        for forwarder in forwarders.iter().take(MAX_FORWARDERS) {
            progress.forwarded_by = Some(forwarder.vm.clone());
            let mut trace = AttemptTrace::default();
            let outcome = exchange.run_forwarded(
                forwarder,
                progress.upstream_attempts(),
                &mut self.caller,
                &mut progress.delivery,
                &mut trace,
            );
            let is_refusal = is_refusal(&outcome);
            self.log_forwarded(progress, forwarder, &outcome, &trace);
            call_outcome = progress.forwarded_outcome(outcome).or(call_outcome);
            if call_outcome.is_some() && !is_refusal {
                break;
            }
        }
        call_outcome
    }

    fn log_forwarded(
        &self,
        progress: &CallProgress,
        forwarder: &Forwarder,
        outcome: &AttemptOutcome,
        trace: &AttemptTrace,
    ) {
        metrics::counter!("cranberryvalve_calls_forwarded_total", "outcome" => outcome.end().name())
            .increment(1);
        if let Some(failure) = outcome.failure() {
            info!(self.relay.log, "forwarding failed";
                "gap_ms" => millis(progress.delivery.longest_gap),
                "events" => progress.delivery.events,
                "response_status" => trace.response_status,
                "failure" => failure,
                "vm" => &*forwarder.vm,
                "request" => progress.caller_id.as_deref().unwrap_or("-"));
        }
    }
}

/// Returns `true` if the call was not run and another VM may be tried.
fn is_refusal(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Buffered(response) => matches!(response.head.status, 408 | 421 | 429 | 503),
        AttemptOutcome::NotSent | AttemptOutcome::NotRun { .. } => true,
        _ => false,
    }
}
