//! Differences between routing tables lead to exactly the table that they were made for.

use std::time::Duration;

use cranberryvalve_core::table::Authentication;
use cranberryvalve_core::table::CallKind;
use cranberryvalve_core::table::CallerLimits;
use cranberryvalve_core::table::CustomerKeys;
use cranberryvalve_core::table::DeltaError;
use cranberryvalve_core::table::PoolSpec;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_core::table::TableDelta;
use cranberryvalve_core::table::WeightedPool;
use quickcheck::quickcheck;
use serde_json::json;

fn route(number: u8, priority: u8) -> RouteRule {
    RouteRule {
        id: format!("route-{number}").into(),
        host: format!("host-{}", number % 3).into(),
        prefix: format!("/{}/", number / 3).into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_secs(1),
        event_gap_target: None,
        priority,
        max_attempts: 2,
        is_public: number.is_multiple_of(2),
        pools: vec![WeightedPool { pool: "plain".into(), weight: 1 }],
    }
}

/// Returns a table with this number of customers, or with none as it has no list of them.
fn table(version: u64, routes: &[(u8, u8)], customers: Option<u8>) -> RoutingTable {
    let pools = ["plain", "engines"];
    let customer = |number| CustomerKeys {
        id: format!("customer-{number}").into(),
        api_keys: vec![format!("key-{number}").into()],
        priority: None,
    };
    let authentication = customers.map_or(Authentication::Anonymous, |count| {
        Authentication::ApiKeys((0..count).map(customer).collect())
    });
    RoutingTable::new(
        version,
        routes.iter().map(|(number, priority)| route(*number, *priority)).collect(),
        pools.map(|id| PoolSpec { id: id.into(), max_connections: 9, engine: None }).into(),
        authentication,
        CallerLimits::default(),
    )
}

quickcheck! {
    fn difference_leads_to_its_table(
        before: Vec<(u8, u8)>, after: Vec<(u8, u8)>, customers: (Option<u8>, Option<u8>)
    ) -> bool {
        let before = table(1, &before, customers.0.map(|it| it % 4));
        let after = table(2, &after, customers.1.map(|it| it % 4));
        let delta = TableDelta::between(Some(&before), &after);
        let whole = TableDelta::between(None, &after);
        delta.apply(Some(&before)) == Ok(after.clone()) && whole.apply(None) == Ok(after)
    }
}

#[test]
fn difference_applies_to_its_base_only() {
    let before = table(1, &[(1, 0), (2, 0)], Some(1));
    let other = table(1, &[(1, 0), (3, 0)], Some(1));
    let after = table(2, &[(1, 0), (2, 0), (4, 0)], Some(1));
    let delta = TableDelta::between(Some(&before), &after);
    assert_eq!((delta.version(), delta.base_version()), (2, Some(1)));
    assert_eq!(delta.apply(Some(&other)), Err(DeltaError::OtherContent(1)));
    assert_eq!(delta.apply(Some(&after)), Err(DeltaError::OtherVersion(Some(1))));
    assert_eq!(delta.apply(None), Err(DeltaError::OtherVersion(Some(1))));
}

#[test]
fn times_that_no_configuration_names_are_rejected() {
    let with_times = |timeout: Duration, idle_timeout: Duration| {
        let slow = RouteRule { timeout, ..route(1, 0) };
        let limits = CallerLimits { idle_timeout, ..CallerLimits::default() };
        RoutingTable::new(1, vec![slow], Vec::new(), Authentication::Anonymous, limits)
    };
    let longest = Duration::from_millis(u64::MAX);
    let apply = |table: &RoutingTable| TableDelta::between(None, table).apply(None);
    assert!(apply(&with_times(longest, longest)).is_ok());
    for table in [with_times(Duration::MAX, longest), with_times(longest, Duration::MAX)] {
        assert_eq!(apply(&table), Err(DeltaError::OutOfRange));
    }
}

#[test]
fn runs_that_repeat_routes_fill_no_memory() {
    const RUNS: usize = 100_000;
    let numbers: Vec<(u8, u8)> = (0..=u8::MAX).map(|it| (it, 0)).collect();
    let base = table(1, &numbers, Some(0));
    let after = table(2, &numbers, Some(0));
    let delta = TableDelta::between(Some(&base), &after);
    let mut value = serde_json::to_value(&delta).expect("a difference can be encoded");
    let run = value["routes"][0].clone();
    assert_eq!(run["Kept"]["count"], 256);
    value["routes"] = vec![run; RUNS].into();
    let delta: TableDelta = serde_json::from_value(value).expect("a difference");
    assert_eq!(delta.apply(Some(&base)), Err(DeltaError::OutOfRange));
}

/// Guards against an empty list of customers that is none any more at the receiver of a difference,
/// and against receivers of earlier builds, which require keys only if the list has an entry.
#[test]
fn empty_customer_list() {
    let (open, locked) = (table(1, &[(1, 0)], None), table(2, &[(1, 0)], Some(0)));
    assert_eq!((open.requires_keys(), locked.requires_keys()), (false, true));
    assert!(RoutingTable::default().requires_keys());
    let customers = |table: &RoutingTable| {
        let delta = TableDelta::between(Some(&open), table);
        assert_eq!(delta.apply(Some(&open)).as_ref(), Ok(table));
        let value = serde_json::to_value(&delta).expect("a difference can be encoded");
        value["customers"].clone()
    };
    assert_eq!(customers(&open), json!([]));
    assert_eq!(customers(&locked), json!([{"id": "", "api_keys": [], "priority": null}]));
    let other = table(1, &[(1, 0)], Some(0));
    assert_ne!(open.checksum(), other.checksum());
}
