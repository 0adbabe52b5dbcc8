//! The store comes back from a copy that lacks its latest writes.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_standins::client::ServiceResponse;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::vm::wait_until;
use serde_json::json;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time within which callers of these tests repeat their calls.
const REPEAT_WINDOW: Duration = Duration::from_secs(8);

fn start(vms: usize) -> Cluster {
    let window_ms = REPEAT_WINDOW.as_millis().to_string();
    let settings = ClusterSettings {
        vms,
        engines: 1,
        services: 2,
        vm_flags: vec!["--repeat-window-ms".to_owned(), window_ms],
        ..ClusterSettings::default()
    };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

#[test]
fn lost_claims_do_not_run_calls_twice() {
    let cluster = start(3);
    cluster.platform.keep_copy();
    assert_eq!(cluster.book(0, "booked").outcome, "completed");
    cluster.platform.restore();
    let restored_at = Instant::now();
    for vm in 0..3 {
        let repeated = cluster.book(vm, "booked");
        assert_eq!(repeated.outcome, "unknown", "VM {vm}: {:?}", repeated.body);
        assert_eq!(cluster.book(vm, "new").outcome, "unknown");
    }
    assert_eq!((cluster.effect_count("booked"), cluster.effect_count("new")), (1, 0));
    let is_accepted = || cluster.book(1, "new").outcome == "completed";
    assert!(wait_until(WAIT_TIMEOUT, is_accepted), "log:\n{}", cluster.vms[1].log());
    assert!(restored_at.elapsed() >= REPEAT_WINDOW);
    assert_eq!(cluster.effect_count("new"), 1);
}

#[test]
fn running_calls_are_recorded_after_a_restoration() {
    let cluster = start(2);
    cluster.platform.keep_copy();
    for service in &cluster.services {
        service.set_faults(|it| it.delay = Duration::from_secs(4));
    }
    thread::scope(|scope| {
        let running = scope.spawn(|| cluster.book(0, "booked"));
        assert!(wait_until(WAIT_TIMEOUT, || !cluster.platform.keys("ledger/").is_empty()));
        cluster.platform.restore();
        assert!(cluster.platform.keys("ledger/").is_empty());
        let is_written = || !cluster.platform.keys("ledger/").is_empty();
        assert!(wait_until(Duration::from_millis(3_500), is_written), "not claimed again");
        assert_eq!(running.join().expect("no panic").outcome, "completed");
    });
    let repeated = cluster.book(1, "booked");
    assert_eq!((&*repeated.outcome, cluster.effect_count("booked")), ("completed", 1));
}

#[test]
fn six_vms_lose_nothing_over_three_restorations_under_load() {
    let cluster = start(6);
    let keys: Vec<String> = (0..6).map(|vm| format!("booking-{vm}")).collect();
    let mut confirmed_version = version(&cluster, 0);
    for round in 0..3 {
        cluster.platform.keep_copy();
        let responses = thread::scope(|scope| {
            let threads: Vec<_> = (0..6)
                .map(|vm| {
                    let (cluster, key) = (&cluster, format!("{}-{round}", keys[vm]));
                    scope.spawn(move || [cluster.book(vm, &key), cluster.book((vm + 1) % 6, &key)])
                })
                .collect();
            let drain =
                json!({ "intent": "drain", "upstream": "engine-0", "drained": round % 2 == 0 });
            assert_eq!(cluster.apply(round, &drain).status, 200);
            confirmed_version += 1;
            cluster.platform.restore();
            threads.into_iter().flat_map(|it| it.join().expect("no panic")).collect::<Vec<_>>()
        });
        for key in &keys {
            assert!(
                cluster.effect_count(&format!("{key}-{round}")) <= 1,
                "{key}-{round} ran twice"
            );
        }
        let is_known = |it: &ServiceResponse| ["completed", "unknown"].contains(&&*it.outcome);
        assert!(responses.iter().all(is_known), "{responses:?}");
        for vm in 0..6 {
            let is_current = || version(&cluster, vm) == confirmed_version;
            assert!(wait_until(WAIT_TIMEOUT, is_current), "VM {vm}: {}", version(&cluster, vm));
        }
        let head = || cluster.platform.row("config/head").unwrap_or_default();
        let is_written_again = || stored_version(&head()) == Some(confirmed_version);
        assert!(wait_until(WAIT_TIMEOUT, is_written_again), "the head row is not written again");
    }
}

/// Returns the version that a VM uses.
fn version(cluster: &Cluster, vm: usize) -> u64 {
    cluster.vms[vm].dump()["config"]["version"].as_u64().unwrap_or_default()
}

/// Returns the version in the content of a head row.
fn stored_version(row: &[u8]) -> Option<u64> {
    serde_json::from_slice::<serde_json::Value>(row).ok()?["version"].as_u64()
}

#[test]
fn release_that_is_lost_is_carried_out_again() {
    let cluster = start(2);
    for service in &cluster.services {
        service.set_faults(|it| it.rejecting = true);
    }
    let state = || ledger_state(&cluster);
    thread::scope(|scope| {
        let refused = scope.spawn(|| cluster.book(0, "refused"));
        assert!(wait_until(WAIT_TIMEOUT, || state().as_deref() == Some("claimed")));
        cluster.platform.keep_copy();
        assert_eq!(refused.join().expect("no panic").outcome, "not_run");
    });
    assert!(wait_until(WAIT_TIMEOUT, || state().as_deref() == Some("void")));
    cluster.platform.restore();
    assert_eq!(state().as_deref(), Some("claimed"));
    let is_released = wait_until(WAIT_TIMEOUT, || state().as_deref() == Some("void"));
    assert!(is_released, "log:\n{}", cluster.vms[0].log());
    for service in &cluster.services {
        service.set_faults(|it| it.rejecting = false);
    }
    let is_accepted = || cluster.book(1, "refused").outcome == "completed";
    assert!(wait_until(WAIT_TIMEOUT, is_accepted), "log:\n{}", cluster.vms[1].log());
    assert_eq!(cluster.effect_count("refused"), 1);
}

/// Returns the state of the only row of the ledger.
fn ledger_state(cluster: &Cluster) -> Option<String> {
    let key = cluster.platform.keys("ledger/").pop()?;
    let row = cluster.platform.row(&key)?;
    let row = serde_json::from_slice::<serde_json::Value>(&row).ok()?;
    row["state"].as_str().map(str::to_owned)
}
