//! Difference between two routing tables.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Authentication;
use super::CallerLimits;
use super::CustomerKeys;
use super::PoolSpec;
use super::RouteRule;
use super::RoutingTable;
use crate::ConfigVersion;

/// Longest time in a table: the longest that a configuration can name in whole milliseconds. It can
/// be added to any point in time.
const MAX_TIME: Duration = Duration::from_millis(u64::MAX);

/// Maximum number of routes in a table, tens of times the largest that is planned for.
const MAX_ROUTES: usize = 1 << 17;

/// Difference from one version of the routing table, or from the empty table, to a later one.
///
/// VMs send it to each other instead of the whole table: most changes concern a few of thousands
/// of routes. The order of the routes is kept, since it decides among equal prefixes.
///
/// ```
/// use cranberryvalve_core::table::RoutingTable;
/// use cranberryvalve_core::table::TableDelta;
///
/// let table = RoutingTable::default();
/// let delta = TableDelta::between(None, &table);
/// assert_eq!(delta.apply(None), Ok(table));
/// ```
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TableDelta {
    version: ConfigVersion,
    base: Option<BaseTable>,
    routes: Vec<RouteRun>,
    pools: Vec<PoolSpec>,
    /// See [`Authentication::to_list`].
    customers: Vec<CustomerKeys>,
    limits: CallerLimits,
}

/// Table that a difference applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct BaseTable {
    version: ConfigVersion,
    checksum: u64,
}

/// Consecutive routes of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum RouteRun {
    /// Routes of the earlier table, by the index of the first one.
    Kept { start: u32, count: u32 },
    /// A route that the earlier table does not have.
    Added(Arc<RouteRule>),
}

/// Reason why a difference cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The difference applies to this version, which is not the given one.
    OtherVersion(Option<ConfigVersion>),
    /// The given table has the version that the difference applies to, but another content.
    OtherContent(ConfigVersion),
    /// The difference refers to routes that the earlier table does not have.
    UnknownRoutes,
    /// The table has more routes or longer times than any configuration.
    OutOfRange,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherVersion(Some(version)) => {
                write!(f, "the difference applies to version {version}")
            }
            Self::OtherVersion(None) => f.write_str("the difference applies to the empty table"),
            Self::OtherContent(version) => {
                write!(f, "the difference applies to another table of version {version}")
            }
            Self::UnknownRoutes => f.write_str("the difference refers to unknown routes"),
            Self::OutOfRange => f.write_str("the table has too many routes or too long times"),
        }
    }
}

impl std::error::Error for DeltaError {}

impl TableDelta {
    /// Returns the difference from `base`, or from the empty table, to `table`.
    ///
    /// Pools, customers and limits are few and are listed whole.
    pub fn between(base: Option<&RoutingTable>, table: &RoutingTable) -> Self {
        let base_routes = base.map_or(&[][..], RoutingTable::routes);
        let indexes: HashMap<&RouteRule, usize> =
            base_routes.iter().enumerate().map(|(index, it)| (&**it, index)).collect();
        let mut routes: Vec<RouteRun> = Vec::new();
        for route in table.routes() {
            let Some(index) = indexes.get(&**route).and_then(|it| u32::try_from(*it).ok()) else {
                routes.push(RouteRun::Added(route.clone()));
                continue;
            };
            match routes.last_mut() {
                Some(RouteRun::Kept { start, count }) if *start + *count == index => *count += 1,
                _ => routes.push(RouteRun::Kept { start: index, count: 1 }),
            }
        }
        let mut pools: Vec<PoolSpec> = table.pools.values().cloned().collect();
        pools.sort_by(|a, b| a.id.cmp(&b.id));
        Self {
            version: table.version,
            base: base.map(|it| BaseTable { version: it.version, checksum: it.checksum() }),
            routes,
            pools,
            customers: table.authentication.to_list().into_owned(),
            limits: table.limits.clone(),
        }
    }

    /// Returns the version of the table that the difference leads to.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the version of the table that the difference applies to; `None` for the empty table.
    pub fn base_version(&self) -> Option<ConfigVersion> {
        self.base.map(|it| it.version)
    }

    /// Returns the table that the difference leads to from `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if the difference was made for another table, or leads to one that no
    /// configuration describes.
    pub fn apply(&self, base: Option<&RoutingTable>) -> Result<RoutingTable, DeltaError> {
        let base = match (&self.base, base) {
            (None, _) => None,
            (Some(needed), Some(base)) if needed.version == base.version => {
                if needed.checksum != base.checksum() {
                    return Err(DeltaError::OtherContent(needed.version));
                }
                Some(base)
            }
            (Some(needed), _) => return Err(DeltaError::OtherVersion(Some(needed.version))),
        };
        let base_routes = base.map_or(&[][..], RoutingTable::routes);
        let mut routes: Vec<Arc<RouteRule>> = Vec::new();
        for run in &self.routes {
            match run {
                RouteRun::Added(route) => routes.push(route.clone()),
                RouteRun::Kept { start, count } => {
                    let start = *start as usize;
                    let kept = start
                        .checked_add(*count as usize)
                        .and_then(|end| base_routes.get(start..end));
                    routes.extend_from_slice(kept.ok_or(DeltaError::UnknownRoutes)?);
                }
            }
            if routes.len() > MAX_ROUTES {
                return Err(DeltaError::OutOfRange);
            }
        }
        let route_times = routes
            .iter()
            .flat_map(|it| [it.timeout, it.latency_target].into_iter().chain(it.event_gap_target));
        let mut times = route_times.chain([self.limits.head_timeout, self.limits.idle_timeout]);
        if times.any(|it| it > MAX_TIME) {
            return Err(DeltaError::OutOfRange);
        }
        Ok(RoutingTable::from_shared_routes(
            self.version,
            routes,
            self.pools.clone(),
            Authentication::from_list(self.customers.clone()),
            self.limits.clone(),
        ))
    }
}
