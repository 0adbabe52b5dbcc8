//! Relays HTTP calls of any method, path and body from callers to scheduled upstreams.
//!
//! A [`Relay`] connects the [`Scheduler`], which does no I/O, with sockets. One thread per caller
//! connection reads a call, waits for the scheduler's decision, forwards the call to the chosen
//! upstream and relays the response, event by event if it is a stream. Platform-specific
//! conventions, such as header names, are behind the [`Dialect`] trait; the [`sources`] of routing
//! tables and directories are traits as well.
//!
//! [`Scheduler`]: cranberryvalve_policy::scheduler::Scheduler

mod attribution;
mod body;
mod call_log;
mod caller;
pub mod client;
mod config_log;
mod connections;
mod count_guard;
mod crashes;
mod dialect;
mod dispatch;
mod events;
mod exchange;
mod forwarding;
pub mod health;
mod lifecycle;
mod memory;
pub mod peers;
mod refusal;
mod response;
mod service;
mod slots;
mod socket;
pub mod sources;
mod state;
mod streams;
pub mod usage;

pub use dialect::CallMetadata;
pub use dialect::Dialect;
pub use dialect::ForwardedCall;
pub use dialect::Rejection;
pub use dialect::ResponseFacts;
pub use dialect::UpstreamRequest;
pub use lifecycle::ShutdownSettings;
pub use refusal::InvalidRequest;
pub use refusal::LostResponse;
pub use refusal::Refusal;
pub use response::ResponseHead;
pub use state::Relay;
pub use state::RelaySettings;
