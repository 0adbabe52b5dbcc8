//! Decides what the head of a response says about a call, before anything else in it is believed.

use crate::dialect::Rejection;
use crate::dialect::ResponseFacts;
use crate::refusal::is_promise;

/// Place of a response on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Position {
    /// The first response on a connection that has carried no other request.
    First,
    /// Responses to other requests may be due on the connection, or one has arrived.
    Later,
}

/// What a response says about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The response to the call.
    Match,
    /// The upstream confirms that it did not run the call.
    NotRun {
        /// Whether the address now belongs to another upstream.
        misdirected: bool,
    },
    /// The response to the call, whose status would promise that it was not run, but which does not
    /// confirm it.
    Unattested,
    /// A response to another request.
    Stray,
    /// A response that names no request where those to others may be due.
    Nameless,
    /// A response to the call that must not be relayed.
    Invalid,
}

/// Classifies a response to the call with request identifier `call_id`.
///
/// A response that names no request is attributed to the call only if no other one can be due on the
/// connection.
pub(crate) fn classify(
    status: u16,
    facts: ResponseFacts<'_>,
    call_id: Option<&str>,
    position: Position,
) -> Verdict {
    let is_own = match facts.request_id {
        Some(request_id) => call_id == Some(request_id),
        None if position == Position::Later => return Verdict::Nameless,
        None => true,
    };
    if !is_own {
        return Verdict::Stray;
    }
    let is_success = (200..300).contains(&status);
    let is_contradictory = facts.names_several || (is_success && facts.rejection.is_some());
    if is_contradictory || (is_success && (facts.request_id.is_none() || !facts.is_signed)) {
        return Verdict::Invalid;
    }
    if let Some(rejection) = facts.rejection {
        return Verdict::NotRun { misdirected: rejection == Rejection::Misdirected };
    }
    if is_promise(status) { Verdict::Unattested } else { Verdict::Match }
}

/// Classifies a response of another VM, to which the call was forwarded.
///
/// What the VM itself responds names no request and has no signature, other than what it relays. It
/// promises that the call was not run only if it attests that: VMs of earlier builds do not, and relay
/// a promising status of an upstream.
pub(crate) fn classify_forwarded(
    status: u16,
    facts: ResponseFacts<'_>,
    call_id: Option<&str>,
    position: Position,
    is_attested: bool,
) -> Verdict {
    let is_of_vm = facts.request_id.is_none() && !facts.is_signed && position == Position::First;
    if is_of_vm && is_attested && is_promise(status) {
        return Verdict::NotRun { misdirected: false };
    }
    classify(status, facts, call_id, position)
}

#[cfg(test)]
mod tests;
