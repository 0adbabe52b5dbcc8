//! Every caller gets the complete response to its own request despite faults.

use std::path::Path;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::client::ChatResponse;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::engine::Engine;
use cranberryvalve_standins::engine::EngineSettings;
use cranberryvalve_standins::proxy::Proxy;
use cranberryvalve_standins::vm::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn start(settings: ClusterSettings) -> Cluster {
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

fn chat(number: usize) -> ChatRequest {
    let prompt = format!("commentary {number}");
    ChatRequest::new(&config::api_key(number % 4), config::COMMENTARY, config::MODEL, &prompt)
        .tokens(60)
}

/// Sends all requests concurrently, distributed over the VMs.
fn chat_all(cluster: &Cluster, chats: &[ChatRequest]) -> Vec<ChatResponse> {
    thread::scope(|scope| {
        let threads: Vec<_> = chats
            .iter()
            .enumerate()
            .map(|(number, chat)| {
                let vm = cluster.vms[number % cluster.vms.len()].caller_address;
                scope.spawn(move || client::chat(vm, chat))
            })
            .collect();
        threads.into_iter().map(|it| it.join().expect("a caller does not panic")).collect()
    })
}

fn assert_complete(chats: &[ChatRequest], responses: &[ChatResponse]) {
    for (chat, response) in chats.iter().zip(responses) {
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        assert_eq!(response.tokens, chat.expected());
    }
}

#[test]
fn crashed_stream_resumes_at_another_engine() {
    let cluster = start(ClusterSettings { engines: 3, ..ClusterSettings::default() });
    cluster.engines[0].set_faults(|it| it.cut_after_tokens = Some(7));
    cluster.engines[1].set_faults(|it| it.cut_after_tokens = Some(20));
    let chats: Vec<ChatRequest> = (0..12).map(chat).collect();
    let responses = chat_all(&cluster, &chats);
    assert_complete(&chats, &responses);
    let broken = cluster.engines[0].runs().len() + cluster.engines[1].runs().len();
    assert!(broken > 0, "no stream was cut by a crash");
}

#[test]
fn declined_resumption_stays_out_of_the_stream() {
    let cluster = start(ClusterSettings { engines: 2, vms: 1, ..ClusterSettings::default() });
    for engine in &cluster.engines {
        engine.set_faults(|it| (it.cut_after_tokens, it.declines_resumption) = (Some(7), true));
    }
    let chat = chat(1);
    let response = client::chat(cluster.vms[0].caller_address, &chat);
    assert_eq!((response.status, response.complete), (200, false), "{response:?}");
    assert_eq!(response.tokens, chat.expected()[..7]);
    assert_eq!(response.outcome, "partial", "{response:?}");
}

#[test]
fn silent_stream_resumes_at_another_engine() {
    let cluster = start(ClusterSettings { engines: 3, ..ClusterSettings::default() });
    cluster.engines[0].set_faults(|it| it.stall_after_tokens = Some(5));
    let chats: Vec<ChatRequest> = (0..9).map(chat).collect();
    let responses = chat_all(&cluster, &chats);
    assert_complete(&chats, &responses);
    let silenced = cluster.engines[0].runs().iter().any(|it| it.tokens == 5);
    assert!(silenced, "no stream went silent");
}

#[test]
fn reordered_chunks_are_put_in_order() {
    let cluster = start(ClusterSettings::default());
    for engine in &cluster.engines {
        engine.set_faults(|it| it.reorders_chunks = true);
    }
    let chats: Vec<ChatRequest> = (0..8).map(chat).collect();
    let responses = chat_all(&cluster, &chats);
    assert_complete(&chats, &responses);
}

#[test]
fn silent_connection_is_abandoned() {
    let engine = EngineSettings::default();
    let settings = ClusterSettings { engines: 2, engine, ..ClusterSettings::default() };
    let mut proxy = None;
    let program = Path::new(env!("CARGO_BIN_EXE_cranberryvalved"));
    let cluster = Cluster::start_with(program, settings, |config| {
        let started = Proxy::start(config.upstreams[0].address).expect("a proxy");
        config.upstreams[0].address = started.address();
        proxy = Some(started);
    })
    .expect("the deployment starts");
    let proxy = proxy.expect("a proxy");
    let chats: Vec<ChatRequest> = (0..8).map(|it| chat(it).tokens(200)).collect();
    let responses = thread::scope(|scope| {
        let responses = scope.spawn(|| chat_all(&cluster, &chats));
        wait_until(WAIT_TIMEOUT, || cluster.engines[0].running() > 0);
        proxy.stall_open_connections();
        responses.join().expect("the callers do not panic")
    });
    assert_complete(&chats, &responses);
}

#[test]
fn caller_resumes_at_another_vm() {
    let cluster = start(ClusterSettings::default());
    let original = chat(1);
    let first =
        client::chat_until(cluster.vms[0].caller_address, &original, |it| it.tokens.len() == 25);
    assert!(!first.resume_token.is_empty());
    let resumed = original.clone().resume(&first.resume_token, 25);
    let second = client::chat(cluster.vms[1].caller_address, &resumed);
    assert!(second.complete);
    let tokens: Vec<String> = first.tokens.into_iter().chain(second.tokens).collect();
    assert_eq!(tokens, original.expected());
    let runs: Vec<_> = cluster.engines.iter().flat_map(Engine::runs).collect();
    assert!(runs.iter().any(|it| it.start == 25), "tokens were generated again: {runs:?}");
}

#[test]
fn resume_token_is_bound_to_customer_and_request() {
    let cluster = start(ClusterSettings::default());
    let own = chat(1);
    let response = client::chat(cluster.vms[0].caller_address, &own);
    let mut stranger = own.clone().resume(&response.resume_token, 3);
    stranger.key = config::api_key(2);
    assert_eq!(client::chat(cluster.vms[1].caller_address, &stranger).status, 403);
    let mut other_body = chat(2).resume(&response.resume_token, 3);
    other_body.key = own.key;
    assert_eq!(client::chat(cluster.vms[1].caller_address, &other_body).status, 403);
}

#[test]
fn disconnected_caller_frees_the_engine() {
    let cluster = start(ClusterSettings { engines: 1, ..ClusterSettings::default() });
    let long = chat(1).tokens(100_000);
    client::chat_until(cluster.vms[0].caller_address, &long, |it| it.tokens.len() == 3);
    let freed = wait_until(WAIT_TIMEOUT, || cluster.engines[0].running() == 0);
    assert!(freed, "the engine still runs for a disconnected caller");
    let router = cluster.vms[0].dump()["router"].clone();
    assert_eq!(router["live_requests"], 0);
}

#[test]
fn stream_that_cannot_resume_ends_with_an_error() {
    let cluster = start(ClusterSettings { engines: 1, ..ClusterSettings::default() });
    let long = chat(1).tokens(400);
    let response = client::chat_until(cluster.vms[0].caller_address, &long, |it| {
        if it.tokens.len() == 10 {
            cluster.engines[0].set_faults(|it| it.down = true);
        }
        false
    });
    assert!(!response.complete);
    assert_eq!(response.outcome, "partial");
    assert_eq!(response.tokens[..], long.expected()[..response.tokens.len()]);
}
