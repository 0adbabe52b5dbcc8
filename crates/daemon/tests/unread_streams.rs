//! A caller that is connected but does not read is not taken for one that has left.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::engine::EngineSettings;
use cranberryvalve_standins::vm::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// More than the buffers between an engine and a caller hold.
const TOKENS: u64 = 120_000;

/// End of a response in chunks.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

#[test]
fn stream_that_is_not_read_is_partial() {
    let engine = EngineSettings { token_interval: Duration::ZERO, ..EngineSettings::default() };
    let settings = ClusterSettings { vms: 1, engines: 1, engine, ..ClusterSettings::default() };
    let cluster = Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts");
    let vm = &cluster.vms[0];
    let request = ChatRequest::new(&config::api_key(0), config::COMMENTARY, config::MODEL, "long");
    let body = request.tokens(TOKENS).body.to_string();
    let mut stream = TcpStream::connect(vm.caller_address).expect("the VM listens");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
         X-Service-Class: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        config::api_key(0),
        config::COMMENTARY,
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).expect("the request is sent");
    let metrics = || {
        let response = client::operator(vm.operator_address, "GET", "/metrics", None);
        response.map(|it| it.body.as_str().unwrap_or_default().to_owned()).unwrap_or_default()
    };
    let is_counted = |name: &str| metrics().lines().any(|it| it.starts_with(name));
    let has_ended = || {
        is_counted("cranberryvalve_outcomes_total{")
            || is_counted("cranberryvalve_callers_left_total{")
    };
    assert!(wait_until(WAIT_TIMEOUT, has_ended), "{}", metrics());
    let mut received = Vec::new();
    // The connection may end with a reset.
    let _ = stream.read_to_end(&mut received);
    assert!(!received.ends_with(LAST_CHUNK), "the response seems to be whole");
    assert!(!is_counted("cranberryvalve_callers_left_total{"), "{}", metrics());
    let partial = "cranberryvalve_outcomes_total{class=\"commentary\",outcome=\"partial\"} 1";
    assert!(metrics().contains(partial), "{}", metrics());
}
