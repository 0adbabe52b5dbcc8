//! The limits of a request while configurations change.

use std::time::Duration;

use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_policy::execution::NotRun;

use super::ReadError;
use super::UnsentResponse;
use crate::refusal::InvalidRequest;
use crate::refusal::Refusal;
use crate::service::DEFAULT_RETRY_AFTER;

/// Returns the limits of the configuration in force, or `None` before the first configuration.
pub(crate) type LimitsInForce<'a> = &'a dyn Fn() -> Option<CallerLimits>;

/// The limits of a request: those in force when its first byte arrived, or those in force now where
/// they allow more. A caller may know either configuration.
pub(crate) struct RequestLimits<'a> {
    at_arrival: CallerLimits,
    in_force: LimitsInForce<'a>,
}

impl<'a> RequestLimits<'a> {
    /// Creates the limits of a request whose first byte has arrived now.
    pub(crate) fn at_arrival(in_force: LimitsInForce<'a>) -> Self {
        Self { at_arrival: in_force().unwrap_or_default(), in_force }
    }

    /// Returns `true` if a head may have this many bytes.
    pub(super) fn allows_head(&self, bytes: usize) -> bool {
        bytes <= self.at_arrival.max_head_bytes || bytes <= self.current().max_head_bytes
    }

    /// Returns `true` if a body may have this many bytes.
    pub(super) fn allows_body(&self, bytes: usize) -> bool {
        bytes <= self.at_arrival.max_body_bytes || bytes <= self.current().max_body_bytes
    }

    /// Returns the maximum time to receive the head.
    pub(super) fn head_timeout(&self) -> Duration {
        self.at_arrival.head_timeout.max(self.current().head_timeout)
    }

    pub(super) fn head_too_large(&self) -> ReadError {
        let max_bytes = self.at_arrival.max_head_bytes.max(self.current().max_head_bytes);
        self.too_large(InvalidRequest::HeadTooLarge, format!("the head is above {max_bytes} bytes"))
    }

    pub(super) fn body_too_large(&self) -> ReadError {
        let max_bytes = self.at_arrival.max_body_bytes.max(self.current().max_body_bytes);
        self.too_large(InvalidRequest::BodyTooLarge, format!("the body is above {max_bytes} bytes"))
    }

    /// Without a configuration, it is not known whether the request is too large.
    fn too_large(&self, reason: InvalidRequest, message: String) -> ReadError {
        if (self.in_force)().is_some() {
            return ReadError::invalid(reason, message);
        }
        let proof = NotRun::before_sending();
        let refusal = Refusal::not_run(proof, DEFAULT_RETRY_AFTER, "no configuration is known yet");
        ReadError::Rejected(UnsentResponse::new(), refusal)
    }

    fn current(&self) -> CallerLimits {
        (self.in_force)().unwrap_or_default()
    }
}
