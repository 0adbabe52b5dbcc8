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

use super::callers::Callers;
use super::checker::BookingObservation;
use super::checker::ChatObservation;
use super::checker::Observations;
use super::checker::PlanObservation;

/// Mean times between chats and between bookings, in milliseconds.
const CHAT_INTERVAL_MS: u64 = 58;
const BOOKING_INTERVAL_MS: u64 = 116;

/// Number of idempotency keys for each ten bookings.
const KEYS_PER_TEN_BOOKINGS: usize = 4;

/// Time before each plan of each of the two operators, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 900;

/// Runs the workload drawn from `seed`, which is spread over `window`, and returns what callers and
/// operators observed.
pub(super) fn run(
    seed: u64,
    window: Duration,
    callers: &Callers,
    operators: &[SocketAddr],
) -> Observations {
    let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
    let count = |interval_ms: u64| usize::try_from(window_ms / interval_ms).unwrap_or(usize::MAX);
    let (chats, bookings) = (count(CHAT_INTERVAL_MS), count(BOOKING_INTERVAL_MS));
    let keys = (bookings * KEYS_PER_TEN_BOOKINGS / 10).max(1);
    let plans = count(PLAN_INTERVAL_MS);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    thread::scope(|scope| {
        let chats: Vec<_> = (0..chats)
            .map(|number| {
                let delay = Duration::from_millis(rng.random_range(0..window_ms));
                let vm = rng.random_range(0..callers.len());
                scope.spawn(move || run_chat(number, delay, || callers.address(vm)))
            })
            .collect();
        let bookings: Vec<_> = (0..bookings)
            .map(|number| {
                let delay = Duration::from_millis(rng.random_range(0..window_ms));
                let vm = rng.random_range(0..callers.len());
                // Several callers use the same idempotency key, each at any VM.
                scope.spawn(move || {
                    run_booking(&format!("booking-{}", number % keys), delay, || {
                        callers.address(vm)
                    })
                })
            })
            .collect();
        let plans: Vec<_> = (0..2)
            .map(|operator| {
                let vm = operators[rng.random_range(0..operators.len())];
                scope.spawn(move || run_operator(operator, plans, vm))
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

fn run_chat(number: usize, delay: Duration, vm: impl Fn() -> SocketAddr) -> ChatObservation {
    thread::sleep(delay);
    let class = [config::TIDE_CHECK, config::COMMENTARY, config::REPLAN][number % 3];
    let prompt = format!("{class} {number}");
    let chat = ChatRequest::new(&config::api_key(number % 4), class, config::MODEL, &prompt);
    let response = client::chat(vm(), &chat);
    ChatObservation {
        class: class.to_owned(),
        expected: chat.expected(),
        tokens: response.tokens,
        complete: response.complete,
        outcome: response.outcome,
        reason: response.reason,
    }
}

fn run_booking(key: &str, delay: Duration, vm: impl Fn() -> SocketAddr) -> BookingObservation {
    thread::sleep(delay);
    let response = client::call_service(vm(), &config::api_key(0), "POST", "/berths/4", key, "{}");
    BookingObservation { key: key.to_owned(), outcome: response.outcome }
}

/// Alternately drains an engine and returns it to service, each time with a plan and its
/// confirmation.
fn run_operator(operator: usize, plans: usize, vm: SocketAddr) -> Vec<PlanObservation> {
    let mut observations = Vec::new();
    for number in 0..plans {
        thread::sleep(Duration::from_millis(PLAN_INTERVAL_MS));
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
