//! Higher tiers take precedence over lower ones, and every tier is served eventually.

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::client::ChatResponse;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::vm::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn start() -> Cluster {
    let settings = ClusterSettings { vms: 3, engines: 2, ..ClusterSettings::default() };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

/// Returns whether no engine accepts more requests of `class`.
///
/// Each tier leaves two slots of an engine free for every tier above it.
fn is_full_for(cluster: &Cluster, class: &str) -> bool {
    let slots = match class {
        config::REPLAN => 4,
        config::COMMENTARY => 6,
        _ => 8,
    };
    cluster.engines.iter().all(|it| it.running() >= slots)
}

fn chat(class: &str, number: usize, tokens: u64) -> ChatRequest {
    let prompt = format!("{class} {number}");
    ChatRequest::new(&config::api_key(number % 4), class, config::MODEL, &prompt).tokens(tokens)
}

#[test]
fn tide_checks_are_served_during_a_flood_of_replans() {
    let cluster = start();
    let responses: Vec<ChatResponse> = thread::scope(|scope| {
        let cluster = &cluster;
        // Two VMs receive replans far above capacity; the third receives the tide checks.
        for number in 0..80 {
            let callers = cluster.vms[number % 2].caller_address;
            scope.spawn(move || client::chat(callers, &chat(config::REPLAN, number, 120)));
        }
        let is_full = || is_full_for(cluster, config::REPLAN);
        assert!(wait_until(WAIT_TIMEOUT, is_full), "the engines are not full");
        let checks: Vec<_> = (0..30)
            .map(|number| {
                let callers = cluster.vms[2].caller_address;
                scope.spawn(move || client::chat(callers, &chat(config::TIDE_CHECK, number, 10)))
            })
            .collect();
        checks.into_iter().map(|it| it.join().expect("a caller does not panic")).collect()
    });
    for response in &responses {
        assert!(response.complete, "a tide check was shed: {response:?}");
    }
}

#[test]
fn tide_check_is_served_at_an_engine_full_of_replans() {
    let settings = ClusterSettings { vms: 2, engines: 1, ..ClusterSettings::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_cranberryvalved"));
    // With a single tier no slots are left free, so replans can fill the engine.
    let cluster = Cluster::start_with(program, settings, |config| {
        config.classes.iter_mut().for_each(|it| it.tier = 3);
        config.classes[0].queue_limit_ms = 500;
    })
    .expect("the deployment starts");
    let mut tiered = cluster.config.clone();
    tiered.classes[0].tier = 0;
    let response = thread::scope(|scope| {
        let cluster = &cluster;
        for number in 0..8 {
            let callers = cluster.vms[0].caller_address;
            scope.spawn(move || client::chat(callers, &chat(config::REPLAN, number, 1_000)));
        }
        let knows_load = || {
            let upstreams = cluster.vms[1].dump()["router"]["upstreams"].clone();
            upstreams[1]["estimated_in_flight"] == 8
        };
        assert!(
            wait_until(WAIT_TIMEOUT, knows_load),
            "the second VM does not learn that the engine is full"
        );
        let intent = serde_json::json!({ "intent": "declare", "config": tiered });
        assert_eq!(cluster.apply(1, &intent).status, 200);
        client::chat(cluster.vms[1].caller_address, &chat(config::TIDE_CHECK, 0, 10))
    });
    assert!(response.complete, "a tide check was shed while replans held every slot: {response:?}");
}

#[test]
fn replan_is_served_under_constant_tide_checks() {
    let cluster = start();
    let stop = AtomicBool::new(false);
    let response = thread::scope(|scope| {
        let (cluster, stop) = (&cluster, &stop);
        for number in 0..60 {
            let callers = cluster.vms[number % 3].caller_address;
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    client::chat(callers, &chat(config::TIDE_CHECK, number, 40));
                }
            });
        }
        let is_full = || is_full_for(cluster, config::TIDE_CHECK);
        assert!(wait_until(WAIT_TIMEOUT, is_full), "the engines are not full");
        let response = client::chat(cluster.vms[0].caller_address, &chat(config::REPLAN, 0, 20));
        stop.store(true, Ordering::SeqCst);
        response
    });
    assert!(response.complete, "the lowest tier is starved: {response:?}");
}

#[test]
fn burst_of_one_customer_does_not_delay_others() {
    let cluster = start();
    let response = thread::scope(|scope| {
        let cluster = &cluster;
        for number in 0..60 {
            let burst = chat(config::COMMENTARY, number * 4, 100);
            let callers = cluster.vms[0].caller_address;
            scope.spawn(move || client::chat(callers, &burst));
        }
        let is_full = || is_full_for(cluster, config::COMMENTARY);
        assert!(wait_until(WAIT_TIMEOUT, is_full), "the engines are not full");
        let other_customer = chat(config::COMMENTARY, 1, 10);
        let response = client::chat(cluster.vms[0].caller_address, &other_customer);
        let still_waiting = cluster.vms[0].dump()["router"]["pools"][0]["waiting_by_tier"].clone();
        (response, still_waiting)
    });
    assert!(response.0.complete);
    assert_ne!(
        response.1["1"], 0,
        "the burst was served before the other customer: {:?}",
        response.1
    );
}
