//! Non-repeatable calls run at most once, and a call reported as `not_run` was not run.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ServiceResponse;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::service::Service;
use cranberryvalve_standins::vm::Vm;
use cranberryvalve_standins::vm::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn start(vms: usize) -> Cluster {
    let settings = ClusterSettings { vms, engines: 1, services: 2, ..ClusterSettings::default() };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

#[test]
fn runs_duplicates_at_all_vms_once() {
    let cluster = start(4);
    for service in &cluster.services {
        service.set_faults(|it| it.delay = Duration::from_millis(50));
    }
    for round in 0..5 {
        let key = format!("booking-{round}");
        let responses: Vec<ServiceResponse> = thread::scope(|scope| {
            let (cluster, key) = (&cluster, &key);
            let threads: Vec<_> =
                (0..8).map(|it| scope.spawn(move || cluster.book(it % 4, key))).collect();
            threads.into_iter().map(|it| it.join().expect("a caller does not panic")).collect()
        });
        assert_eq!(cluster.effect_count(&key), 1);
        let outcomes: Vec<&str> = responses.iter().map(|it| &*it.outcome).collect();
        assert!(outcomes.contains(&"completed"), "{outcomes:?}");
        assert!(outcomes.iter().all(|it| ["completed", "unknown"].contains(it)), "{outcomes:?}");
    }
}

#[test]
fn completes_a_call_whose_claim_reply_was_lost() {
    let cluster = start(1);
    cluster.platform.set_faults(|it| it.lost_write_replies = 1);
    let response = cluster.book(0, "booking");
    assert_eq!(response.outcome, "completed");
    assert_eq!(cluster.effect_count("booking"), 1);
}

#[test]
fn attempt_ids_differ_after_a_restart() {
    let mut cluster = start(1);
    assert_eq!(cluster.book(0, "before").outcome, "completed");
    let vm = &mut cluster.vms[0];
    vm.kill();
    let addresses = [vm.caller_address, vm.operator_address, vm.peer_address];
    *vm = Vm::start_at(vm.settings.clone(), addresses).expect("the daemon starts");
    cluster.vms[0].wait_ready(WAIT_TIMEOUT);
    assert_eq!(cluster.book(0, "after").outcome, "completed");
    let effects: Vec<_> = cluster.services.iter().flat_map(Service::effects).collect();
    let ids: Vec<&str> = effects.iter().map(|it| &*it.attempt_id).collect();
    assert_eq!(ids.len(), 2);
    assert_ne!(ids[0], ids[1]);
}

#[test]
fn callers_of_services_that_leave_are_counted() {
    let cluster = start(1);
    for service in &cluster.services {
        service.set_faults(|it| it.delay = Duration::from_secs(3));
    }
    let vm = &cluster.vms[0];
    let request = format!(
        "GET /berths/4 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\r\n",
        config::api_key(0)
    );
    let mut stream = TcpStream::connect(vm.caller_address).expect("the VM listens");
    stream.write_all(request.as_bytes()).expect("the request is sent");
    thread::sleep(Duration::from_millis(500));
    drop(stream);
    let is_counted = || {
        let metrics = client::operator(vm.operator_address, "GET", "/metrics", None);
        let metrics = metrics.map(|it| it.body.as_str().unwrap_or_default().to_owned());
        metrics.is_some_and(|it| it.contains("cranberryvalve_callers_left_total{"))
    };
    assert!(wait_until(WAIT_TIMEOUT, is_counted));
}

#[test]
fn late_claim_write_does_not_block_the_key() {
    let cluster = start(1);
    cluster.platform.set_faults(|it| {
        it.late_writes = 3;
        it.late_write_delay = Duration::from_millis(400);
    });
    let first = cluster.book(0, "booking");
    assert_eq!(first.outcome, "not_run");
    assert_eq!(cluster.effect_count("booking"), 0);
    let released = wait_until(WAIT_TIMEOUT, || cluster.vms[0].dump()["releases_waiting"] == 0);
    assert!(released, "the ledger row is not released");
    thread::sleep(Duration::from_millis(500));
    let second = cluster.book(0, "booking");
    assert_eq!(second.outcome, "completed");
    assert_eq!(cluster.effect_count("booking"), 1);
}

#[test]
fn reports_not_run_during_a_store_outage() {
    let cluster = start(1);
    cluster.platform.set_faults(|it| it.down = true);
    let refused = cluster.book(0, "booking");
    assert_eq!((refused.status, &*refused.outcome), (503, "not_run"));
    assert_eq!(refused.body["error"]["reason"], "store_unavailable");
    assert_eq!(cluster.effect_count("booking"), 0);
    cluster.platform.set_faults(|it| it.down = false);
    let served = wait_until(WAIT_TIMEOUT, || cluster.book(0, "booking").outcome == "completed");
    assert!(served, "the key is blocked after the outage");
    assert_eq!(cluster.effect_count("booking"), 1);
}

#[test]
fn refusal_of_a_repeated_call_promises_nothing_of_its_key_unless_it_was_claimed() {
    let cluster = start(2);
    assert_eq!(cluster.book(0, "booked").outcome, "completed");
    let earlier_requests =
        |response: &ServiceResponse| response.body["error"]["earlier_requests"].clone();
    cluster.platform.set_faults(|it| it.down = true);
    for vm in 0..2 {
        let refused = cluster.book(vm, "booked");
        assert_eq!((refused.status, &*refused.outcome), (503, "not_run"));
        assert_eq!(earlier_requests(&refused), "unknown", "VM {vm}: {:?}", refused.body);
    }
    cluster.platform.set_faults(|it| it.down = false);
    for service in &cluster.services {
        service.set_faults(|it| it.rejecting = true);
    }
    let is_refused = || {
        let refused = cluster.book(1, "new");
        let is_claimed = refused.body["error"]["reason"] != "store_unavailable";
        is_claimed && refused.outcome == "not_run" && earlier_requests(&refused).is_null()
    };
    assert!(wait_until(WAIT_TIMEOUT, is_refused), "{:?}", cluster.book(1, "new").body);
}

#[test]
fn call_broken_after_its_effect_stays_unknown() {
    let cluster = start(2);
    for service in &cluster.services {
        service.set_faults(|it| it.cut_after_effect = true);
    }
    assert_eq!(cluster.book(0, "booking").outcome, "unknown");
    for service in &cluster.services {
        service.set_faults(|it| it.cut_after_effect = false);
    }
    assert_eq!(cluster.book(1, "booking").outcome, "unknown");
    assert_eq!(cluster.effect_count("booking"), 1);
}

#[test]
fn refused_call_is_retried_elsewhere_or_not_run() {
    let cluster = start(1);
    cluster.services[0].set_faults(|it| it.rejecting = true);
    for round in 0..4 {
        assert_eq!(cluster.book(0, &format!("booking-{round}")).outcome, "completed");
    }
    cluster.services[1].set_faults(|it| it.rejecting = true);
    let refused = cluster.book(0, "refused");
    assert_eq!(refused.outcome, "not_run");
    assert_eq!(cluster.effect_count("refused"), 0);
    cluster.services[1].set_faults(|it| it.rejecting = false);
    let served = wait_until(WAIT_TIMEOUT, || cluster.book(0, "refused").outcome == "completed");
    assert!(served, "a refused key cannot be used again");
    assert_eq!(cluster.effect_count("refused"), 1);
}

#[test]
fn a_refusal_without_attestation_is_no_promise_and_frees_no_key() {
    let cluster = start(2);
    for status in [408, 421, 429, 503] {
        for service in &cluster.services {
            service.set_faults(|it| it.status_after_effect = Some(status));
        }
        let key = format!("booking-{status}");
        let first = cluster.book(0, &key);
        assert_eq!((first.status, &*first.outcome), (status, "completed"));
        let second = cluster.book(1, &key);
        assert_eq!((second.status, &*second.outcome, second.replayed), (status, "completed", true));
        assert_eq!(cluster.effect_count(&key), 1);
    }
}

#[test]
fn records_the_response_for_a_disconnected_caller() {
    let cluster = start(1);
    for service in &cluster.services {
        service.set_faults(|it| it.delay = Duration::from_millis(600));
    }
    let mut caller = TcpStream::connect(cluster.vms[0].caller_address).expect("the VM listens");
    let key = config::api_key(0);
    let body = "{\"barge\":7}";
    write!(
        caller,
        "POST /berths/4 HTTP/1.1\r\nauthorization: Bearer {key}\r\nidempotency-key: booking\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the VM reads");
    assert!(wait_until(WAIT_TIMEOUT, || cluster.effect_count("booking") == 1));
    drop(caller);
    let replayed = wait_until(WAIT_TIMEOUT, || {
        let response = cluster.book(0, "booking");
        response.replayed && response.outcome == "completed"
    });
    assert!(replayed, "the response is lost because its caller disconnected");
    assert_eq!(cluster.effect_count("booking"), 1);
}

#[test]
fn a_call_takes_two_store_writes() {
    let cluster = start(1);
    let before = cluster.platform.counts().row_writes;
    assert_eq!(cluster.book(0, "booking").outcome, "completed");
    assert_eq!(cluster.platform.counts().row_writes - before, 2);
}

#[test]
fn call_of_a_paused_claim_holder_runs_once() {
    let cluster = start(2);
    for service in &cluster.services {
        service.set_faults(|it| it.delay = Duration::from_millis(300));
    }
    thread::scope(|scope| {
        let first = scope.spawn(|| cluster.book(0, "booking"));
        wait_until(WAIT_TIMEOUT, || !cluster.platform.keys("ledger/").is_empty());
        cluster.vms[0].pause();
        let second = cluster.book(1, "booking");
        assert!(["unknown", "completed"].contains(&&*second.outcome), "{second:?}");
        cluster.vms[0].resume();
        let first = first.join().expect("a caller does not panic");
        assert_eq!(first.outcome, "completed");
    });
    assert_eq!(cluster.effect_count("booking"), 1);
}

#[test]
fn call_of_a_killed_claim_holder_is_unknown() {
    let mut cluster = start(2);
    for service in &cluster.services {
        service.set_faults(|it| it.delay = Duration::from_secs(2));
    }
    let killed = {
        let callers = cluster.vms[0].caller_address;
        let key = config::api_key(0);
        let thread = thread::spawn(move || {
            client::call_service(callers, &key, "POST", "/berths/4", "booking", "{\"barge\":7}")
        });
        wait_until(WAIT_TIMEOUT, || cluster.effect_count("booking") == 1);
        cluster.vms[0].kill();
        thread.join().expect("a caller does not panic")
    };
    assert_eq!(killed.status, 0);
    assert_eq!(cluster.book(1, "booking").outcome, "unknown");
    assert_eq!(cluster.effect_count("booking"), 1);
}

#[test]
fn key_is_required_and_bound_to_customer_and_request() {
    let cluster = start(1);
    assert_eq!(cluster.book(0, "").status, 400);
    assert_eq!(cluster.book(0, "booking").status, 200);
    let callers = cluster.vms[0].caller_address;
    let other =
        client::call_service(callers, &config::api_key(0), "POST", "/berths/5", "booking", "{}");
    assert_eq!(other.status, 422);
    let stranger =
        client::call_service(callers, &config::api_key(1), "POST", "/berths/4", "booking", "{}");
    assert_eq!((stranger.status, stranger.replayed), (200, false));
}
