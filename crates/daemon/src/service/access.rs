//! Authentication of callers, their service classes and their limits.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_coordination::replica::Freshness;
use cranberryvalve_core::Config;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::NotRunReason;
use cranberryvalve_core::Outcome;
use cranberryvalve_core::ServiceClass;

use super::problem::Problem;
use crate::node::Node;

/// Request header that selects the service class.
pub(super) const CLASS_HEADER: &str = "x-service-class";

/// Retry delay for requests rejected because the VM's configuration is stale, in milliseconds.
const RETRY_AFTER_STALE_MS: u64 = 2_000;

/// Rejects the request unless the VM's configuration is current.
pub(super) fn check_freshness(node: &Node) -> Result<(), Problem> {
    if node.freshness() == Freshness::Current {
        return Ok(());
    }
    let reason = NotRunReason::ConfigStale;
    Err(Problem::outcome(Outcome::NotRun { reason, retry_after_ms: RETRY_AFTER_STALE_MS }))
}

/// Rejects a request that a stopping VM may not be able to finish.
pub(super) fn check_stop(node: &Node, class: &ServiceClass) -> Result<(), Problem> {
    let answer_limit = Duration::from_millis(class.answer_limit_ms);
    let has_time = node.stop_times().is_none_or(|it| it.has_time_for(Instant::now(), answer_limit));
    if has_time { Ok(()) } else { Err(Problem::stopping()) }
}

/// Returns the customer that the API key of the request belongs to.
pub(super) fn customer<'a>(
    config: &'a Config,
    head: &RequestHead,
) -> Result<&'a CustomerSpec, Problem> {
    let Some(header) = head.header("authorization") else {
        let message = "an `Authorization: Bearer <API key>` header is needed".to_owned();
        return Err(Problem::unauthorized(message));
    };
    let key = header.strip_prefix("Bearer ").unwrap_or(header).trim();
    config
        .customer_by_api_key(key)
        .ok_or_else(|| Problem::unauthorized("the API key is not known".to_owned()))
}

/// A slot within a customer's limits; dropping it releases the slot.
pub(super) struct LimitGuard<'a> {
    node: &'a Node,
    customer: CustomerId,
}

impl Drop for LimitGuard<'_> {
    fn drop(&mut self) {
        self.node.limits().on_request_ended(&self.customer);
    }
}

/// Acquires a slot within the customer's limits.
///
/// Fails with a retry delay when a limit is reached.
pub(super) fn acquire_limit_slot<'a>(
    node: &'a Node,
    customer: &CustomerSpec,
) -> Result<LimitGuard<'a>, Problem> {
    let vms_known = node.membership().known_count();
    let admitted = node.limits().admit(Instant::now(), customer, vms_known);
    match admitted {
        Ok(()) => Ok(LimitGuard { node, customer: customer.id.clone() }),
        Err(limit_reached) => {
            let reason = NotRunReason::CustomerLimit;
            metrics::counter!("cranberryvalve_customer_limited_total").increment(1);
            Err(Problem::outcome(Outcome::not_run(reason, limit_reached.retry_after)))
        }
    }
}

/// Returns the class that the request names, or else the first class of the customer.
pub(super) fn class<'a>(
    config: &'a Config,
    customer: &CustomerSpec,
    head: &RequestHead,
) -> Result<&'a ServiceClass, Problem> {
    let requested = head.header(CLASS_HEADER);
    let first = customer.classes.first().map(|it| &**it);
    let Some(name) = requested.or(first) else {
        let message = format!("customer {} may use no class", customer.id);
        return Err(Problem::forbidden(CLASS_HEADER, message));
    };
    allowed_class(config, customer, name)
}

/// Returns the class called `name` if the customer may use it.
pub(super) fn allowed_class<'a>(
    config: &'a Config,
    customer: &CustomerSpec,
    name: &str,
) -> Result<&'a ServiceClass, Problem> {
    let accepted: Vec<&str> = customer.classes.iter().map(|it| &**it).collect();
    let accepted = accepted.join(", ");
    let Some(class) = config.class(name) else {
        let message = format!("no class `{name}`; customer {} may use: {accepted}", customer.id);
        return Err(Problem::field(CLASS_HEADER, message));
    };
    if !customer.allows(name) {
        let message =
            format!("customer {} may not use class `{name}`; it may use: {accepted}", customer.id);
        return Err(Problem::forbidden(CLASS_HEADER, message));
    }
    Ok(class)
}
