//! Mapping from the priorities of customers and routes to tiers.

use std::sync::Arc;

use super::CustomerKeys;
use super::RouteRule;
use crate::Tier;

/// Priority of callers without one of their own: the middle of the range that engines support.
const NEUTRAL_PRIORITY: u8 = 5;

/// Sorted priorities in use, by which tiers are numbered without gaps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct TierRanks {
    customers: Vec<u8>,
    routes: Vec<u8>,
}

impl TierRanks {
    pub(super) fn new(routes: &[Arc<RouteRule>], customers: &[CustomerKeys]) -> Self {
        let anonymous = routes.iter().any(|it| it.is_public).then_some(NEUTRAL_PRIORITY);
        let customer_priorities =
            customers.iter().map(|it| it.priority.unwrap_or(NEUTRAL_PRIORITY));
        Self {
            customers: sorted_unique(customer_priorities.chain(anonymous)),
            routes: sorted_unique(routes.iter().map(|it| it.priority)),
        }
    }

    /// Returns the rank among all pairs of priorities, ordered by the customer's first.
    pub(super) fn tier(&self, route: &RouteRule, customer: Option<&CustomerKeys>) -> Tier {
        let customer_priority = customer.and_then(|it| it.priority).unwrap_or(NEUTRAL_PRIORITY);
        let rank = |all: &[u8], priority: u8| all.partition_point(|it| *it < priority);
        let rank = rank(&self.customers, customer_priority) * self.routes.len().max(1)
            + rank(&self.routes, route.priority);
        Tier::try_from(rank).unwrap_or(Tier::MAX)
    }
}

/// Sorts the priorities and removes duplicates.
fn sorted_unique(priorities: impl Iterator<Item = u8>) -> Vec<u8> {
    let mut sorted: Vec<u8> = priorities.collect();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}
