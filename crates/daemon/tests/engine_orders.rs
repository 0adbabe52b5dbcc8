//! Each order to an engine is carried out once and in sequence, even if VMs stop or pause.

use std::path::Path;
use std::time::Duration;

use cranberryvalve_coordination::orders::MAX_CONCURRENT_WEIGHT_LOADS;
use cranberryvalve_core::EngineOrder;
use cranberryvalve_core::ModelAction;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::engine::Engine;
use cranberryvalve_standins::vm::wait_until;
use serde_json::json;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn start(vms: usize) -> Cluster {
    let settings = ClusterSettings { vms, engines: 6, ..ClusterSettings::default() };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

fn orders() -> Vec<EngineOrder> {
    let order = |action, subject: &str| EngineOrder { action, subject: subject.into() };
    vec![
        order(ModelAction::Load, "harbour-7b-v2"),
        order(ModelAction::Load, "adapter-tides"),
        order(ModelAction::Unload, "harbour-7b-v1"),
    ]
}

/// Applies a configuration with the orders for `engine`.
fn declare(cluster: &Cluster, engine: usize, checks_fencing: bool) {
    let mut config = cluster.config.clone();
    config.upstreams[engine].orders = orders();
    config.upstreams[engine].checks_fencing = checks_fencing;
    let response = cluster.apply(0, &json!({ "intent": "declare", "config": config }));
    assert_eq!(response.status, 200, "{response:?}");
}

fn carried_out(cluster: &Cluster, engine: usize) -> Vec<EngineOrder> {
    cluster.engines[engine].orders().carried_out.into_iter().map(|it| it.order).collect()
}

/// Returns the index of the VM that holds the lease for orders to `engine`.
fn holder(cluster: &Cluster, engine: usize) -> Option<usize> {
    let row = cluster.platform.row(&format!("orders/engine-{engine}"))?;
    let row: serde_json::Value = serde_json::from_slice(&row).ok()?;
    let token = row["holder"].as_str()?.to_owned();
    (0..cluster.vms.len()).find(|it| token.starts_with(&format!("vm-{it}-")))
}

#[test]
fn each_order_is_carried_out_once() {
    let cluster = start(3);
    for engine in 0..6 {
        cluster.engines[engine].set_faults(|it| it.lost_order_responses = 1);
    }
    let mut config = cluster.config.clone();
    config.upstreams.iter_mut().take(6).for_each(|it| it.orders = orders());
    cluster.apply(0, &json!({ "intent": "declare", "config": config }));
    let done = || (0..6).all(|engine| carried_out(&cluster, engine).len() >= 3);
    assert!(wait_until(WAIT_TIMEOUT, done), "not all orders are carried out");
    for engine in 0..6 {
        assert_eq!(carried_out(&cluster, engine), orders());
    }
}

#[test]
fn an_order_that_is_declined_without_attestation_is_not_sent_again_while_it_runs() {
    let cluster = start(3);
    let statuses = [408, 421, 429, 503];
    let mut config = cluster.config.clone();
    for (engine, status) in statuses.into_iter().enumerate() {
        cluster.engines[engine].set_faults(|it| {
            it.early_order_status = Some(status);
            it.order_delay = Duration::from_millis(1_500);
        });
        config.upstreams[engine].orders = orders();
    }
    cluster.apply(0, &json!({ "intent": "declare", "config": config }));
    let done = || (0..statuses.len()).all(|it| carried_out(&cluster, it).len() >= 3);
    assert!(wait_until(WAIT_TIMEOUT, done), "not all orders are carried out");
    std::thread::sleep(Duration::from_secs(3));
    for (engine, status) in statuses.into_iter().enumerate() {
        assert_eq!(carried_out(&cluster, engine), orders(), "{status}");
    }
}

#[test]
fn loads_in_doubt_keep_their_permits() {
    let cluster = start(3);
    let mut config = cluster.config.clone();
    for engine in 0..6 {
        cluster.engines[engine].set_faults(|it| {
            it.early_order_status = Some(408);
            it.order_delay = Duration::from_secs(2);
        });
        config.upstreams[engine].orders = orders()[..1].to_vec();
    }
    cluster.apply(0, &json!({ "intent": "declare", "config": config }));
    let mut most = 0;
    let done = wait_until(WAIT_TIMEOUT, || {
        let logs: Vec<_> = cluster.engines.iter().take(6).map(Engine::orders).collect();
        most = most.max(logs.iter().map(|it| it.in_progress).sum());
        logs.iter().all(|it| !it.carried_out.is_empty())
    });
    assert!(done, "not all loads are carried out");
    assert!(most <= MAX_CONCURRENT_WEIGHT_LOADS as usize, "{most} loads at a time");
}

#[test]
fn another_vm_takes_over_from_a_killed_lease_holder() {
    let mut cluster = start(3);
    cluster.engines[0].set_faults(|it| it.order_delay = Duration::from_millis(1_500));
    declare(&cluster, 0, true);
    assert!(wait_until(WAIT_TIMEOUT, || !carried_out(&cluster, 0).is_empty()));
    let killed = holder(&cluster, 0).expect("a holder");
    cluster.vms[killed].kill();
    assert!(wait_until(WAIT_TIMEOUT, || carried_out(&cluster, 0).len() >= 3), "no VM takes over");
    assert_eq!(carried_out(&cluster, 0), orders());
}

#[test]
fn paused_lease_holder_does_not_repeat_orders() {
    for checks_fencing in [true, false] {
        let cluster = start(3);
        cluster.engines[0].set_faults(|it| {
            it.order_delay = Duration::from_millis(1_000);
            it.ignores_fencing = !checks_fencing;
        });
        declare(&cluster, 0, checks_fencing);
        assert!(wait_until(WAIT_TIMEOUT, || !carried_out(&cluster, 0).is_empty()));
        let paused = holder(&cluster, 0).expect("a holder");
        cluster.vms[paused].pause();
        assert!(
            wait_until(WAIT_TIMEOUT, || carried_out(&cluster, 0).len() >= 3),
            "no VM takes over"
        );
        cluster.vms[paused].resume();
        std::thread::sleep(Duration::from_secs(3));
        assert_eq!(carried_out(&cluster, 0), orders());
    }
}
