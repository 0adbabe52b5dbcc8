//! Bytes of usage reports between 340 VMs with 440 customers.
//!
//! Guards against control traffic above the limit for a VM: 8 KB/s, of which 7.1 KB/s are used by the
//! rest.

use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::usage::ClockReading;
use cranberryvalve_coordination::usage::LocalUsage;
use cranberryvalve_coordination::usage::UsageHolder;
use cranberryvalve_coordination::usage::UsageMessage;
use cranberryvalve_coordination::usage::UsageRules;
use cranberryvalve_coordination::usage::VmCounts;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const CUSTOMERS: usize = 440;

/// Requests a second on a VM, of 2,700 on 340.
const REQUESTS_PER_S: u64 = 8;

/// Simulated time, in seconds.
const SECONDS: u64 = 500;

/// What the rest leaves, in bytes a second.
const LIMIT_BYTES_PER_S: usize = 900;

/// Start of the simulated time: within a window.
const START_MS: u64 = 1_767_225_602_300;

const RULES: UsageRules =
    UsageRules { window: Duration::from_secs(5), due: Duration::from_secs(10), tolerance: 0.05 };

fn address() -> PeerAddress {
    PeerAddress {
        vm: "front-chc-b-212".into(),
        address: ([10, 2, 30, 41], 27_340).into(),
        failure_domain: "chc-b".into(),
    }
}

fn encoded_bytes(message: UsageMessage) -> usize {
    let message = PeerMessage::Usage { from: address(), message };
    postcard::to_stdvec(&message).expect("a message").len()
}

/// Returns the bytes that a VM sends to the holder in each second.
fn bytes_to_holder(requests_per_s: u64) -> Vec<usize> {
    let mut random = Pcg64::seed_from_u64(7);
    let customers: Vec<Arc<str>> = (0..CUSTOMERS).map(|it| format!("hule{it:03}").into()).collect();
    let mut local = LocalUsage::default();
    let mut bytes = Vec::new();
    for second in 0..SECONDS {
        let now_ms = START_MS + second * 1_000;
        for request in 0..requests_per_s {
            let at_ms = now_ms + request * 1_000 / requests_per_s;
            let customer = &customers[random.random_range(0..CUSTOMERS)];
            local.record(RULES.window_at(at_ms), customer);
        }
        let counts = VmCounts {
            vm: address().vm,
            incarnation: START_MS,
            counts_since_ms: START_MS,
            windows: local.take_due(&RULES, now_ms + 1_000),
        };
        let reading = ClockReading { estimate_ms: now_ms, wall_ms: now_ms };
        bytes.push(encoded_bytes(UsageMessage::Counts(counts, reading)));
    }
    bytes
}

fn mean(bytes: &[usize]) -> usize {
    bytes.iter().sum::<usize>() / bytes.len()
}

#[test]
#[expect(clippy::print_stdout, reason = "the figures are for CAPACITY.md")]
fn stay_within_the_limit() {
    let holder = UsageHolder { holder: address(), fencing: 1 << 32 };
    let holder_bytes = encoded_bytes(UsageMessage::Holder(holder));
    for requests_per_s in [REQUESTS_PER_S, 2 * REQUESTS_PER_S] {
        let bytes = bytes_to_holder(requests_per_s);
        // The holder's announcement is repeated each second round.
        let all = mean(&bytes) + holder_bytes / 2;
        let most = bytes.iter().max();
        println!(
            "{requests_per_s} requests/s: {all} bytes/s, at most {most:?}; to the holder {}, \
            announcement {holder_bytes}",
            mean(&bytes)
        );
        assert!(all <= LIMIT_BYTES_PER_S, "{all} bytes a second at {requests_per_s} requests");
    }
}
