//! Who calls, and with which class.

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

/// Header that names the service class.
pub(super) const CLASS_HEADER: &str = "x-service-class";

/// Time after which a caller may try again when the VM's configuration is stale, in milliseconds.
const RETRY_AFTER_STALE_MS: u64 = 2_000;

/// Refuses new work when the configuration may not be acted on.
pub(super) fn check_freshness(node: &Node) -> Result<(), Problem> {
    if node.freshness() == Freshness::Current {
        return Ok(());
    }
    let reason = NotRunReason::ConfigStale;
    Err(Problem::outcome(Outcome::NotRun { reason, retry_after_ms: RETRY_AFTER_STALE_MS }))
}

/// The customer whose API key the request carries.
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

/// A customer's place within its limits, given back when it is dropped.
pub(super) struct LimitGuard<'a> {
    node: &'a Node,
    customer: CustomerId,
}

impl Drop for LimitGuard<'_> {
    fn drop(&mut self) {
        self.node.limits().ended(&self.customer);
    }
}

/// Takes a place within the customer's limits.
pub(super) fn take_place<'a>(
    node: &'a Node,
    customer: &CustomerSpec,
) -> Result<LimitGuard<'a>, Problem> {
    let vms_alive = node.membership().alive();
    let admitted = node.limits().admit(Instant::now(), customer, vms_alive);
    match admitted {
        Ok(()) => Ok(LimitGuard { node, customer: customer.id.clone() }),
        Err(reached) => {
            let reason = NotRunReason::CustomerLimit;
            metrics::counter!("cranberryvalve_customer_limited_total").increment(1);
            Err(Problem::outcome(Outcome::not_run(reason, reached.retry_after)))
        }
    }
}

/// The class that the request names, or the customer's first one.
pub(super) fn class<'a>(
    config: &'a Config,
    customer: &CustomerSpec,
    head: &RequestHead,
) -> Result<&'a ServiceClass, Problem> {
    let named = head.header(CLASS_HEADER);
    let first = customer.classes.first().map(|it| &**it);
    let Some(name) = named.or(first) else {
        let message = format!("customer {} may use no class", customer.id);
        return Err(Problem::forbidden(CLASS_HEADER, message));
    };
    allowed_class(config, customer, name)
}

/// The class named `name`, if the customer may use it.
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
