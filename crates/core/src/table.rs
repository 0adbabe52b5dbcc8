//! Routing table: the accepted requests, the customers and the pools that serve them.
//!
//! A configuration source delivers a complete table each time. Routes are looked up by host and the
//! longest matching path prefix, customers by API key.

mod authentication;
mod customer;
mod delta;
mod limits;
mod pool;
mod route;
mod tier;

use std::collections::HashMap;
use std::sync::Arc;

pub use authentication::Authentication;
pub use customer::ApiKey;
pub use customer::CustomerKeys;
pub use delta::DeltaError;
pub use delta::TableDelta;
pub use limits::CallerLimits;
pub use pool::EngineSpec;
pub use pool::PoolSpec;
pub use route::CallKind;
pub use route::RouteRule;
pub use route::WeightedPool;

use crate::ConfigVersion;
use crate::PoolId;
use crate::Tier;
use crate::stable_hash;

use self::tier::TierRanks;

/// A version of the routing table, with indexes for lookups.
///
/// ```
/// use cranberryvalve_core::table::RoutingTable;
///
/// let table = RoutingTable::default();
/// assert!(table.route("api.example", "/v1/").is_none());
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutingTable {
    version: ConfigVersion,
    routes: Vec<Arc<RouteRule>>,
    pools: HashMap<PoolId, PoolSpec>,
    authentication: Authentication,
    limits: CallerLimits,
    tiers: TierRanks,
    /// Indexes into `routes` for each host, longest prefix first.
    routes_by_host: HashMap<Arc<str>, Vec<usize>>,
    /// Index into the customers for each API key.
    customers_by_key: HashMap<ApiKey, usize>,
}

impl RoutingTable {
    /// Creates a table and builds its indexes.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<RouteRule>,
        pools: Vec<PoolSpec>,
        authentication: Authentication,
        limits: CallerLimits,
    ) -> Self {
        let routes = routes.into_iter().map(Arc::new).collect();
        Self::from_shared_routes(version, routes, pools, authentication, limits)
    }

    /// Creates a table of routes that other versions of it may share.
    fn from_shared_routes(
        version: ConfigVersion,
        routes: Vec<Arc<RouteRule>>,
        pools: Vec<PoolSpec>,
        authentication: Authentication,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            routes_by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in routes_by_host.values_mut() {
            indexes.sort_by_key(|it| std::cmp::Reverse(routes[*it].prefix.len()));
        }
        let customers = authentication.customers();
        let customers_by_key = customers.iter().enumerate().flat_map(|(index, customer)| {
            customer.api_keys.iter().map(move |key| (key.clone(), index))
        });
        let tiers = TierRanks::new(&routes, customers);
        Self {
            version,
            tiers,
            customers_by_key: customers_by_key.collect(),
            routes_by_host,
            routes,
            pools: pools.into_iter().map(|it| (it.id.clone(), it)).collect(),
            authentication,
            limits,
        }
    }

    /// Returns the version, which increases with each change.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits for callers.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route of `host` whose prefix is the longest match for `path`.
    ///
    /// The case of the host and a port after it are ignored. Returns `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let indexes = self.routes_by_host.get(host.as_str())?;
        let route = indexes.iter().map(|it| &self.routes[*it]);
        route.into_iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Returns the customer that owns `key`, or `None` if the key is unknown.
    pub fn customer(&self, key: &str) -> Option<&CustomerKeys> {
        self.customers_by_key.get(key).map(|it| &self.customers()[*it])
    }

    /// Returns the tier of a customer's requests on a route.
    ///
    /// Ordered by the customer's priority and, among customers of equal priority, by the route's.
    /// `customer` is `None` for anonymous callers.
    pub fn tier(&self, route: &RouteRule, customer: Option<&CustomerKeys>) -> Tier {
        self.tiers.tier(route, customer)
    }

    /// Returns who may send requests on routes that are not public.
    pub const fn authentication(&self) -> &Authentication {
        &self.authentication
    }

    /// Returns whether routes that are not public require an API key.
    pub const fn requires_keys(&self) -> bool {
        matches!(self.authentication, Authentication::ApiKeys(_))
    }

    /// Returns all customers.
    pub fn customers(&self) -> &[CustomerKeys] {
        self.authentication.customers()
    }

    /// Returns the number of accepted API keys.
    pub fn key_count(&self) -> usize {
        self.customers_by_key.len()
    }

    /// Returns the declared properties of a pool, or `None` if it is unknown.
    pub fn pool(&self, id: &str) -> Option<&PoolSpec> {
        self.pools.get(id)
    }

    /// Returns the declared properties of a pool's engines.
    ///
    /// Returns `None` if the pool is unknown or serves a plain service.
    pub fn engine(&self, pool: &str) -> Option<&EngineSpec> {
        self.pool(pool)?.engine.as_ref()
    }

    /// Returns a checksum of the content, by which two VMs that run the same build find out whether
    /// they have the same table.
    pub fn checksum(&self) -> u64 {
        let mut pools: Vec<&PoolSpec> = self.pools.values().collect();
        pools.sort_by_key(|it| &it.id);
        let customers = self.authentication.to_list();
        stable_hash((self.version, &self.routes, pools, customers, &self.limits))
    }

    /// Returns all routes, in the order in which they were given.
    pub fn routes(&self) -> &[Arc<RouteRule>] {
        &self.routes
    }
}
