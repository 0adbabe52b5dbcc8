//! Customers' limits over all VMs, without a store write for each request.
//!
//! Each customer has a home among the living VMs, chosen by rendezvous hashing. A VM reports to the
//! home what the customer asks of it, and the home shares the limit out by max-min fairness. The
//! shares of a home never add up to more than the limit. All of it is soft state: a VM without a
//! valid share uses an even one, the limit divided by the number of living VMs.
//!
//! The error is bounded. Requests in flight may exceed the limit by one for each VM that a customer
//! has just turned to. The rate may, for one report interval, exceed it by the even shares of such
//! VMs and one request each. The report interval grows with the number of reporters, so that a home takes at most
//! about 20 reports a second for a customer.

mod client;
mod home;

use std::time::Duration;

use cranberryvalve_core::CustomerId;
use serde::Deserialize;
use serde::Serialize;

pub use client::LimitClient;
pub use home::LimitHome;

/// Shortest pause between two reports about a customer.
pub const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Reports about one customer that its home takes in a second, at most.
const REPORTS_PER_S: u32 = 20;

/// Report intervals for which a share is valid.
const SHARE_INTERVALS: u32 = 3;

/// What a customer asks of one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// Customer.
    pub customer: CustomerId,
    /// Requests per second, admitted or not.
    pub requests_per_s: f64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests refused since the last report.
    pub refused: u32,
}

/// A VM's share of a customer's limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitShare {
    /// Customer.
    pub customer: CustomerId,
    /// Requests per second; none means no limit.
    pub requests_per_s: Option<f64>,
    /// Requests in flight; none means no limit.
    pub in_flight: Option<u32>,
    /// Pause until the next report, in milliseconds.
    pub report_every_ms: u32,
}
/// Pause between two reports when there are `reporters`.
fn report_interval(reporters: usize) -> Duration {
    let reporters = u32::try_from(reporters).unwrap_or(u32::MAX);
    let spaced = Duration::from_secs(1) * reporters / REPORTS_PER_S;
    spaced.max(REPORT_EVERY)
}
