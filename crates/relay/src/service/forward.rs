//! Calls that other VMs forward while this one reaches no upstream.

use cranberryvalve_coordination::reachability::Forwarder;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_policy::execution::Execution;
use slog::info;

use super::CallOutcome;
use super::CallProgress;
use super::ConnectionHandler;
use super::DEFAULT_RETRY_AFTER;
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
        // The other VM does not know which upstreams refused a call that must not reach them again.
        let may_repeat = route.kind.is_retryable() || progress.execution == Execution::NotSent;
        let has_attempts = progress.upstream_attempts() < route.max_attempts;
        let is_hopeless = self.sender == Sender::Vm || progress.lacks_forwarders;
        if is_hopeless || !may_repeat || !has_attempts {
            return None;
        }
        let forwarders = self.relay.forwarding.forwarders();
        progress.lacks_forwarders = forwarders.is_empty() && self.relay.forwarding.is_suspect();
        let mut refused_for = None;
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
            self.log_forwarded(progress, forwarder, &outcome, &trace);
            let mut reached_upstreams = false;
            if let AttemptOutcome::NotRun { retry_after, refused_attempts, .. } = &outcome {
                refused_for = Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
                reached_upstreams = *refused_attempts > 0;
            }
            if let Some(call_outcome) = progress.forwarded_outcome(outcome) {
                return Some(call_outcome);
            }
            if reached_upstreams {
                break;
            }
        }
        refused_for.map(|it| progress.refused_by_vms(it))
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
