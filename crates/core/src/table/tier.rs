//! Tiers from the priorities of customers and routes.

use super::CustomerKeys;
use super::RouteRule;
use crate::Tier;

/// Priority of callers that have none of their own: in the middle of those that engines know.
const NEUTRAL_PRIORITY: u8 = 5;

/// Priorities in use, from which tiers follow without gaps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct TierRanks {
    customers: Vec<u8>,
    routes: Vec<u8>,
}

impl TierRanks {
    pub(super) fn new(routes: &[RouteRule], customers: &[CustomerKeys]) -> Self {
        let anonymous = routes.iter().any(|it| it.is_public).then_some(NEUTRAL_PRIORITY);
        let own = customers.iter().map(|it| it.priority.unwrap_or(NEUTRAL_PRIORITY));
        Self {
            customers: ranks(own.chain(anonymous)),
            routes: ranks(routes.iter().map(|it| it.priority)),
        }
    }

    /// The rank among all pairs of priorities, the customer's first.
    pub(super) fn tier(&self, route: &RouteRule, customer: Option<&CustomerKeys>) -> Tier {
        let own = customer.and_then(|it| it.priority).unwrap_or(NEUTRAL_PRIORITY);
        let rank = |all: &[u8], priority: u8| all.partition_point(|it| *it < priority);
        let rank = rank(&self.customers, own) * self.routes.len().max(1)
            + rank(&self.routes, route.priority);
        Tier::try_from(rank).unwrap_or(Tier::MAX)
    }
}

fn ranks(priorities: impl Iterator<Item = u8>) -> Vec<u8> {
    let mut ranks: Vec<u8> = priorities.collect();
    ranks.sort_unstable();
    ranks.dedup();
    ranks
}
