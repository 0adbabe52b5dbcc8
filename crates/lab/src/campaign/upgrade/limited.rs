//! Requests of a customer that asks for more than its limit.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_standins::client;
use cranberryvalve_standins::client::ChatRequest;
use cranberryvalve_standins::config;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::super::callers::Callers;
use super::super::checker::LimitedObservation;
use super::CUSTOMERS;

/// Number of callers, each with one request at a time.
const CALLERS: u64 = 16;

/// Number of tokens of each response.
const TOKENS: u64 = 80;

/// Time after a request that was not served.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends requests to VMs at random until `is_over`, and returns when those that were served were in
/// flight.
pub(super) fn run(seed: u64, is_over: &AtomicBool, callers: &Callers) -> Vec<LimitedObservation> {
    thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS)
            .map(|number| scope.spawn(move || call_until(seed ^ (number << 32), is_over, callers)))
            .collect();
        threads.into_iter().filter_map(|it| it.join().ok()).flatten().collect()
    })
}

fn call_until(seed: u64, is_over: &AtomicBool, callers: &Callers) -> Vec<LimitedObservation> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut served = Vec::new();
    let key = config::api_key(CUSTOMERS - 1);
    while !is_over.load(Ordering::SeqCst) {
        let vm = callers.address(rng.random_range(0..callers.len()));
        let chat = ChatRequest::new(&key, config::COMMENTARY, config::MODEL, "tide?");
        let started = Instant::now();
        let response = client::chat(vm, &chat.tokens(TOKENS));
        match response.first_token {
            Some(first) => served
                .push(LimitedObservation { from: started + first, to: started + response.elapsed }),
            None => thread::sleep(RETRY_DELAY),
        }
    }
    served
}
