//! A leaving upstream gets no new work after a few seconds.

use std::path::Path;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::vm::wait_until;
use serde_json::json;

/// Maximum time until a leaving upstream gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(4);

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn start() -> Cluster {
    let settings = ClusterSettings { vms: 2, engines: 4, ..ClusterSettings::default() };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

/// Sends requests through all VMs and returns the number that `engine` ran.
fn new_runs(cluster: &Cluster, engine: usize) -> usize {
    let before = cluster.engines[engine].runs().len();
    for number in 0..24 {
        let prompt = format!("tide {number}");
        let chat =
            ChatRequest::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, &prompt);
        let response = client::chat(cluster.vms[number % 2].caller_address, &chat.tokens(2));
        assert!(response.complete, "{response:?}");
    }
    cluster.engines[engine].runs().len() - before
}

fn is_leaving(cluster: &Cluster, engine: usize) -> bool {
    cluster.vms.iter().all(|vm| vm.dump()["router"]["upstreams"][engine + 1]["leaving"] == true)
}

#[test]
fn upstream_listed_as_leaving_gets_no_new_work() {
    let cluster = start();
    assert!(new_runs(&cluster, 1) > 0);
    cluster.platform.list_upstream("engine-1", true);
    assert!(wait_until(LEAVING_LIMIT, || is_leaving(&cluster, 1)), "{}", cluster.vms[0].dump());
    assert_eq!(new_runs(&cluster, 1), 0);
}

#[test]
fn report_of_the_upstream_overrides_a_stale_list() {
    let cluster = start();
    cluster.platform.set_faults(|it| it.list_is_stale = true);
    cluster.platform.list_upstream("engine-1", true);
    cluster.engines[1].set_faults(|it| it.leaving = true);
    assert!(wait_until(LEAVING_LIMIT, || is_leaving(&cluster, 1)));
    cluster.platform.list_upstream("engine-1", false);
    std::thread::sleep(LEAVING_LIMIT);
    assert!(is_leaving(&cluster, 1), "a stale list entry cleared the leaving state");
    assert_eq!(new_runs(&cluster, 1), 0);
}

#[test]
fn operator_drains_and_restores_an_upstream() {
    let cluster = start();
    let drain =
        |drained: bool| json!({ "intent": "drain", "upstream": "engine-1", "drained": drained });
    assert_eq!(cluster.apply(0, &drain(true)).status, 200);
    assert!(wait_until(LEAVING_LIMIT, || cluster.vms.iter().all(|it| it.config_version() == 2)));
    assert_eq!(new_runs(&cluster, 1), 0);
    assert_eq!(cluster.apply(1, &drain(false)).status, 200);
    assert!(wait_until(LEAVING_LIMIT, || cluster.vms.iter().all(|it| it.config_version() == 3)));
    assert!(
        wait_until(WAIT_TIMEOUT, || new_runs(&cluster, 1) > 0),
        "the upstream gets no work again"
    );
}

#[test]
fn upstream_that_stops_leaving_gets_work_again() {
    let cluster = start();
    for engine in &cluster.engines {
        engine.set_faults(|it| it.load_unavailable = true);
    }
    // Only rejected requests report that the upstream is leaving.
    cluster.engines[1].set_faults(|it| it.leaving = true);
    new_runs(&cluster, 1);
    assert!(wait_until(WAIT_TIMEOUT, || new_runs(&cluster, 1) == 0 && is_leaving(&cluster, 1)));
    for engine in &cluster.engines {
        engine.set_faults(|it| *it = Default::default());
    }
    assert!(
        wait_until(WAIT_TIMEOUT, || new_runs(&cluster, 1) > 0),
        "the upstream gets no work again"
    );
}

#[test]
fn leaving_state_is_kept_for_upstreams_not_yet_configured() {
    let mut cluster = start();
    let mut without_upstream = cluster.config.clone();
    without_upstream.upstreams.retain(|it| &*it.id != "engine-1");
    let declare =
        |config: &cranberryvalve_core::Config| json!({ "intent": "declare", "config": config });
    assert_eq!(cluster.apply(0, &declare(&without_upstream)).status, 200);
    cluster.platform.list_upstream("engine-1", true);
    std::thread::sleep(LEAVING_LIMIT);
    assert_eq!(cluster.apply(0, &declare(&cluster.config)).status, 200);
    assert!(wait_until(LEAVING_LIMIT, || is_leaving(&cluster, 1)));
    cluster.platform.set_faults(|it| it.down = true);
    assert_eq!(new_runs(&cluster, 1), 0);
    cluster.vms.clear();
}

#[test]
fn running_stream_finishes_on_a_leaving_upstream() {
    let cluster = start();
    let long = ChatRequest::new(&config::api_key(0), config::COMMENTARY, config::MODEL, "long")
        .tokens(300);
    let mut announced = false;
    let response = client::chat_until(cluster.vms[0].caller_address, &long, |it| {
        if it.tokens.len() == 5 && !announced {
            announced = true;
            for engine in &cluster.engines {
                engine.set_faults(|it| it.leaving = true);
            }
        }
        false
    });
    assert!(response.complete, "{response:?}");
    let runs: usize = cluster.engines.iter().map(|it| it.runs().len()).sum();
    assert_eq!(runs, 1, "the stream was moved to another engine");
}
