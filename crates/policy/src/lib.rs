//! Routing decisions of one VM, without I/O.
//!
//! [`Router`] is a state machine without clock, threads, sockets or unseeded randomness. It takes
//! the current time and an [`Event`], and returns the [`Action`]s that an adapter must carry out.
//! The daemon, the differential tests and the benchmarks all run this same code.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Instant;
//!
//! use cranberryvalve_core::Config;
//! use cranberryvalve_policy::Action;
//! use cranberryvalve_policy::Event;
//! use cranberryvalve_policy::Request;
//! use cranberryvalve_policy::Router;
//! use cranberryvalve_policy::RouterSettings;
//!
//! let config = Config::from_toml(
//!     r#"
//!     [[class]]
//!     id = "tide-check"
//!     tier = 0
//!
//!     [[upstream]]
//!     id = "engine-1"
//!     address = "127.0.0.1:9001"
//!     kind = "engine"
//!     pools = ["harbour-7b"]
//!     failure_domain = "lyttelton"
//!     "#,
//! )
//! .expect("valid document");
//! let now = Instant::now();
//! let mut router = Router::new(RouterSettings::new("vm-1".into(), 7), Arc::new(config), now);
//! let request = Request::new(1, "tide-check".into(), "dispatch".into(), "harbour-7b".into());
//! let actions = router.handle(now, Event::Arrived(request));
//! assert!(matches!(&actions[..], [Action::Send(order)] if &*order.upstream == "engine-1"));
//! ```

pub mod connections;
mod event;
pub mod execution;
pub mod memory;
pub mod performance;
mod pressure;
mod queue;
mod request;
mod retry;
mod router;
pub mod scheduler;
mod stream;
mod upstream;

pub use event::Action;
pub use event::AttemptEnd;
pub use event::Conclusion;
pub use event::Event;
pub use event::SendCommand;
pub use request::Request;
pub use router::PoolSnapshot;
pub use router::Router;
pub use router::RouterSettings;
pub use router::RouterSnapshot;
pub use router::UpstreamSnapshot;
pub use stream::ChunkAction;
pub use stream::EngineChunk;
pub use stream::TokenAssembler;
pub use upstream::CircuitState;
pub use upstream::LoadReport;
