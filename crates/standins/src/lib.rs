//! Stand-ins of the systems around cranberryvalve, for tests, demonstrations and measurements.
//!
//! Each stand-in is a small server in the calling process, on a loopback port of its own, with a
//! control for its faults and a record of what it did:
//!
//! - [`engine`]: a model engine that batches, honours priorities, streams, resumes and cancels;
//! - [`service`]: a plain service that counts each effect;
//! - [`platform`]: the table service, the object store and the list of VMs;
//! - [`proxy`]: a TCP proxy that delays, cuts and goes silent.
//!
//! [`vm`] starts real daemons, [`cluster`] a whole deployment, and [`client`] calls them.
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
pub mod platform;
pub mod ports;
pub mod proxy;
pub mod service;
pub mod vm;
