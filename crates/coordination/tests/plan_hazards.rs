//! Hazards of a plan, at the limits of the numbers in a configuration.

use std::sync::Arc;

use cranberryvalve_coordination::plan::Hazard;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_core::Config;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ServiceClass;
use cranberryvalve_core::UpstreamKind;
use cranberryvalve_core::UpstreamSpec;

const POOL: &str = "tide-model";

/// Returns a configuration whose pool has an engine with each of these numbers of slots.
fn config(slots: &[u32]) -> Config {
    let upstreams = slots.iter().zip(0_u16..).map(|(slots, index)| UpstreamSpec {
        id: format!("engine-{index}").into(),
        address: ([127, 0, 0, 1], 9_000 + index).into(),
        kind: UpstreamKind::Engine,
        pools: vec![POOL.into()],
        failure_domain: "lyttelton".into(),
        slots: *slots,
        checks_fencing: true,
        drained: false,
        orders: Vec::new(),
    });
    let class = ServiceClass {
        id: "tide-check".into(),
        tier: 0,
        first_token_target_ms: 1_500,
        token_interval_target_ms: 39,
        queue_limit_ms: 30_000,
        promote_after_ms: 6_000,
        silence_limit_ms: 3_000,
        answer_limit_ms: 300_000,
    };
    Config { upstreams: upstreams.collect(), classes: vec![class], ..Config::default() }
}

/// Returns the hazards of a change from one configuration to another.
fn hazards(before: &[u32], after: &[u32]) -> Vec<Hazard> {
    let initial = ConfigDocument::initial();
    let base = ConfigDocument { config: Arc::new(config(before)), ..initial };
    Plan::new("plan-1".into(), "ana".into(), &base, Arc::new(config(after))).hazards
}

#[test]
fn loss_of_very_many_slots_is_a_hazard() {
    let loss = Hazard::CapacityLoss { pool: POOL.into(), loss_percent: 50 };
    assert_eq!(hazards(&[2_000_000_000], &[1_000_000_000]), [loss]);
}

#[test]
fn slots_of_a_pool_may_add_up_above_the_largest_number() {
    let loss = Hazard::CapacityLoss { pool: POOL.into(), loss_percent: 99 };
    assert_eq!(hazards(&[u32::MAX, u32::MAX], &[1]), [loss]);
}
