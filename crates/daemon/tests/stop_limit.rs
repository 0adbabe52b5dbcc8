//! Requests that outlast a planned stop get an answer before the process ends.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::client::ChatResponse;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::vm::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time from SIGTERM after which the VM accepts no connection.
const DRAIN: Duration = Duration::from_millis(600);

/// Value of `--stop-ms`.
const STOP: Duration = Duration::from_millis(4_000);

/// Time from SIGTERM after which the VM is killed.
const KILL_AFTER: Duration = Duration::from_millis(6_000);

/// Number of model requests, more than the engine runs at the same time.
const CHATS: usize = 12;

/// Number of calls that are in flight in a pause.
const CALLS: usize = 12;

fn start() -> Cluster {
    let settings = ClusterSettings {
        vms: 1,
        engines: 1,
        drain_ms: DRAIN.as_millis() as u64,
        vm_flags: vec!["--stop-ms".to_owned(), STOP.as_millis().to_string()],
        ..ClusterSettings::default()
    };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

fn chat(number: usize) -> ChatRequest {
    let prompt = format!("request {number}");
    ChatRequest::new(&config::api_key(0), config::COMMENTARY, config::MODEL, &prompt).tokens(200)
}

/// Sends SIGTERM, and SIGKILL if the process does not end in time. Returns its status.
fn stop(cluster: &mut Cluster) -> Option<i32> {
    cluster.vms[0].terminate();
    let status = cluster.vms[0].wait_exit(KILL_AFTER);
    cluster.vms[0].kill();
    status
}

#[test]
fn model_requests_in_flight_are_answered() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    cluster.engines[0].set_faults(|it| it.slowdown = 20);
    let chats: Vec<ChatRequest> = (0..CHATS).map(chat).collect();
    let (status, responses): (Option<i32>, Vec<ChatResponse>) = thread::scope(|scope| {
        let threads: Vec<_> =
            chats.iter().map(|chat| scope.spawn(move || client::chat(callers, chat))).collect();
        let all_arrived = || cluster.vms[0].dump()["router"]["live_requests"] == CHATS;
        assert!(wait_until(WAIT_TIMEOUT, all_arrived), "the requests do not arrive");
        let status = stop(&mut cluster);
        let responses = threads.into_iter().map(|it| it.join().expect("a caller does not panic"));
        (status, responses.collect())
    });
    let partial = responses.iter().filter(|it| it.status == 200 && it.outcome == "partial");
    assert!(partial.clone().all(|it| !it.complete && !it.tokens.is_empty()), "{responses:?}");
    let not_run = responses.iter().filter(|it| it.status == 503 && it.reason == "vm_stopping");
    let (partial, not_run) = (partial.count(), not_run.count());
    assert!(partial > 0 && not_run > 0, "{partial} partial, {not_run} not run: {responses:?}");
    assert_eq!(partial + not_run, CHATS, "{responses:?}");
    // The engine records an attempt when it finds that the connection is closed.
    assert!(wait_until(WAIT_TIMEOUT, || cluster.engines[0].runs().len() >= partial));
    assert_eq!(cluster.engines[0].runs().len(), partial);
    assert_eq!(status, Some(0), "{}", cluster.vms[0].log());
}

#[test]
fn calls_that_may_have_run_are_answered() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    cluster.services[0].set_faults(|it| it.delay = 2 * KILL_AFTER);
    let key = config::api_key(0);
    let (status, responses) = thread::scope(|scope| {
        let once =
            scope.spawn(|| client::call_service(callers, &key, "POST", "/berths/4", "once", "{}"));
        let again = scope.spawn(|| client::call_service(callers, &key, "GET", "/tides/4", "", ""));
        assert!(wait_until(WAIT_TIMEOUT, || cluster.services[0].effects().len() == 2));
        let status = stop(&mut cluster);
        (status, [once, again].map(|it| it.join().expect("a caller does not panic")))
    });
    for response in responses {
        assert_eq!((response.status, &*response.outcome), (502, "unknown"));
    }
    assert_eq!(cluster.services[0].effects().len(), 2);
    assert_eq!(status, Some(0), "{}", cluster.vms[0].log());
}

#[test]
fn pause_over_the_end_does_not_cut_answers() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    cluster.services[0].set_faults(|it| it.delay = 2 * KILL_AFTER);
    let key = config::api_key(0);
    let call = |number: usize| {
        client::call_service(callers, &key, "POST", "/berths/4", &format!("once-{number}"), "{}")
    };
    let responses = thread::scope(|scope| {
        let call = &call;
        let threads: Vec<_> = (0..CALLS).map(|it| scope.spawn(move || call(it))).collect();
        assert!(wait_until(WAIT_TIMEOUT, || cluster.services[0].effects().len() == CALLS));
        cluster.vms[0].terminate();
        thread::sleep(2 * DRAIN);
        cluster.vms[0].pause();
        thread::sleep(STOP);
        cluster.vms[0].resume();
        let responses = threads.into_iter().map(|it| it.join().expect("a caller does not panic"));
        responses.collect::<Vec<_>>()
    });
    for response in responses {
        assert_eq!((response.status, &*response.outcome), (502, "unknown"));
    }
    assert_eq!(cluster.vms[0].wait_exit(KILL_AFTER), Some(0), "{}", cluster.vms[0].log());
}

/// Sends a part of a call, then SIGTERM and, after a delay, the rest. Returns the response.
fn call_in_parts(cluster: &mut Cluster, rest: Option<&[u8]>) -> String {
    let mut stream = TcpStream::connect(cluster.vms[0].caller_address).expect("the VM listens");
    let key = config::api_key(0);
    let head = format!(
        "POST /berths/4 HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {key}\r\n\
         idempotency-key: parts\r\ncontent-length: 4\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).expect("the VM reads");
    cluster.vms[0].terminate();
    thread::sleep(DRAIN + DRAIN / 2);
    if let Some(rest) = rest {
        stream.write_all(rest).expect("the VM reads");
    }
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    assert_eq!(cluster.vms[0].wait_exit(KILL_AFTER), Some(0), "{}", cluster.vms[0].log());
    response
}

#[test]
fn calls_that_are_read_too_late_are_refused() {
    for rest in [Some(&b"  }"[..]), None] {
        let mut cluster = start();
        let response = call_in_parts(&mut cluster, rest);
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.contains("x-outcome: not_run"), "{response:?}");
        assert!(response.contains("\"reason\":\"vm_stopping\""), "{response:?}");
        assert_eq!(cluster.effect_count("parts"), 0);
    }
}
