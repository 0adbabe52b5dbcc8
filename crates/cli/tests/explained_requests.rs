//! The outcome of a request, and the build that handled it, can be found from log lines.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::vm::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

const CLI: &str = env!("CARGO_BIN_EXE_cranberryvalve");

/// Returns the path of the daemon, which is built into the same folder.
fn daemon() -> PathBuf {
    Path::new(CLI).with_file_name("cranberryvalved")
}

fn start() -> Cluster {
    let settings = ClusterSettings { vms: 1, engines: 1, ..ClusterSettings::default() };
    Cluster::start(&daemon(), settings).expect("the cluster starts")
}

/// Returns what `explain` prints for a request from these lines.
fn explain(request: &str, lines: &str) -> String {
    let mut command = Command::new(CLI);
    command.args(["explain", request]).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.stderr(Stdio::null()).spawn().expect("the command line starts");
    let mut input = child.stdin.take().expect("a pipe");
    input.write_all(lines.as_bytes()).expect("an open pipe");
    drop(input);
    let output = child.wait_with_output().expect("the command line ends");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns what `explain` prints for a request from the log of the first VM, once that has a line.
fn explained(cluster: &Cluster, request: &str) -> String {
    let printed = || explain(request, &cluster.vms[0].log());
    // Lines are written shortly after the response is sent.
    wait_until(WAIT_TIMEOUT, || !printed().is_empty());
    printed()
}

/// Returns the line that names the build of the first VM.
fn handler(cluster: &Cluster) -> String {
    let dump = cluster.vms[0].dump();
    let build = dump["member_builds"][0]["build"].as_str().expect("the VM shows its build");
    format!("handled by vm-0, build {build}\n")
}

#[test]
fn served_requests_name_the_build() {
    let cluster = start();
    assert_eq!(cluster.book(0, "booking-1").status, 200);
    let text = explained(&cluster, "booking-1");
    assert!(text.starts_with("request booking-1: berth-0 answered in "), "{text}");
    assert!(text.contains(&handler(&cluster)), "{text}");
    let chat = ChatRequest::new(&config::api_key(0), config::TIDE_CHECK, config::MODEL, "bar?");
    assert!(client::chat(cluster.vms[0].caller_address, &chat).complete);
    let is_named = || cluster.vms[0].log().contains("\"request\":\"chatcmpl-vm-0-");
    assert!(wait_until(WAIT_TIMEOUT, is_named), "{}", cluster.vms[0].log());
}

#[test]
fn refused_requests_name_the_build() {
    let cluster = start();
    cluster.services[0].set_faults(|it| it.rejecting = true);
    assert_eq!(cluster.book(0, "booking-2").outcome, "not_run");
    let text = explained(&cluster, "booking-2");
    assert!(text.contains("it was not run: upstreams_refused; told to come back in "), "{text}");
    assert!(text.contains(&handler(&cluster)), "{text}");
    let vm = cluster.vms[0].caller_address;
    let unrouted =
        client::call_service(vm, &config::api_key(0), "POST", "/nowhere", "booking-3", "{}");
    assert_eq!(unrouted.status, 404);
    let text = explained(&cluster, "booking-3");
    assert!(text.contains("it was refused before it was placed: no route"), "{text}");
    assert!(text.contains(&handler(&cluster)), "{text}");
}

#[test]
fn a_repeated_booking_is_told_from_the_first() {
    let cluster = start();
    assert_eq!(cluster.book(0, "booking-4").status, 200);
    assert!(cluster.book(0, "booking-4").replayed);
    let is_answered = || explain("booking-4", &cluster.vms[0].log()).contains("earlier call");
    assert!(wait_until(WAIT_TIMEOUT, is_answered), "{}", explained(&cluster, "booking-4"));
}

#[test]
fn lines_of_builds_that_do_not_write_it_are_read() {
    let line = |vm: &str, build: &str| {
        format!(
            "{{\"vm\":\"{vm}\",{build}\"time_unix_ms\":1000,\"message\":\"call ended\",\
             \"request\":\"call-1\",\"outcome\":\"completed\",\"upstream\":\"e-1\",\
             \"total_ms\":7}}\n"
        )
    };
    let older = line("vm-1", "");
    let text = explain("call-1", &older);
    assert!(text.contains("e-1 answered in 7 ms\nhandled by vm-1, build unknown\n"), "{text}");
    let text = explain("call-1", &(older + &line("vm-2", "\"build\":\"1e037b1f\",")));
    let both = "handled by vm-1, build unknown\nhandled by vm-2, build 1e037b1f\n";
    assert!(text.contains(both), "{text}");
}
