//! The key of a call that was not run is free after a planned stop.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const DRAIN: Duration = Duration::from_millis(600);

/// Value of `--stop-ms` that leaves time for calls of every class.
const STOP_MS: u64 = 90_000;

#[test]
fn release_is_not_lost_with_the_process() {
    let settings = ClusterSettings {
        drain_ms: DRAIN.as_millis() as u64,
        vm_flags: vec!["--stop-ms".to_owned(), STOP_MS.to_string()],
        ..ClusterSettings::default()
    };
    let mut cluster = Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts");
    cluster.services[0].set_faults(|it| it.rejecting = true);
    let mut stream = TcpStream::connect(cluster.vms[0].caller_address).expect("the VM listens");
    let key = config::api_key(0);
    let head = format!(
        "POST /berths/4 HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {key}\r\n\
         idempotency-key: booking\r\ncontent-length: 11\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the VM reads");
    cluster.vms[0].terminate();
    thread::sleep(DRAIN + DRAIN / 2);
    stream.write_all(b"{\"barge\":7}").expect("the VM reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the VM responds");
    assert!(response.contains("x-outcome: not_run"), "{response:?}");
    assert_eq!(cluster.vms[0].wait_exit(WAIT_TIMEOUT), Some(0), "{}", cluster.vms[0].log());
    cluster.services[0].set_faults(|it| it.rejecting = false);
    assert_eq!(cluster.book(1, "booking").outcome, "completed", "{}", cluster.vms[0].log());
    assert_eq!(cluster.effect_count("booking"), 1);
}
