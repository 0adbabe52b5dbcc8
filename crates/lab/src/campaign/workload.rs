//! Callers and operators during a round.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::Chat;
use cranberryvalve_standins::cluster::hazard_names;
use cranberryvalve_standins::config;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;

use super::checker::ChatSeen;
use super::checker::Confirmed;
use super::checker::Observations;
use super::checker::PlainSeen;

/// Chats and bookings of a round.
const CHATS: usize = 60;
const BOOKINGS: usize = 30;

/// Time over which they are sent.
const SPAN_MS: u64 = 3_500;

/// Plans of each of the two operators.
const PLANS: usize = 3;

/// Runs the workload of `seed` and returns what callers and operators saw.
pub(super) fn run(seed: u64, callers: &[SocketAddr], operators: &[SocketAddr]) -> Observations {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    thread::scope(|scope| {
        let chats: Vec<_> = (0..CHATS)
            .map(|number| {
                let delay = Duration::from_millis(rng.random_range(0..SPAN_MS));
                let vm = callers[rng.random_range(0..callers.len())];
                scope.spawn(move || chat(number, vm, delay))
            })
            .collect();
        let bookings: Vec<_> = (0..BOOKINGS)
            .map(|number| {
                let delay = Duration::from_millis(rng.random_range(0..SPAN_MS));
                let vm = callers[rng.random_range(0..callers.len())];
                // Each key is used by several callers, at any VM.
                scope.spawn(move || book(&format!("booking-{}", number % 12), vm, delay))
            })
            .collect();
        let confirmed: Vec<_> = (0..2)
            .map(|operator| {
                let vm = operators[rng.random_range(0..operators.len())];
                scope.spawn(move || operate(operator, vm))
            })
            .collect();
        Observations {
            chats: chats.into_iter().filter_map(|it| it.join().ok()).collect(),
            bookings: bookings.into_iter().filter_map(|it| it.join().ok()).collect(),
            confirmed: confirmed.into_iter().filter_map(|it| it.join().ok()).flatten().collect(),
            ..Observations::default()
        }
    })
}

fn chat(number: usize, vm: SocketAddr, delay: Duration) -> ChatSeen {
    thread::sleep(delay);
    let class = [config::TIDE_CHECK, config::COMMENTARY, config::REPLAN][number % 3];
    let prompt = format!("{class} {number}");
    let chat = Chat::new(&config::api_key(number % 4), class, config::MODEL, &prompt);
    let reply = client::chat(vm, &chat);
    ChatSeen {
        class: class.to_owned(),
        expected: chat.expected(),
        tokens: reply.tokens,
        complete: reply.complete,
        outcome: reply.outcome,
        reason: reply.reason,
    }
}

fn book(key: &str, vm: SocketAddr, delay: Duration) -> PlainSeen {
    thread::sleep(delay);
    let reply = client::plain(vm, &config::api_key(0), "POST", "/berths/4", key, "{}");
    PlainSeen { key: key.to_owned(), outcome: reply.outcome }
}

fn operate(operator: usize, vm: SocketAddr) -> Vec<Confirmed> {
    let mut seen = Vec::new();
    for number in 0..PLANS {
        thread::sleep(Duration::from_millis(900));
        let upstream = format!("engine-{}", 3 * operator);
        let intent = json!({ "intent": "drain", "upstream": upstream, "drained": number % 2 == 0 });
        let body = json!({ "operator": format!("operator-{operator}"), "intent": intent });
        let Some(plan) = client::operator(vm, "POST", "/plan", Some(&body)) else { continue };
        if plan.status == 200 {
            seen.extend(confirm(vm, &plan.body));
        }
    }
    seen
}

fn confirm(vm: SocketAddr, plan: &Value) -> Option<Confirmed> {
    let body = json!({ "plan": plan, "acknowledged": hazard_names(plan) });
    let reply = client::operator(vm, "POST", "/confirm", Some(&body))?;
    Some(Confirmed {
        base_version: plan["base_version"].as_u64().unwrap_or(0),
        result: reply.body["result"].as_str().unwrap_or_default().to_owned(),
        version: reply.body["version"].as_u64().unwrap_or(0),
    })
}
