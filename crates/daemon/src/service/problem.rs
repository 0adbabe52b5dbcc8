//! Error responses to callers.

use std::io;

use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use serde::Serialize;

/// Outcome of a request that was rejected before it could be sent.
const NOT_RUN: &str = "not_run";

/// Kind of the error for a request that is not valid.
const INVALID_REQUEST: &str = "invalid_request_error";

/// Retry delay for requests that a stopping VM does not take, in milliseconds.
const RETRY_AFTER_STOP_MS: u64 = 1_000;

/// An error response to a caller.
#[derive(Debug)]
pub(super) struct Problem {
    pub(super) status: u16,
    pub(super) message: String,
    kind: &'static str,
    param: Option<&'static str>,
    outcome: Option<Outcome>,
    /// Outcome of earlier requests with the same idempotency key, if it is another one.
    earlier_requests: Option<&'static str>,
    /// Whether a line about the end of the request was logged.
    pub(super) is_logged: bool,
}

impl Problem {
    /// Creates the error for an invalid request.
    pub(super) const fn invalid(status: u16, message: String) -> Self {
        Self::new(status, INVALID_REQUEST, message)
    }

    /// Creates the error for an invalid field or header of the request.
    pub(super) fn field(param: &'static str, message: String) -> Self {
        Self { param: Some(param), ..Self::new(400, INVALID_REQUEST, message) }
    }

    /// Creates the error for a method other than the `accepted` one.
    pub(super) fn method(accepted: &str) -> Self {
        Self::invalid(405, format!("only {accepted} is accepted here"))
    }

    pub(super) const fn unauthorized(message: String) -> Self {
        Self::new(401, "authentication_error", message)
    }

    pub(super) fn forbidden(param: &'static str, message: String) -> Self {
        Self { param: Some(param), ..Self::new(403, "permission_error", message) }
    }

    /// Creates the error for a request that ended without a complete response.
    pub(super) fn outcome(outcome: Outcome) -> Self {
        let (status, message) = describe(&outcome);
        let error = Self::new(status, outcome.name(), message);
        Self { outcome: Some(outcome), ..error }
    }

    /// Creates the error for a request that a stopping VM does not take.
    pub(super) fn stopping() -> Self {
        let reason = NotRunReason::VmStopping;
        Self::outcome(Outcome::NotRun { reason, retry_after_ms: RETRY_AFTER_STOP_MS })
    }

    const fn new(status: u16, kind: &'static str, message: String) -> Self {
        Self {
            status,
            message,
            kind,
            param: None,
            outcome: None,
            earlier_requests: None,
            is_logged: false,
        }
    }

    /// Says that the outcome is that of this request only, as nothing is known of earlier ones with the
    /// same idempotency key.
    #[must_use]
    pub(super) fn for_this_request_only(mut self) -> Self {
        if self.outcome_name() == NOT_RUN {
            self.message.push_str("; an earlier request with the same key may have been run");
            self.earlier_requests = Some(Outcome::Unknown.name());
        }
        self
    }

    /// Marks a problem whose request has a line about its end.
    #[must_use]
    pub(super) const fn logged(mut self) -> Self {
        self.is_logged = true;
        self
    }

    fn outcome_name(&self) -> &'static str {
        self.outcome.as_ref().map_or(NOT_RUN, Outcome::name)
    }

    /// Returns the error as JSON.
    pub(super) fn body(&self) -> String {
        let (reason, retry_after_ms) = match &self.outcome {
            Some(Outcome::NotRun { reason, retry_after_ms }) => {
                (Some(reason.name()), Some(*retry_after_ms))
            }
            _ => (None, None),
        };
        let error = ErrorBody {
            message: &self.message,
            kind: self.kind,
            param: self.param,
            outcome: self.outcome_name(),
            earlier_requests: self.earlier_requests,
            reason,
            retry_after_ms,
        };
        serde_json::to_string(&ErrorEnvelope { error }).unwrap_or_default()
    }

    /// Sends the error, unless a response has already been started.
    pub(super) fn send(&self, responder: &mut Responder<'_>) -> io::Result<()> {
        if responder.is_started() {
            return Ok(());
        }
        let outcome = self.outcome_name();
        let mut headers = vec![("content-type", "application/json"), ("x-outcome", outcome)];
        headers.extend(self.earlier_requests.map(|it| ("x-earlier-requests", it)));
        let retry_after = match &self.outcome {
            Some(Outcome::NotRun { retry_after_ms, .. }) => {
                retry_after_ms.div_ceil(1_000).to_string()
            }
            _ => String::new(),
        };
        if !retry_after.is_empty() {
            headers.push(("retry-after", &retry_after));
        }
        responder.respond(self.status, &headers, self.body().as_bytes())
    }
}

#[derive(Serialize)]
struct ErrorEnvelope<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    param: Option<&'a str>,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    earlier_requests: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

fn describe(outcome: &Outcome) -> (u16, String) {
    match outcome {
        Outcome::NotRun { reason, .. } => {
            let (status, explanation) = describe_not_run(*reason);
            (status, format!("the request was not run: {explanation}"))
        }
        Outcome::Unknown => {
            let message = "the request may or may not have been run; no whole answer came back";
            (502, message.to_owned())
        }
        Outcome::Partial => (502, "the answer broke off and could not be continued".to_owned()),
        Outcome::Completed => (200, String::new()),
    }
}

const fn describe_not_run(reason: NotRunReason) -> (u16, &'static str) {
    match reason {
        NotRunReason::QueueFull => (429, "too many requests of the same or higher tiers wait"),
        NotRunReason::QueueTimeout => (429, "it waited as long as its class allows"),
        NotRunReason::CustomerLimit => (429, "the customer is above its limit"),
        NotRunReason::NoUpstream => (503, "no upstream serves it at present"),
        NotRunReason::UpstreamsRefused => (503, "no upstream could be reached"),
        NotRunReason::StoreUnavailable => {
            (503, "the store did not confirm that it is the only attempt")
        }
        NotRunReason::ConfigStale => (503, "this VM has no configuration that it may trust"),
        NotRunReason::VmStopping => (503, "this VM is stopping"),
        NotRunReason::CallerDisconnected => (499, "the caller left"),
    }
}
