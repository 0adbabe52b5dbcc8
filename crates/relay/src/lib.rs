//! Relays HTTP calls of any method, path and body from callers to scheduled upstreams.
//!
//! A [`Relay`] joins the pure [`Scheduler`] with sockets: one thread for each caller's connection
//! reads a call, waits for the scheduler's decision, exchanges the call with the chosen upstream
//! and passes the answer on, event by event where it is a stream. What is peculiar to a platform
//! (names of headers, where tables and directories come from) is behind the [`Dialect`] trait.
//!
//! [`Scheduler`]: cranberryvalve_policy::scheduler::Scheduler

mod body;
mod call_log;
mod caller;
pub mod client;
mod connections;
mod dialect;
mod dispatch;
mod events;
mod exchange;
pub mod health;
mod lifecycle;
pub mod peers;
mod response;
mod service;
mod socket;
pub mod sources;
mod state;

pub use dialect::CallFacts;
pub use dialect::Dialect;
pub use dialect::OutgoingCall;
pub use dialect::Refusal;
pub use dialect::Verdict;
pub use lifecycle::StopSettings;
pub use response::AnswerHead;
pub use state::Relay;
pub use state::RelaySettings;
