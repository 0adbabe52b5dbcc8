//! An upstream that is leaving receives no new work after a few seconds.

use std::path::Path;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::Chat;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::vm::wait_until;
use serde_json::json;

/// Time after which a leaving upstream may get no new work.
const NO_NEW_WORK: Duration = Duration::from_secs(4);

const SOON: Duration = Duration::from_secs(20);

fn start() -> Cluster {
    let settings = ClusterSettings { vms: 2, engines: 4, ..ClusterSettings::default() };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

/// Sends requests through all VMs and returns how many runs `engine` got from them.
fn new_runs(cluster: &Cluster, engine: usize) -> usize {
    let before = cluster.engines[engine].runs().len();
    for number in 0..24 {
        let prompt = format!("tide {number}");
        let chat = Chat::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, &prompt);
        let reply = client::chat(cluster.vms[number % 2].callers, &chat.tokens(2));
        assert!(reply.complete, "{reply:?}");
    }
    cluster.engines[engine].runs().len() - before
}

fn is_leaving(cluster: &Cluster, engine: usize) -> bool {
    cluster.vms.iter().all(|vm| vm.dump()["router"]["upstreams"][engine + 1]["leaving"] == true)
}

#[test]
fn list_says_leaving() {
    let cluster = start();
    assert!(new_runs(&cluster, 1) > 0);
    cluster.platform.list_upstream("engine-1", true);
    assert!(wait_until(NO_NEW_WORK, || is_leaving(&cluster, 1)), "{}", cluster.vms[0].dump());
    assert_eq!(new_runs(&cluster, 1), 0);
}

#[test]
fn own_word_beats_a_stale_list() {
    let cluster = start();
    cluster.platform.set_faults(|it| it.stale_list = true);
    cluster.platform.list_upstream("engine-1", true);
    cluster.engines[1].set_faults(|it| it.leaving = true);
    assert!(wait_until(NO_NEW_WORK, || is_leaving(&cluster, 1)));
    cluster.platform.list_upstream("engine-1", false);
    std::thread::sleep(NO_NEW_WORK);
    assert!(is_leaving(&cluster, 1), "a live in the list brought it back");
    assert_eq!(new_runs(&cluster, 1), 0);
}

#[test]
fn operator_drains_and_returns() {
    let cluster = start();
    let drain =
        |drained: bool| json!({ "intent": "drain", "upstream": "engine-1", "drained": drained });
    assert_eq!(cluster.apply(0, &drain(true)).status, 200);
    assert!(wait_until(NO_NEW_WORK, || cluster.vms.iter().all(|it| it.config_version() == 2)));
    assert_eq!(new_runs(&cluster, 1), 0);
    assert_eq!(cluster.apply(1, &drain(false)).status, 200);
    assert!(wait_until(NO_NEW_WORK, || cluster.vms.iter().all(|it| it.config_version() == 3)));
    assert!(wait_until(SOON, || new_runs(&cluster, 1) > 0), "it gets no work again");
}

#[test]
fn upstream_that_stays_gets_work_again() {
    let cluster = start();
    for engine in &cluster.engines {
        engine.set_faults(|it| it.status_down = true);
    }
    // Only its refusals say that it leaves.
    cluster.engines[1].set_faults(|it| it.leaving = true);
    new_runs(&cluster, 1);
    assert!(wait_until(SOON, || new_runs(&cluster, 1) == 0 && is_leaving(&cluster, 1)));
    for engine in &cluster.engines {
        engine.set_faults(|it| *it = Default::default());
    }
    assert!(wait_until(SOON, || new_runs(&cluster, 1) > 0), "it gets no work again");
}

#[test]
fn leaving_is_known_before_the_configuration() {
    let mut cluster = start();
    let mut without = cluster.config.clone();
    without.upstreams.retain(|it| &*it.id != "engine-1");
    let declare =
        |config: &cranberryvalve_core::Config| json!({ "intent": "declare", "config": config });
    assert_eq!(cluster.apply(0, &declare(&without)).status, 200);
    cluster.platform.list_upstream("engine-1", true);
    std::thread::sleep(NO_NEW_WORK);
    assert_eq!(cluster.apply(0, &declare(&cluster.config)).status, 200);
    assert!(wait_until(NO_NEW_WORK, || is_leaving(&cluster, 1)));
    cluster.platform.set_faults(|it| it.down = true);
    assert_eq!(new_runs(&cluster, 1), 0);
    cluster.vms.clear();
}

#[test]
fn running_stream_ends_in_peace() {
    let cluster = start();
    let long =
        Chat::new(&config::api_key(0), config::COMMENTARY, config::MODEL, "long").tokens(300);
    let mut announced = false;
    let reply = client::chat_until(cluster.vms[0].callers, &long, |it| {
        if it.tokens.len() == 5 && !announced {
            announced = true;
            for engine in &cluster.engines {
                engine.set_faults(|it| it.leaving = true);
            }
        }
        false
    });
    assert!(reply.complete, "{reply:?}");
    let runs: usize = cluster.engines.iter().map(|it| it.runs().len()).sum();
    assert_eq!(runs, 1, "the stream was moved");
}
