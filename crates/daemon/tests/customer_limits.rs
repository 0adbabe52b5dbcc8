//! Customer limits apply across all VMs.

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

fn start() -> Cluster {
    let settings = ClusterSettings { vms: 3, engines: 6, ..ClusterSettings::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_cranberryvalved"));
    Cluster::start_with(program, settings, |config| config.customers[0].max_in_flight = Some(6))
        .expect("the deployment starts")
}

fn chat(customer: usize, number: usize) -> ChatRequest {
    let prompt = format!("request {number}");
    ChatRequest::new(&config::api_key(customer), config::COMMENTARY, config::MODEL, &prompt)
        .tokens(400)
}

fn chat_all(cluster: &Cluster, customer: usize, count: usize) -> Vec<ChatResponse> {
    thread::scope(|scope| {
        let threads: Vec<_> = (0..count)
            .map(|number| {
                let callers = cluster.vms[number % 3].caller_address;
                scope.spawn(move || client::chat(callers, &chat(customer, number)))
            })
            .collect();
        threads.into_iter().map(|it| it.join().expect("a caller does not panic")).collect()
    })
}

#[test]
fn in_flight_limit_applies_across_all_vms() {
    let cluster = start();
    let know_each_other = || cluster.vms.iter().all(|vm| vm.dump()["members_alive"] == 3);
    assert!(wait_until(WAIT_TIMEOUT, know_each_other), "the VMs do not know each other");
    let responses = chat_all(&cluster, 0, 24);
    let (served, rejected): (Vec<_>, Vec<_>) = responses.iter().partition(|it| it.complete);
    // The limit may be exceeded by one request per VM.
    assert!((1..=6 + 3).contains(&served.len()), "{} of 6 in flight", served.len());
    assert!(rejected.iter().all(|it| it.reason == "customer_limit"), "{rejected:?}");
    let all = chat_all(&cluster, 1, 24);
    assert!(all.iter().all(|it| it.complete), "another customer is also limited");
}

#[test]
fn full_limit_moves_to_the_only_vm_with_demand() {
    let cluster = start();
    let know_each_other = || cluster.vms.iter().all(|vm| vm.dump()["members_alive"] == 3);
    assert!(wait_until(WAIT_TIMEOUT, know_each_other), "the VMs do not know each other");
    // An even share gives a VM two of the six slots; it gets all six once the coordinator of the
    // limit knows the demand.
    let has_full_limit = wait_until(WAIT_TIMEOUT, || {
        let responses: Vec<ChatResponse> = thread::scope(|scope| {
            let callers = cluster.vms[0].caller_address;
            let threads: Vec<_> = (0..6)
                .map(|number| scope.spawn(move || client::chat(callers, &chat(0, number))))
                .collect();
            threads.into_iter().map(|it| it.join().expect("a caller does not panic")).collect()
        });
        responses.iter().all(|it| it.complete)
    });
    assert!(has_full_limit, "the only VM with demand never gets the full limit");
}
