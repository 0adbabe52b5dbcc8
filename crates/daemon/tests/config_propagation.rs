//! A confirmed configuration becomes active on every VM and never reverts.

use std::path::Path;
use std::thread;
use std::time::Duration;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::ports::free_address;
use cranberryvalve_standins::proxy::Proxy;
use cranberryvalve_standins::vm::Vm;
use cranberryvalve_standins::vm::wait_until;
use serde_json::Value;
use serde_json::json;

/// Maximum time until a configuration is active on every VM.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(5);

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

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
fn propagates_while_the_store_is_down() {
    let cluster = start(5);
    let plan = cluster.plan(0, "ana", &drain(1)).body;
    let confirmed = cluster.confirm(0, &plan);
    cluster.platform.set_faults(|it| it.down = true);
    assert_eq!(confirmed.body, json!({ "result": "applied", "version": 2 }));
    assert!(
        wait_until(ACTIVATION_LIMIT, || all_have(&cluster, 2)),
        "the configuration is not active on every VM"
    );
}

#[test]
fn one_of_two_concurrent_plans_is_applied() {
    let cluster = start(3);
    for round in 0..3 {
        let plans =
            [0, 1].map(|it| cluster.plan(it, &format!("operator-{it}"), &drain(round)).body);
        let responses = thread::scope(|scope| {
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
            responses.iter().filter_map(|it| it.body["result"].as_str()).collect();
        results.sort_unstable();
        assert_eq!(results, ["applied", "stale"], "{responses:?}");
        let version = round as u64 + 2;
        assert!(wait_until(ACTIVATION_LIMIT, || all_have(&cluster, version)));
    }
}

#[test]
fn resolves_a_lost_reply_of_the_store() {
    let cluster = start(2);
    let plan = cluster.plan(0, "ana", &drain(1)).body;
    cluster.platform.set_faults(|it| it.lost_write_replies = 1);
    assert_eq!(cluster.confirm(0, &plan).body["result"], "applied");
    assert_eq!(cluster.confirm(1, &plan).body, json!({ "result": "applied", "version": 2 }));
}

#[test]
fn reports_an_outage_during_confirmation() {
    let cluster = start(2);
    let plan = cluster.plan(0, "ana", &drain(1)).body;
    cluster.platform.set_faults(|it| it.down = true);
    let response = cluster.confirm(0, &plan);
    assert_eq!((response.status, &response.body["result"]), (503, &json!("not_applied")));
    cluster.platform.set_faults(|it| it.down = false);
    let applied =
        wait_until(WAIT_TIMEOUT, || cluster.confirm(1, &plan).body["result"] == "applied");
    assert!(applied, "the plan cannot be confirmed after the outage");
    assert!(wait_until(ACTIVATION_LIMIT, || all_have(&cluster, 2)));
}

#[test]
fn new_vm_gets_the_configuration_from_peers() {
    let mut cluster = start(3);
    cluster.apply(0, &drain(1));
    assert!(wait_until(ACTIVATION_LIMIT, || all_have(&cluster, 2)));
    cluster.platform.set_faults(|it| it.tables_down = true);
    let new_vm = cluster.add_vm().expect("a VM");
    new_vm.wait_ready(WAIT_TIMEOUT);
    assert_eq!(new_vm.config_version(), 2);
}

#[test]
fn isolated_vm_rejects_new_work() {
    let mut cluster = start(2);
    cluster.vms[1].kill();
    cluster.platform.set_faults(|it| it.down = true);
    let chat = ChatRequest::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, "bar?");
    let stopped = wait_until(WAIT_TIMEOUT, || {
        let response = client::chat(cluster.vms[0].caller_address, &chat);
        response.reason == "config_stale"
    });
    assert!(stopped, "an isolated VM still accepts work");
    assert!(!cluster.vms[0].is_ready());
    cluster.platform.set_faults(|it| it.down = false);
    cluster.vms[0].wait_ready(WAIT_TIMEOUT);
}

#[test]
fn peers_keep_serving_without_the_store() {
    let cluster = start(3);
    cluster.platform.set_faults(|it| it.down = true);
    thread::sleep(ACTIVATION_LIMIT + Duration::from_secs(2));
    let chat = ChatRequest::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, "bar?");
    for vm in &cluster.vms {
        assert!(client::chat(vm.caller_address, &chat).complete);
    }
}

#[test]
fn paused_vm_catches_up() {
    let cluster = start(3);
    cluster.vms[2].pause();
    assert_eq!(cluster.apply(0, &drain(1)).status, 200);
    // Wait for the version, since a plan that the second VM makes before would be stale.
    assert!(wait_until(ACTIVATION_LIMIT, || cluster.vms[1].config_version() == 2));
    assert_eq!(cluster.apply(1, &drain(2)).status, 200);
    cluster.vms[2].resume();
    assert!(wait_until(ACTIVATION_LIMIT, || all_have(&cluster, 3)));
}

#[test]
fn silent_peer_link_is_reconnected() {
    // The second VM can get the configuration over one link only, through the proxy.
    let mut cluster = start(1);
    let peers = free_address();
    let proxy = Proxy::start(peers).expect("a proxy");
    let mut settings = cluster.vms[0].settings.clone();
    settings.name = "vm-behind-proxy".to_owned();
    settings.flags.extend(["--advertised-address".to_owned(), proxy.address().to_string()]);
    let addresses = [free_address(), free_address(), peers];
    let vm = Vm::start_at(settings, addresses).expect("a VM");
    cluster.platform.list_vm(PeerAddress { address: proxy.address(), ..vm.list_entry() });
    cluster.vms.push(vm);
    cluster.vms[1].wait_ready(WAIT_TIMEOUT);
    let know_each_other = || cluster.vms.iter().all(|it| it.dump()["members_alive"] == 2);
    assert!(wait_until(WAIT_TIMEOUT, know_each_other), "the VMs do not discover each other");
    proxy.stall_open_connections();
    assert_eq!(cluster.apply(0, &drain(1)).status, 200);
    cluster.platform.set_faults(|it| it.down = true);
    assert!(
        wait_until(ACTIVATION_LIMIT, || all_have(&cluster, 2)),
        "the silent link is not replaced"
    );
}

#[test]
fn partitioned_vms_catch_up_and_never_revert() {
    let cluster = start(3);
    let plan = cluster.plan(0, "ana", &drain(1)).body;
    cluster.vms[1].pause();
    cluster.vms[2].pause();
    assert_eq!(cluster.confirm(0, &plan).status, 200);
    cluster.platform.set_faults(|it| it.down = true);
    cluster.vms[1].resume();
    cluster.vms[2].resume();
    // The two paused VMs are the majority, and still adopt the higher version.
    assert!(wait_until(ACTIVATION_LIMIT, || all_have(&cluster, 2)));
    thread::sleep(Duration::from_secs(2));
    assert!(all_have(&cluster, 2), "a VM reverted to an older version");
}

#[test]
fn unreachable_vm_must_be_acknowledged() {
    let mut cluster = start(3);
    let know_each_other = || cluster.vms.iter().all(|it| it.dump()["members_alive"] == 3);
    assert!(wait_until(WAIT_TIMEOUT, know_each_other), "the VMs do not discover each other");
    let early = cluster.plan(0, "ana", &drain(1)).body;
    cluster.vms[2].kill();
    assert!(wait_until(WAIT_TIMEOUT, || cluster.vms[0].dump()["members_alive"] == 2));
    let refused = cluster.confirm(0, &early);
    assert_eq!(refused.status, 428);
    assert!(refused.body["error"].to_string().contains("vm-unreachable:vm-2"), "{refused:?}");
    let late = cluster.plan(0, "ana", &drain(1)).body;
    assert_eq!(cluster.confirm(0, &late).status, 200, "all hazards are acknowledged");
}

#[test]
fn altered_plan_is_rejected() {
    let cluster = start(1);
    let mut plan = cluster.plan(0, "ana", &drain(1)).body;
    plan["hazards"] = json!([]);
    plan["config"]["upstream"] = json!([]);
    let response = cluster.confirm(0, &plan);
    assert_eq!(response.status, 422, "{response:?}");
    assert_eq!(cluster.vms[0].config_version(), 1);
}
