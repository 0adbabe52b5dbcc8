//! An accepted configuration is in force everywhere, and never reverts.

use std::path::Path;
use std::thread;
use std::time::Duration;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_standins::client;
use cranberryvalve_standins::client::Chat;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::ports::free_address;
use cranberryvalve_standins::proxy::Proxy;
use cranberryvalve_standins::vm::Vm;
use cranberryvalve_standins::vm::wait_until;
use serde_json::Value;
use serde_json::json;

/// Time within which a configuration has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

const SOON: Duration = Duration::from_secs(30);

fn start(vms: usize) -> Cluster {
    let settings = ClusterSettings { vms, engines: 6, ..ClusterSettings::default() };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

fn drain(engine: usize) -> Value {
    json!({ "intent": "drain", "upstream": format!("engine-{engine}"), "drained": true })
}

fn all_have(cluster: &Cluster, version: u64) -> bool {
    cluster.vms.iter().all(|vm| vm.config_version() == version)
}

#[test]
fn spreads_while_the_store_is_down() {
    let cluster = start(5);
    let plan = cluster.plan(0, "ana", &drain(1)).body;
    let confirmed = cluster.confirm(0, &plan);
    cluster.platform.set_faults(|it| it.down = true);
    assert_eq!(confirmed.body, json!({ "result": "applied", "version": 2 }));
    assert!(wait_until(IN_FORCE, || all_have(&cluster, 2)), "not in force everywhere");
}

#[test]
fn racing_operators_apply_one() {
    let cluster = start(3);
    for round in 0..3 {
        let plans =
            [0, 1].map(|it| cluster.plan(it, &format!("operator-{it}"), &drain(round)).body);
        let replies = thread::scope(|scope| {
            let cluster = &cluster;
            let threads = [0, 1].map(|it| {
                scope.spawn({
                    let plan = &plans[it];
                    move || cluster.confirm(it, plan)
                })
            });
            threads.map(|it| it.join().expect("an operator does not panic"))
        });
        let mut results: Vec<&str> =
            replies.iter().filter_map(|it| it.body["result"].as_str()).collect();
        results.sort_unstable();
        assert_eq!(results, ["applied", "stale"], "{replies:?}");
        let version = round as u64 + 2;
        assert!(wait_until(IN_FORCE, || all_have(&cluster, version)));
    }
}

#[test]
fn lost_reply_is_resolved() {
    let cluster = start(2);
    let plan = cluster.plan(0, "ana", &drain(1)).body;
    cluster.platform.set_faults(|it| it.lose_write_replies = 1);
    assert_eq!(cluster.confirm(0, &plan).body["result"], "applied");
    assert_eq!(cluster.confirm(1, &plan).body, json!({ "result": "applied", "version": 2 }));
}

#[test]
fn outage_during_confirmation_is_told() {
    let cluster = start(2);
    let plan = cluster.plan(0, "ana", &drain(1)).body;
    cluster.platform.set_faults(|it| it.down = true);
    let reply = cluster.confirm(0, &plan);
    assert_eq!((reply.status, &reply.body["result"]), (503, &json!("not_applied")));
    cluster.platform.set_faults(|it| it.down = false);
    let applied = wait_until(SOON, || cluster.confirm(1, &plan).body["result"] == "applied");
    assert!(applied, "the plan cannot be confirmed after the outage");
    assert!(wait_until(IN_FORCE, || all_have(&cluster, 2)));
}

#[test]
fn newcomer_learns_from_peers() {
    let mut cluster = start(3);
    cluster.apply(0, &drain(1));
    assert!(wait_until(IN_FORCE, || all_have(&cluster, 2)));
    cluster.platform.set_faults(|it| it.tables_down = true);
    let newcomer = cluster.add_vm().expect("a VM");
    newcomer.wait_ready(SOON);
    assert_eq!(newcomer.config_version(), 2);
}

#[test]
fn lone_vm_stops_taking_work() {
    let mut cluster = start(2);
    cluster.vms[1].kill();
    cluster.platform.set_faults(|it| it.down = true);
    let chat = Chat::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, "bar?");
    let stopped = wait_until(SOON, || {
        let reply = client::chat(cluster.vms[0].callers, &chat);
        reply.reason == "config_stale"
    });
    assert!(stopped, "a VM that hears nobody goes on taking work");
    assert!(!cluster.vms[0].is_ready());
    cluster.platform.set_faults(|it| it.down = false);
    cluster.vms[0].wait_ready(SOON);
}

#[test]
fn peers_keep_each_other_in_work() {
    let cluster = start(3);
    cluster.platform.set_faults(|it| it.down = true);
    thread::sleep(IN_FORCE + Duration::from_secs(2));
    let chat = Chat::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, "bar?");
    for vm in &cluster.vms {
        assert!(client::chat(vm.callers, &chat).complete);
    }
}

#[test]
fn paused_vm_catches_up() {
    let cluster = start(3);
    cluster.vms[2].pause();
    assert_eq!(cluster.apply(0, &drain(1)).status, 200);
    // A plan made on the second VM before it has the version would rightly be stale.
    assert!(wait_until(IN_FORCE, || cluster.vms[1].config_version() == 2));
    assert_eq!(cluster.apply(1, &drain(2)).status, 200);
    cluster.vms[2].resume();
    assert!(wait_until(IN_FORCE, || all_have(&cluster, 3)));
}

#[test]
fn silent_peer_link_is_dialled_anew() {
    // The second VM hears of the configuration over one link only, through the proxy.
    let mut cluster = start(1);
    let peers = free_address();
    let proxy = Proxy::start(peers).expect("a proxy");
    let mut settings = cluster.vms[0].settings.clone();
    settings.name = "vm-behind-proxy".to_owned();
    settings.flags.extend(["--advertised-address".to_owned(), proxy.address().to_string()]);
    let addresses = [free_address(), free_address(), peers];
    let vm = Vm::start_at(settings, addresses).expect("a VM");
    cluster.platform.list_vm(PeerAddress { address: proxy.address(), ..vm.listing() });
    cluster.vms.push(vm);
    cluster.vms[1].wait_ready(SOON);
    let meet = || cluster.vms.iter().all(|it| it.dump()["members_alive"] == 2);
    assert!(wait_until(SOON, meet), "the VMs do not meet");
    proxy.silence_present();
    assert_eq!(cluster.apply(0, &drain(1)).status, 200);
    cluster.platform.set_faults(|it| it.down = true);
    assert!(wait_until(IN_FORCE, || all_have(&cluster, 2)), "the silent link is not replaced");
}

#[test]
fn parted_region_catches_up_and_never_reverts() {
    let cluster = start(3);
    let plan = cluster.plan(0, "ana", &drain(1)).body;
    cluster.vms[1].pause();
    cluster.vms[2].pause();
    assert_eq!(cluster.confirm(0, &plan).status, 200);
    cluster.platform.set_faults(|it| it.down = true);
    cluster.vms[1].resume();
    cluster.vms[2].resume();
    // The two that were parted are the majority, and still take the higher version.
    assert!(wait_until(IN_FORCE, || all_have(&cluster, 2)));
    thread::sleep(Duration::from_secs(2));
    assert!(all_have(&cluster, 2), "a VM went back");
}

#[test]
fn unreachable_vm_has_to_be_acknowledged() {
    let mut cluster = start(3);
    let meet = || cluster.vms.iter().all(|it| it.dump()["members_alive"] == 3);
    assert!(wait_until(SOON, meet), "the VMs do not meet");
    let early = cluster.plan(0, "ana", &drain(1)).body;
    cluster.vms[2].kill();
    assert!(wait_until(SOON, || cluster.vms[0].dump()["members_alive"] == 2));
    let refused = cluster.confirm(0, &early);
    assert_eq!(refused.status, 428);
    assert!(refused.body["error"].to_string().contains("vm-unreachable:vm-2"), "{refused:?}");
    let late = cluster.plan(0, "ana", &drain(1)).body;
    assert_eq!(cluster.confirm(0, &late).status, 200, "all hazards are acknowledged");
}

#[test]
fn altered_plan_is_refused() {
    let cluster = start(1);
    let mut plan = cluster.plan(0, "ana", &drain(1)).body;
    plan["hazards"] = json!([]);
    plan["config"]["upstream"] = json!([]);
    let reply = cluster.confirm(0, &plan);
    assert_eq!(reply.status, 422, "{reply:?}");
    assert_eq!(cluster.vms[0].config_version(), 1);
}
