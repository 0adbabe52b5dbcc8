//! Simulates what the router serves: batching inference engines behind many VMs.
//!
//! Each VM makes its decisions with the same [`Scheduler`] as the relay. Engines prefill prompts in
//! chunks between decode steps, cache prompt prefixes and serve requests by priority. Time is
//! virtual and all randomness is seeded, so every run gives the same figures.
//!
//! ```
//! use cranberryvalve_model::Fleet;
//! use cranberryvalve_model::Load;
//! use cranberryvalve_model::PlacementPolicy;
//! use cranberryvalve_model::simulate;
//!
//! let report = simulate(&Fleet::small(), &Load::moderate(), PlacementPolicy::Coordinated, 1);
//! assert!(report.on_time_share("stream") > 0.9);
//! ```
//!
//! [`Scheduler`]: cranberryvalve_policy::scheduler::Scheduler

mod baseline;
mod engine;
mod fleet;
mod load;
mod report;
mod simulation;
mod vm;

pub use fleet::Fleet;
pub use fleet::PlacementPolicy;
pub use load::Load;
pub use load::Traffic;
pub use report::Report;
pub use report::Tally;
pub use simulation::simulate;
