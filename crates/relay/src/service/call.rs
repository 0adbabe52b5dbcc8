//! A call as the scheduler and the quarantine see it.

use std::time::Duration;

use cranberryvalve_core::RequestFingerprint;
use cranberryvalve_core::SuspectKey;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Prompt;

use super::RequestContext;
use crate::caller::CallerRequest;

/// Returns what a call has in common with others that may crash upstreams, the most general first.
pub(super) fn suspect_keys(request: &CallerRequest, call: &Call) -> Vec<SuspectKey> {
    let parts = call.prompt.as_ref().map(Prompt::shared_part_ids).unwrap_or_default();
    let part_keys =
        parts.into_iter().map(|part| SuspectKey::PromptPart { pool: call.pool.clone(), part });
    let customer = call.customer.as_deref().unwrap_or_default();
    let host = request.head.header("host").unwrap_or_default();
    let fields = [customer, host, &request.head.method, &request.head.target];
    let fingerprint =
        RequestFingerprint::of_segments(fields, request.body.segments().iter().map(|it| &it[..]));
    part_keys.chain([SuspectKey::Request(fingerprint)]).collect()
}

/// Describes a call to the scheduler.
pub(super) fn scheduler_call(
    request: &CallerRequest,
    timeout: Option<Duration>,
    prompt: Option<Prompt>,
    context: &RequestContext,
) -> Call {
    let route = context.route.clone();
    let timeout = timeout.map_or(route.timeout, |it| it.min(route.timeout));
    Call {
        id: 0,
        pool: context.pool.clone(),
        customer: context.customer.clone(),
        tier: context.tier,
        arrived_at: request.arrived_at,
        deadline: request.arrived_at + timeout,
        prompt,
        max_attempts: route.max_attempts,
        body_bytes: request.body.len(),
        software_version: None,
        route,
    }
}
