//! Benchmark of the time per routing decision.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::UpstreamKind;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::Request;
use cranberryvalve_policy::Router;
use cranberryvalve_policy::RouterSettings;
use cranberryvalve_standins::config;

use crate::report;

/// Number of requests that are timed.
const REQUESTS: u64 = 20_000;

/// Number of requests that wait in the queue while others are timed.
const BACKLOG: u64 = 500;

/// Prints the time that the arrival and the end of a request take together.
pub(super) fn run() {
    report::line("\ndecisions: arrival and end of a request, one thread");
    let mut rows = Vec::new();
    for upstreams in [18, 75, 600] {
        for customers in [10, 440] {
            let idle = time_per_request(upstreams, customers, 0);
            let backlogged = time_per_request(upstreams, customers, BACKLOG);
            rows.push(vec![
                upstreams.to_string(),
                customers.to_string(),
                format!("{:.1}", idle.as_secs_f64() * 1e6),
                format!("{:.1}", backlogged.as_secs_f64() * 1e6),
            ]);
        }
    }
    let header = ["upstreams of the model", "customers", "idle us", "500 waiting us"];
    report::table(&header, &rows);
}

/// Returns the mean time of the arrival and the end of a request.
fn time_per_request(upstreams: usize, customers: usize, backlog: u64) -> Duration {
    let mut config = config::base_config(customers);
    for number in 0..upstreams {
        let address = ([127, 0, (number / 200) as u8, 1], 9_000 + number as u16).into();
        let id = format!("engine-{number}");
        let kind = UpstreamKind::Engine;
        config.upstreams.push(config::upstream(&id, address, kind, "lyttelton", 8));
    }
    let now = Instant::now();
    let settings = RouterSettings::new("vm-1".into(), 1);
    let mut router = Router::new(settings, config.into(), now);
    let slots = 24.min(upstreams as u64) * 8;
    let in_flight = if backlog > 0 { slots + backlog } else { slots / 4 };
    let request = |id: u64| {
        let customer = format!("customer-{}", id as usize % customers);
        let class = config::TIDE_CHECK.into();
        Event::Arrived(Request::new(id, class, customer.into(), config::MODEL.into()))
    };
    for id in 0..in_flight {
        router.handle(now, request(id));
    }
    let started = Instant::now();
    for id in 0..REQUESTS {
        let end = AttemptEnd::Complete { token_interval: None };
        black_box(router.handle(now, Event::Ended { id, attempt: 1, end }));
        black_box(router.handle(now, request(in_flight + id)));
    }
    started.elapsed() / REQUESTS as u32
}
