//! The end of a call as its caller sees it.

use super::CallOutcome;
use crate::caller::CallerConnection;
use crate::caller::UnsentResponse;

/// Outcome of a call, with the right to send a response that it needs.
pub(super) struct CallConclusion {
    outcome: CallOutcome,
    response: Option<UnsentResponse>,
}

impl CallConclusion {
    /// Creates the conclusion of a call. Without `response` a part of a stream was sent: what would
    /// need a response of its own leaves that stream incomplete.
    pub(super) fn new(outcome: CallOutcome, response: Option<UnsentResponse>) -> Self {
        let outcome = match outcome {
            CallOutcome::Response(_) | CallOutcome::Refusal(_) if response.is_none() => {
                CallOutcome::Truncated
            }
            outcome => outcome,
        };
        Self { outcome, response }
    }

    pub(super) const fn outcome(&self) -> &CallOutcome {
        &self.outcome
    }

    /// Sends what is left to send. Returns `false` if the connection must be closed.
    pub(super) fn send(self, caller: &mut CallerConnection) -> bool {
        match (self.outcome, self.response) {
            (CallOutcome::Response(response), Some(unsent)) => {
                unsent.respond(caller, &response).is_ok()
            }
            (CallOutcome::Refusal(refusal), Some(unsent)) => {
                unsent.refuse(caller, &refusal).is_ok()
            }
            (CallOutcome::Streamed, _) => true,
            (CallOutcome::Response(_) | CallOutcome::Refusal(_), None)
            | (CallOutcome::Truncated | CallOutcome::CallerDisconnected, _) => false,
        }
    }
}
