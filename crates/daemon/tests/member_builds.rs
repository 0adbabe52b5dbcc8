//! Each VM shows what all VMs run.

use std::path::Path;
use std::time::Duration;

use cranberryvalve_coordination::builds::PROTOCOL_VERSION;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::peer::logs_other_versions;
use cranberryvalve_standins::peer::shows_other_versions;
use cranberryvalve_standins::peer::start_other_versions;
use cranberryvalve_standins::vm::SHARED_SECRET;
use cranberryvalve_standins::vm::Vm;
use cranberryvalve_standins::vm::wait_until;
use serde_json::Value;
use serde_json::json;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns what the dump of a VM shows of these VMs once all of them have announced their build, in
/// the order of the names.
fn expected(shown: &Value, names: &[&str]) -> Value {
    // All run the program under test, whose build has the name that the VM shows of itself.
    let build = &shown[0]["build"];
    let member = |vm: &&str| {
        json!({ "vm": vm, "build": build, "protocol_version": PROTOCOL_VERSION,
            "capabilities": [] })
    };
    names.iter().map(member).collect()
}

fn shows(vm: &Vm, names: &[&str]) -> bool {
    let mut shown = vm.dump()["member_builds"].take();
    let is_named = shown[0]["build"].as_str().is_some_and(|it| !it.is_empty());
    let expected = expected(&shown, names);
    if let Some(members) = shown.as_array_mut() {
        members.sort_by_key(|it| it["vm"].to_string());
    }
    is_named && shown == expected
}

#[test]
fn builds_of_others_are_never_missing_or_overstated() {
    let settings = ClusterSettings { vms: 3, engines: 1, ..ClusterSettings::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_cranberryvalved"));
    let mut cluster = Cluster::start(program, settings).expect("the deployment starts");
    let names: Vec<String> = cluster.vms.iter().map(|it| it.settings.name.clone()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let all_show = |cluster: &Cluster| cluster.vms.iter().all(|it| shows(it, &names));
    let dumps = |cluster: &Cluster| cluster.vms.iter().map(Vm::dump).collect::<Vec<_>>();
    assert!(wait_until(WAIT_TIMEOUT, || all_show(&cluster)), "{:#?}", dumps(&cluster));
    // A VM that is gone is not shown, and one that comes back is shown again.
    cluster.vms[2].kill();
    let others = &names[..2];
    assert!(wait_until(WAIT_TIMEOUT, || shows(&cluster.vms[0], others)), "{:#?}", dumps(&cluster));
    cluster.vms[2].restart(program).expect("the daemon starts");
    assert!(wait_until(WAIT_TIMEOUT, || all_show(&cluster)), "{:#?}", dumps(&cluster));
}

#[test]
fn vms_of_other_versions_are_named() {
    let settings = ClusterSettings { vms: 1, engines: 1, ..ClusterSettings::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_cranberryvalved"));
    let cluster = Cluster::start(program, settings).expect("the deployment starts");
    let vm = &cluster.vms[0];
    let other = (&*vm.settings.name, vm.peer_address);
    let _peers = start_other_versions(SHARED_SECRET.as_bytes(), other);
    let members = || vm.dump()["member_builds"].take();
    assert!(wait_until(WAIT_TIMEOUT, || shows_other_versions(&members())), "{:#}", members());
    let own_build = members()[0]["build"].take();
    assert!(
        wait_until(WAIT_TIMEOUT, || logs_other_versions(&vm.log(), &own_build)),
        "{}",
        vm.log()
    );
    assert_eq!(cluster.book(0, "booking-1").status, 200, "it serves its callers all the same");
}
