//! Adapters between the I/O-free crates of cranberryvalve and the network.
//!
//! This crate does all input and output: HTTP with callers ([`caller`]), upstreams ([`upstream`])
//! and the platform ([`platform`]), messages between VMs ([`links`]), resume tokens ([`resume`]),
//! and logs and metrics ([`telemetry`]).
//!
//! ```
//! use cranberryvalve_adapters::resume::ResumeClaims;
//! use cranberryvalve_adapters::shared_key::SharedKey;
//!
//! let key = SharedKey::new(b"a secret that all VMs share");
//! let claims = ResumeClaims {
//!     customer: "tasman".into(),
//!     request: cranberryvalve_core::Digest::of(b"{}"),
//!     stream: 7,
//! };
//! let token = claims.sign(&key);
//! assert_eq!(ResumeClaims::verify(&token, &key), Some(claims));
//! ```

pub mod caller;
pub mod links;
pub mod platform;
pub mod resume;
pub mod shared_key;
pub mod telemetry;
pub mod threads;
pub mod upstream;
