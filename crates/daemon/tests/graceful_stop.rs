//! A planned stop interrupts no request.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::client::ChatResponse;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::vm::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time from SIGTERM after which the VM has only its requests to wait for.
const DRAIN: Duration = Duration::from_millis(600);

/// Number of times that a process is paused while it waits for its requests.
const PAUSES: usize = 5;

/// Length of such a pause.
const PAUSE: Duration = Duration::from_millis(300);

const TIME_BETWEEN_PAUSES: Duration = Duration::from_millis(50);

/// Number of starts, each of which is stopped as soon as the VM accepts callers.
const STARTS: usize = 12;

fn start() -> Cluster {
    let settings = ClusterSettings { engines: 1, drain_ms: 600, ..ClusterSettings::default() };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

fn chat(number: usize, tokens: u64) -> ChatRequest {
    let prompt = format!("request {number}");
    ChatRequest::new(&config::api_key(0), config::COMMENTARY, config::MODEL, &prompt).tokens(tokens)
}

#[test]
fn running_queued_and_new_requests_finish() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    // Eight requests fill the engine; the others are queued.
    let chats: Vec<ChatRequest> = (0..20).map(|it| chat(it, 300)).collect();
    let late = chat(99, 50);
    let (responses, late_response): (Vec<ChatResponse>, ChatResponse) = thread::scope(|scope| {
        let threads: Vec<_> =
            chats.iter().map(|chat| scope.spawn(move || client::chat(callers, chat))).collect();
        let all_arrived = || cluster.vms[0].dump()["router"]["live_requests"] == 20;
        assert!(wait_until(WAIT_TIMEOUT, all_arrived), "the requests do not arrive");
        cluster.vms[0].terminate();
        assert!(wait_until(WAIT_TIMEOUT, || !cluster.vms[0].is_ready()));
        let late_response = client::chat(callers, &late);
        let responses = threads.into_iter().map(|it| it.join().expect("a caller does not panic"));
        (responses.collect(), late_response)
    });
    for (chat, response) in chats.iter().zip(&responses) {
        assert!(response.complete, "{response:?}");
        assert_eq!(response.tokens, chat.expected());
    }
    assert!(late_response.complete, "{late_response:?}");
    assert_eq!(cluster.vms[0].wait_exit(WAIT_TIMEOUT), Some(0), "{}", cluster.vms[0].log());
}

#[test]
fn slow_stream_is_not_cut_by_the_drain_time() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    cluster.engines[0].set_faults(|it| it.slowdown = 20);
    let long = chat(1, 60);
    let response = thread::scope(|scope| {
        let response = scope.spawn(|| client::chat(callers, &long));
        assert!(wait_until(WAIT_TIMEOUT, || cluster.engines[0].running() == 1));
        cluster.vms[0].terminate();
        response.join().expect("a caller does not panic")
    });
    assert!(response.complete, "{response:?}");
    assert_eq!(cluster.vms[0].wait_exit(WAIT_TIMEOUT), Some(0));
}

#[test]
fn late_wakeups_do_not_cut_requests_in_flight() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    cluster.engines[0].set_faults(|it| it.slowdown = 20);
    let long = chat(1, 60);
    let response = thread::scope(|scope| {
        let response = scope.spawn(|| client::chat(callers, &long));
        assert!(wait_until(WAIT_TIMEOUT, || cluster.engines[0].running() == 1));
        cluster.vms[0].terminate();
        thread::sleep(2 * DRAIN);
        for _ in 0..PAUSES {
            cluster.vms[0].pause();
            thread::sleep(PAUSE);
            cluster.vms[0].resume();
            thread::sleep(TIME_BETWEEN_PAUSES);
        }
        response.join().expect("a caller does not panic")
    });
    let log = cluster.vms[0].log();
    assert!(response.complete, "{} tokens; log:\n{log}", response.tokens.len());
    assert_eq!(cluster.vms[0].wait_exit(WAIT_TIMEOUT), Some(0));
}

/// Sends a repeatable call, whose response is not read yet.
fn send_call(mut stream: &TcpStream) {
    let key = config::api_key(0);
    let head = format!("GET /tides/4 HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {key}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the VM reads");
}

/// Reads a response with a length and returns its head; empty if the connection is closed instead.
fn read_head(reader: &mut BufReader<&TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return String::new();
        }
    }
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|it| it.parse().ok()).expect("the body has a length")];
    reader.read_exact(&mut body).expect("the response is complete");
    head
}

#[test]
fn idle_connections_do_not_delay_the_stop() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    let [unused, used] = [(); 2].map(|()| TcpStream::connect(callers).expect("the VM listens"));
    send_call(&used);
    assert!(read_head(&mut BufReader::new(&used)).contains("connection: keep-alive"));
    cluster.vms[0].terminate();
    let limit = DRAIN + Duration::from_secs(10);
    assert_eq!(cluster.vms[0].wait_exit(limit), Some(0), "{}", cluster.vms[0].log());
    for mut stream in [&unused, &used] {
        assert_eq!(stream.read(&mut [0]).expect("the VM closes the connection"), 0);
    }
}

#[test]
fn announced_keep_alive_holds_in_a_stop() {
    let mut cluster = start();
    cluster.services[0].set_faults(|it| it.delay = DRAIN / 2);
    let stream = TcpStream::connect(cluster.vms[0].caller_address).expect("the VM listens");
    let mut reader = BufReader::new(&stream);
    send_call(&stream);
    assert!(wait_until(WAIT_TIMEOUT, || cluster.services[0].effects().len() == 1));
    cluster.vms[0].terminate();
    assert!(read_head(&mut reader).contains("connection: keep-alive"));
    send_call(&stream);
    let head = read_head(&mut reader);
    assert!(head.starts_with("HTTP/1.1 200") && head.contains("connection: close"), "{head:?}");
    assert_eq!(cluster.vms[0].wait_exit(WAIT_TIMEOUT), Some(0));
}

#[test]
fn stop_at_the_start() {
    let mut cluster = start();
    let program = Path::new(env!("CARGO_BIN_EXE_cranberryvalved"));
    let vm = &mut cluster.vms[1];
    for _ in 0..STARTS {
        vm.restart(program).expect("the daemon starts");
        let accepts = || TcpStream::connect(vm.caller_address).is_ok();
        let end = Instant::now() + WAIT_TIMEOUT;
        while !accepts() {
            assert!(Instant::now() < end, "the VM does not accept callers");
        }
        vm.terminate();
        assert_eq!(vm.wait_exit(WAIT_TIMEOUT), Some(0), "{}", vm.log());
    }
}

#[test]
fn keeps_running_after_sighup() {
    let mut cluster = start();
    for number in 0..2 {
        cluster.vms[0].hang_up();
        let lines = || cluster.vms[0].log().matches("settings change with a restart only").count();
        assert!(wait_until(WAIT_TIMEOUT, || lines() > number), "{}", cluster.vms[0].log());
    }
    assert!(client::chat(cluster.vms[0].caller_address, &chat(1, 10)).complete);
    cluster.vms[0].terminate();
    assert_eq!(cluster.vms[0].wait_exit(WAIT_TIMEOUT), Some(0));
}
