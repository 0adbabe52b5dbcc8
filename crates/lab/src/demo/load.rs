//! The load of a shift change.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::client::ChatResponse;
use cranberryvalve_standins::client::ServiceResponse;
use cranberryvalve_standins::config;
use cranberryvalve_standins::config::BOOKING;
use cranberryvalve_standins::config::COMMENTARY;
use cranberryvalve_standins::config::REPLAN;
use cranberryvalve_standins::config::TIDE_CHECK;

/// Length of the burst in milliseconds.
const BURST_MS: u64 = 6_000;

/// Number of requests of each class, and the mean number of tokens of their responses.
const CLASS_LOADS: [(&str, u64, u64); 3] =
    [(REPLAN, 140, 160), (COMMENTARY, 120, 50), (TIDE_CHECK, 160, 12)];

/// Number of bookings, each of which is requested twice with the same idempotency key.
const BOOKINGS: u64 = 20;

/// Destination of the requests.
pub(super) enum Target {
    /// The VMs in turn, as a load balancer would send them.
    Vms(Vec<SocketAddr>),
    /// The engines in turn, without a router.
    Engines(RoundRobin),
}

/// Selects engines in turn.
pub(super) struct RoundRobin {
    engines: Vec<SocketAddr>,
    next: AtomicUsize,
}

impl RoundRobin {
    pub(super) const fn new(engines: Vec<SocketAddr>) -> Self {
        Self { engines, next: AtomicUsize::new(0) }
    }

    fn next(&self) -> SocketAddr {
        self.engines[self.next.fetch_add(1, Ordering::Relaxed) % self.engines.len()]
    }
}

/// A model request and its response.
pub(super) struct Sample {
    pub(super) class: &'static str,
    pub(super) chat: ChatRequest,
    pub(super) response: ChatResponse,
}

/// Responses to the requests of the burst.
#[derive(Default)]
pub(super) struct Samples {
    pub(super) chats: Vec<Sample>,
    /// Idempotency key and response of each booking request.
    pub(super) bookings: Vec<(String, ServiceResponse)>,
}

/// Sends the burst and waits for all responses.
pub(super) fn run_burst(target: &Target) -> Samples {
    thread::scope(|scope| {
        let mut chats = Vec::new();
        for (class, count, tokens) in CLASS_LOADS {
            for number in 0..count {
                let delay_ms = start_delay_ms(class, number, count);
                chats.push(scope.spawn(move || {
                    thread::sleep(Duration::from_millis(delay_ms));
                    send(target, class, number, tokens)
                }));
            }
        }
        let bookings: Vec<_> = match target {
            Target::Vms(vms) => {
                (0..BOOKINGS * 2).map(|number| scope.spawn(move || book(vms, number))).collect()
            }
            Target::Engines(_) => Vec::new(),
        };
        Samples {
            chats: chats.into_iter().filter_map(|it| it.join().ok()).collect(),
            bookings: bookings.into_iter().filter_map(|it| it.join().ok()).collect(),
        }
    })
}

/// Returns the delay of a request: replans arrive 5 ms apart from the start, the other classes
/// spread over the length of the burst.
fn start_delay_ms(class: &str, number: u64, count: u64) -> u64 {
    match class {
        REPLAN => number * 5,
        _ => 500 + number * BURST_MS / count,
    }
}

fn send(target: &Target, class: &'static str, number: u64, tokens: u64) -> Sample {
    let prompt = format!("{class} {}", number % 40);
    let customer = number as usize % 10;
    // The length of a response is not known in advance: it varies by half around the class's mean.
    let tokens = tokens / 2 + (number * 7_919) % tokens;
    let chat =
        ChatRequest::new(&config::api_key(customer), class, config::MODEL, &prompt).tokens(tokens);
    let address = match target {
        Target::Vms(vms) => vms[number as usize % vms.len()],
        Target::Engines(engines) => engines.next(),
    };
    let response = client::chat(address, &chat);
    Sample { class, chat, response }
}

fn book(vms: &[SocketAddr], number: u64) -> (String, ServiceResponse) {
    thread::sleep(Duration::from_millis(number * 100));
    let key = format!("{BOOKING}-{}", number / 2);
    let vm = vms[(number * 3) as usize % vms.len()];
    let response = client::call_service(vm, &config::api_key(0), "POST", "/berths/4", &key, "{}");
    (key, response)
}
