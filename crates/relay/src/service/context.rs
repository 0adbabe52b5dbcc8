//! Route, customer and priority of a request.

use std::sync::Arc;

use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::stable_hash;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_core::table::RoutingTable;

use super::not_yet_sent;
use crate::caller::CallerRequest;
use crate::dialect::CallMetadata;
use crate::refusal::InvalidRequest;
use crate::refusal::Refusal;

/// Route, customer and priority that apply to a request.
pub(crate) struct RequestContext {
    pub(crate) route: Arc<RouteRule>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) admission: Admission,
    pub(crate) tier: Tier,
    pub(crate) config_version: ConfigVersion,
    pub(super) pool: PoolId,
}

/// Why a caller may send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Its API key is that of a customer.
    ApiKey,
    /// The route is public.
    PublicRoute,
    /// The configuration requires no API keys.
    NoKeysRequired,
}

impl Admission {
    /// Returns the name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::ApiKey => "api_key",
            Self::PublicRoute => "public_route",
            Self::NoKeysRequired => "no_keys_required",
        }
    }
}

/// Resolves the route, pool and customer of a request.
pub(super) fn resolve_context(
    table: &RoutingTable,
    request: &CallerRequest,
    metadata: &CallMetadata,
) -> Result<RequestContext, Refusal> {
    let host = request.head.header("host").unwrap_or_default();
    let Some(route) = table.route(host, request.head.path()) else {
        return Err(Refusal::invalid(
            InvalidRequest::NoRoute,
            "no route matches the host and path",
        ));
    };
    let key = metadata.api_key.as_deref();
    let customer = key.and_then(|it| table.customer(it));
    let admission = match customer {
        Some(_) => Admission::ApiKey,
        None if route.is_public => Admission::PublicRoute,
        None if !table.requires_keys() => Admission::NoKeysRequired,
        None => {
            return Err(Refusal::invalid(
                InvalidRequest::Unauthorized,
                "the API key is missing or unknown",
            ));
        }
    };
    let hash = stable_hash(metadata.request_id.as_deref().unwrap_or_else(|| request.head.path()));
    let Some(pool) = route.choose_pool(hash) else {
        return Err(not_yet_sent("the route has no upstreams"));
    };
    Ok(RequestContext {
        customer: customer.map(|it| it.id.clone()),
        admission,
        tier: table.tier(route, customer),
        config_version: table.version(),
        pool: pool.clone(),
        route: route.clone(),
    })
}
