//! Requests travel from a caller to an upstream and back.

use std::path::Path;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;

fn start(settings: ClusterSettings) -> Cluster {
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

#[test]
fn serves_streamed_and_unstreamed_responses() {
    let cluster = start(ClusterSettings::default());
    for vm in &cluster.vms {
        let chat = ChatRequest::new(
            &config::api_key(0),
            config::TIDE_CHECK,
            config::MODEL,
            "bar at 06:00?",
        );
        let response = client::chat(vm.caller_address, &chat);
        assert_eq!((response.status, response.complete), (200, true));
        assert_eq!(response.tokens, chat.expected());
        let unstreamed = client::chat(vm.caller_address, &chat.clone().without_streaming());
        assert_eq!(unstreamed.tokens, chat.expected());
    }
}

#[test]
fn replays_a_repeated_booking() {
    let cluster = start(ClusterSettings::default());
    let key = config::api_key(1);
    let book = |vm: usize| {
        client::call_service(
            cluster.vms[vm].caller_address,
            &key,
            "POST",
            "/berths/4",
            "booking-1",
            "{}",
        )
    };
    let first = book(0);
    assert_eq!((first.status, &*first.outcome, first.replayed), (200, "completed", false));
    let second = book(1);
    assert_eq!((second.status, &*second.outcome, second.replayed), (200, "completed", true));
    assert_eq!(second.body, first.body);
    assert_eq!(cluster.services[0].effect_count("booking-1"), 1);
}
