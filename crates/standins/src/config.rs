//! Configurations of test deployments.

use std::net::SocketAddr;
use std::sync::Arc;

use cranberryvalve_core::Config;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::Digest;
use cranberryvalve_core::RouteSpec;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::UpstreamKind;
use cranberryvalve_core::UpstreamSpec;

/// Service class of model requests in the highest tier, 0.
pub const TIDE_CHECK: &str = "tide-check";

/// Service class of model requests in the middle tier, 1.
pub const COMMENTARY: &str = "commentary";

/// Service class of model requests in the lowest tier, 3.
pub const REPLAN: &str = "replan";

/// Service class of calls to the plain service, in tier 0.
pub const BOOKING: &str = "booking";

/// Model, and pool, that all engines serve.
pub const MODEL: &str = "harbour-7b";

/// Pool that all plain services serve.
pub const BERTH_API: &str = "berth-api";

/// Returns the API key of customer `number`, counted from 0.
pub fn api_key(number: usize) -> String {
    format!("key-of-customer-{number}")
}

/// Returns a configuration with classes, routes and `customers` customers, but no upstreams.
pub fn base_config(customers: usize) -> Config {
    let classes = vec![
        class(TIDE_CHECK, 0, 10_000, 2_000),
        class(BOOKING, 0, 10_000, 2_000),
        class(COMMENTARY, 1, 15_000, 4_000),
        class(REPLAN, 3, 60_000, 6_000),
    ];
    let class_ids: Vec<Arc<str>> = classes.iter().map(|it| it.id.clone()).collect();
    let customers = (0..customers).map(|number| CustomerSpec {
        id: format!("customer-{number}").into(),
        key_sha256: Digest::of(api_key(number).as_bytes()),
        classes: class_ids.clone(),
        weight: 1,
        requests_per_s: None,
        max_in_flight: None,
    });
    Config {
        customers: customers.collect(),
        classes,
        routes: vec![route("/berths", false), route("/tides", true)],
        ..Config::default()
    }
}

fn route(path_prefix: &str, idempotent: bool) -> RouteSpec {
    RouteSpec {
        path_prefix: path_prefix.into(),
        pool: BERTH_API.into(),
        class: BOOKING.into(),
        idempotent,
    }
}

fn class(id: &str, tier: u8, queue_limit_ms: u64, promote_after_ms: u64) -> ServiceClass {
    ServiceClass {
        id: id.into(),
        tier,
        first_token_target_ms: 1_500,
        token_interval_target_ms: 39,
        queue_limit_ms,
        promote_after_ms,
        silence_limit_ms: 1_000,
        answer_limit_ms: 60_000,
    }
}

/// Returns an upstream of the pool [`MODEL`] or [`BERTH_API`], depending on its kind.
pub fn upstream(
    id: &str,
    address: SocketAddr,
    kind: UpstreamKind,
    failure_domain: &str,
    slots: u32,
) -> UpstreamSpec {
    let pool = match kind {
        UpstreamKind::Engine => MODEL,
        UpstreamKind::Service => BERTH_API,
    };
    UpstreamSpec {
        id: id.into(),
        address,
        kind,
        pools: vec![pool.into()],
        failure_domain: failure_domain.into(),
        slots,
        checks_fencing: true,
        drained: false,
        orders: Vec::new(),
    }
}
