//! A model of what the router serves: engines that batch, and many VMs before them.
//!
//! The same [`Scheduler`] as in the relay decides for each VM; engines read prompts in chunks
//! between the tokens of what they run, keep prefixes and serve by priority. Time is virtual and
//! all chance is seeded, so that a figure is the same on every run.
//!
//! ```
//! use cranberryvalve_model::Decider;
//! use cranberryvalve_model::Fleet;
//! use cranberryvalve_model::Load;
//! use cranberryvalve_model::simulate;
//!
//! let report = simulate(&Fleet::small(), &Load::calm(), Decider::Scheduler, 1);
//! assert!(report.on_time("stream") > 0.9);
//! ```
//!
//! [`Scheduler`]: cranberryvalve_policy::scheduler::Scheduler

mod engine;
mod fleet;
mod load;
mod plain;
mod report;
mod simulation;
mod vm;

pub use fleet::Decider;
pub use fleet::Fleet;
pub use load::Load;
pub use load::Traffic;
pub use report::Report;
pub use report::Tally;
pub use simulation::simulate;
