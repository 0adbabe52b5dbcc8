//! Enforces customer limits across all VMs, without a store write for each request.
//!
//! Each customer has a limit coordinator among the living VMs, chosen by rendezvous hashing. Each
//! VM reports the demand of the customer to the coordinator, which divides the limit by max-min
//! fairness. The shares that a coordinator assigns never add up to more than the limit, except that a VM
//! without a share gets up to the even one while the others still have theirs. All of this
//! is soft state: a VM without a valid share uses an even share, which is the limit divided by the
//! number of VMs that live or were seen recently.
//!
//! VMs that disagree about which of them live may have several coordinators. Each of them assigns
//! only the part of the limit that the VMs that it takes for alive are of all VMs seen recently, so that
//! the sides of a partition stay within the limit together. A VM that takes another one for the
//! coordinator assigns nothing.
//!
//! The error is bounded. The number of requests in flight may exceed the limit by one for each VM
//! that a customer has just started to use. The rate may exceed the limit for one report interval,
//! by the even shares of such VMs and one request for each of them. The report interval grows with
//! the number of reporting VMs, so that a coordinator receives at most about 20 reports per second
//! for one customer.

mod client;
mod coordinator;

use std::time::Duration;

use cranberryvalve_core::CustomerId;
use serde::Deserialize;
use serde::Serialize;

pub use client::LimitClient;
pub use coordinator::LimitCoordinator;

/// Minimum interval between two reports about a customer.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of reports about one customer that its coordinator receives per second.
const MAX_REPORTS_PER_S: u32 = 20;

/// Number of report intervals for which a share, and the report behind it, is valid.
const SHARE_VALIDITY_INTERVALS: u32 = 3;

/// Demand of one customer at one VM.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitDemand {
    /// Identifier of the customer.
    pub customer: CustomerId,
    /// Rate of requests per second, including refused ones.
    pub requests_per_s: f64,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of requests refused since the last report.
    pub refused: u32,
}

/// Share of a customer's limits that is assigned to one VM.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitShare {
    /// Identifier of the customer.
    pub customer: CustomerId,
    /// Maximum number of requests per second. `None` if the rate is not limited.
    pub requests_per_s: Option<f64>,
    /// Maximum number of requests in flight. `None` if it is not limited.
    pub in_flight: Option<u32>,
    /// Interval until the next report, in milliseconds.
    pub report_every_ms: u32,
}

/// Returns the interval between two reports if `reporters` VMs report about the same customer.
fn report_interval(reporters: usize) -> Duration {
    let reporters = u32::try_from(reporters).unwrap_or(u32::MAX);
    let spaced = Duration::from_secs(1) * reporters / MAX_REPORTS_PER_S;
    spaced.max(MIN_REPORT_INTERVAL)
}
