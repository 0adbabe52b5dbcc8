//! The routing table: which requests are accepted, for whom, and which pools may answer them.
//!
//! A configuration source delivers a whole table at a time. Lookups are by host and longest path
//! prefix for routes, and by API key for customers.

mod customer;
mod limits;
mod pool;
mod route;
mod tier;

use std::collections::HashMap;
use std::sync::Arc;

pub use customer::ApiKey;
pub use customer::CustomerKeys;
pub use limits::CallerLimits;
pub use pool::EngineProfile;
pub use pool::PoolProfile;
pub use route::CallKind;
pub use route::RouteRule;
pub use route::WeightedPool;

use crate::ConfigVersion;
use crate::PoolId;
use crate::Tier;

use self::tier::TierRanks;

/// A version of the routing table with the indexes that lookups need.
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
    pools: HashMap<PoolId, PoolProfile>,
    customers: Vec<CustomerKeys>,
    limits: CallerLimits,
    tiers: TierRanks,
    /// Indexes into `routes` for each host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<usize>>,
    /// Index into `customers` for each API key.
    by_key: HashMap<ApiKey, usize>,
}

impl RoutingTable {
    /// Builds a table and its indexes.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<RouteRule>,
        pools: Vec<PoolProfile>,
        customers: Vec<CustomerKeys>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|it| std::cmp::Reverse(routes[*it].prefix.len()));
        }
        let by_key = customers.iter().enumerate().flat_map(|(index, customer)| {
            customer.api_keys.iter().map(move |key| (key.clone(), index))
        });
        let tiers = TierRanks::new(&routes, &customers);
        Self {
            version,
            tiers,
            by_key: by_key.collect(),
            by_host,
            routes: routes.into_iter().map(Arc::new).collect(),
            pools: pools.into_iter().map(|it| (it.id.clone(), it)).collect(),
            customers,
            limits,
        }
    }

    /// Version, which grows with each change.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits on what a caller may send.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The route of `host` with the longest prefix of `path`.
    ///
    /// A port after the host and its case do not matter.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let indexes = self.by_host.get(host.as_str())?;
        let route = indexes.iter().map(|it| &self.routes[*it]);
        route.into_iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// The customer that holds `key`.
    pub fn customer(&self, key: &str) -> Option<&CustomerKeys> {
        self.by_key.get(key).map(|it| &self.customers[*it])
    }

    /// Tier of a customer's requests on a route.
    ///
    /// The customer's priority decides, and among equal customers the route's.
    pub fn tier(&self, route: &RouteRule, customer: Option<&CustomerKeys>) -> Tier {
        self.tiers.tier(route, customer)
    }

    /// Whether routes that are not public need an API key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// What is declared of a pool.
    pub fn pool(&self, id: &str) -> Option<&PoolProfile> {
        self.pools.get(id)
    }

    /// What a pool's engines are like; none for a pool of plain services.
    pub fn engine(&self, pool: &str) -> Option<&EngineProfile> {
        self.pool(pool)?.engine.as_ref()
    }

    /// All routes.
    pub fn routes(&self) -> &[Arc<RouteRule>] {
        &self.routes
    }
}
