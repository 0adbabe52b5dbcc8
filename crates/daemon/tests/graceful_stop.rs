//! A planned stop interrupts no request.

use std::path::Path;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::Chat;
use cranberryvalve_standins::client::ChatReply;
use cranberryvalve_standins::cluster::Cluster;
use cranberryvalve_standins::cluster::ClusterSettings;
use cranberryvalve_standins::config;
use cranberryvalve_standins::vm::wait_until;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn start() -> Cluster {
    let settings = ClusterSettings { engines: 1, drain_ms: 600, ..ClusterSettings::default() };
    Cluster::start(Path::new(env!("CARGO_BIN_EXE_cranberryvalved")), settings)
        .expect("the deployment starts")
}

fn chat(number: usize, tokens: u64) -> Chat {
    let prompt = format!("request {number}");
    Chat::new(&config::api_key(0), config::COMMENTARY, config::MODEL, &prompt).tokens(tokens)
}

#[test]
fn running_queued_and_new_requests_finish() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    // Eight requests fill the engine; the others are queued.
    let chats: Vec<Chat> = (0..20).map(|it| chat(it, 300)).collect();
    let late = chat(99, 50);
    let (replies, late_reply): (Vec<ChatReply>, ChatReply) = thread::scope(|scope| {
        let threads: Vec<_> =
            chats.iter().map(|chat| scope.spawn(move || client::chat(callers, chat))).collect();
        let all_arrived = || cluster.vms[0].dump()["router"]["live_requests"] == 20;
        assert!(wait_until(WAIT_TIMEOUT, all_arrived), "the requests do not arrive");
        cluster.vms[0].terminate();
        assert!(wait_until(WAIT_TIMEOUT, || !cluster.vms[0].is_ready()));
        let late_reply = client::chat(callers, &late);
        let replies = threads.into_iter().map(|it| it.join().expect("a caller does not panic"));
        (replies.collect(), late_reply)
    });
    for (chat, reply) in chats.iter().zip(&replies) {
        assert!(reply.complete, "{reply:?}");
        assert_eq!(reply.tokens, chat.expected());
    }
    assert!(late_reply.complete, "{late_reply:?}");
    assert_eq!(cluster.vms[0].wait_exit(WAIT_TIMEOUT), Some(0), "{}", cluster.vms[0].log());
}

#[test]
fn slow_stream_is_not_cut_by_the_drain_time() {
    let mut cluster = start();
    let callers = cluster.vms[0].caller_address;
    cluster.engines[0].set_faults(|it| it.slowdown = 20);
    let long = chat(1, 60);
    let reply = thread::scope(|scope| {
        let reply = scope.spawn(|| client::chat(callers, &long));
        assert!(wait_until(WAIT_TIMEOUT, || cluster.engines[0].running() == 1));
        cluster.vms[0].terminate();
        reply.join().expect("a caller does not panic")
    });
    assert!(reply.complete, "{reply:?}");
    assert_eq!(cluster.vms[0].wait_exit(WAIT_TIMEOUT), Some(0));
}
