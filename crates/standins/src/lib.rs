//! Fake servers for the systems around cranberryvalve, for tests, demonstrations and benchmarks.
//!
//! Each stand-in is a small server that runs in the calling process on its own loopback port. All
//! of them can inject faults, and most record what they received:
//!
//! - [`engine`]: a model engine that runs requests in parallel by priority, streams and resumes
//!   responses, and stops when the caller disconnects;
//! - [`service`]: a plain service that records each effect;
//! - [`platform`]: the table service, the object store and the list of VMs;
//! - [`peer`]: a VM of another build, that only sends heartbeats;
//! - [`proxy`]: a TCP proxy that delays, stalls, slows down, resets and cuts connections.
//!
//! [`vm`] starts real daemons, [`cluster`] starts a complete deployment, and [`client`] sends
//! requests to them.
//!
//! ```
//! use cranberryvalve_standins::engine::Engine;
//! use cranberryvalve_standins::engine::EngineSettings;
//!
//! let engine = Engine::start("engine-1", EngineSettings::default()).expect("a free port");
//! assert_eq!(engine.runs().len(), 0);
//! ```

pub mod client;
pub mod cluster;
pub mod config;
pub mod engine;
pub mod peer;
pub mod platform;
pub mod ports;
pub mod proxy;
pub mod service;
pub mod vm;
