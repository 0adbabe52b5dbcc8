//! Coordination of many VMs through a table service that somebody else runs.
//!
//! Every part is a pure state machine: it takes the present time and what happened, and returns
//! what an adapter must do. None of them has a clock, a thread, a socket or unseeded randomness,
//! so that each can be embedded anywhere and tested exhaustively.
//!
//! - [`home`]: the VM that keeps the common knowledge of something.
//! - [`lease`]: one holder at a time, with fencing tokens.
//! - [`ledger`]: at-most-once execution of calls that may not be repeated.
//! - [`plan`]: changes that are planned first, and confirmed by one conditional write.
//! - [`replica`]: an accepted configuration in force on every VM, never reverting.
//! - [`limits`]: a customer's rate and concurrency over all VMs.
//! - [`membership`]: which VMs are alive, and which of them talk to each other.
//! - [`leaving`]: which upstreams leave, from sources that lag and disagree.
//! - [`orders`]: what is left to order of an engine.
//! - [`peer`]: the messages that VMs exchange.
//! - [`store`]: the port to the table service and the object store.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::replica::Replica;
//! use cranberryvalve_coordination::replica::Freshness;
//!
//! let now = Instant::now();
//! let replica = Replica::new(now);
//! assert_eq!(replica.freshness(now + Duration::from_secs(9)), Freshness::Stale);
//! ```

pub mod home;
pub mod lease;
pub mod leaving;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod orders;
pub mod peer;
pub mod plan;
pub mod replica;
pub mod store;
