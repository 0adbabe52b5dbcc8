//! Requests of callers and operators during a round.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::cluster::hazard_names;
use cranberryvalve_standins::config;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;

use super::checker::BookingObservation;
use super::checker::ChatObservation;
use super::checker::Observations;
use super::checker::PlanObservation;

/// Numbers of chats and bookings in a round.
const CHATS: usize = 60;
const BOOKINGS: usize = 30;

/// Time over which the chats and bookings are spread, in milliseconds.
const SEND_WINDOW_MS: u64 = 3_500;

/// Number of plans of each of the two operators.
const PLANS: usize = 3;

/// Runs the workload drawn from `seed` and returns what callers and operators observed.
pub(super) fn run(seed: u64, callers: &[SocketAddr], operators: &[SocketAddr]) -> Observations {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    thread::scope(|scope| {
        let chats: Vec<_> = (0..CHATS)
            .map(|number| {
                let delay = Duration::from_millis(rng.random_range(0..SEND_WINDOW_MS));
                let vm = callers[rng.random_range(0..callers.len())];
                scope.spawn(move || run_chat(number, vm, delay))
            })
            .collect();
        let bookings: Vec<_> = (0..BOOKINGS)
            .map(|number| {
                let delay = Duration::from_millis(rng.random_range(0..SEND_WINDOW_MS));
                let vm = callers[rng.random_range(0..callers.len())];
                // Several callers use the same idempotency key, each at any VM.
                scope.spawn(move || run_booking(&format!("booking-{}", number % 12), vm, delay))
            })
            .collect();
        let plans: Vec<_> = (0..2)
            .map(|operator| {
                let vm = operators[rng.random_range(0..operators.len())];
                scope.spawn(move || run_operator(operator, vm))
            })
            .collect();
        Observations {
            chats: chats.into_iter().filter_map(|it| it.join().ok()).collect(),
            bookings: bookings.into_iter().filter_map(|it| it.join().ok()).collect(),
            plans: plans.into_iter().filter_map(|it| it.join().ok()).flatten().collect(),
            ..Observations::default()
        }
    })
}

fn run_chat(number: usize, vm: SocketAddr, delay: Duration) -> ChatObservation {
    thread::sleep(delay);
    let class = [config::TIDE_CHECK, config::COMMENTARY, config::REPLAN][number % 3];
    let prompt = format!("{class} {number}");
    let chat = ChatRequest::new(&config::api_key(number % 4), class, config::MODEL, &prompt);
    let response = client::chat(vm, &chat);
    ChatObservation {
        class: class.to_owned(),
        expected: chat.expected(),
        tokens: response.tokens,
        complete: response.complete,
        outcome: response.outcome,
        reason: response.reason,
    }
}

fn run_booking(key: &str, vm: SocketAddr, delay: Duration) -> BookingObservation {
    thread::sleep(delay);
    let response = client::call_service(vm, &config::api_key(0), "POST", "/berths/4", key, "{}");
    BookingObservation { key: key.to_owned(), outcome: response.outcome }
}

/// Alternately drains an engine and returns it to service, each time with a plan and its
/// confirmation.
fn run_operator(operator: usize, vm: SocketAddr) -> Vec<PlanObservation> {
    let mut observations = Vec::new();
    for number in 0..PLANS {
        thread::sleep(Duration::from_millis(900));
        let upstream = format!("engine-{}", 3 * operator);
        let intent = json!({ "intent": "drain", "upstream": upstream, "drained": number % 2 == 0 });
        let body = json!({ "operator": format!("operator-{operator}"), "intent": intent });
        let Some(plan) = client::operator(vm, "POST", "/plan", Some(&body)) else { continue };
        if plan.status == 200 {
            observations.extend(confirm(vm, &plan.body));
        }
    }
    observations
}

fn confirm(vm: SocketAddr, plan: &Value) -> Option<PlanObservation> {
    let body = json!({ "plan": plan, "acknowledged": hazard_names(plan) });
    let response = client::operator(vm, "POST", "/confirm", Some(&body))?;
    Some(PlanObservation {
        base_version: plan["base_version"].as_u64().unwrap_or(0),
        result: response.body["result"].as_str().unwrap_or_default().to_owned(),
        version: response.body["version"].as_u64().unwrap_or(0),
    })
}
