//! Coordination of many VMs through an external table service.
//!
//! Every component is a pure state machine: it takes the current time and an event, and returns
//! what an adapter must do. None of them uses a clock, a thread, a socket or unseeded randomness,
//! so each can be embedded anywhere and tested exhaustively.
//!
//! - [`builds`]: which build each VM runs.
//! - [`contacts`]: addresses of a few VMs in the store, through which VMs find each other.
//! - [`duties`]: a duty that one VM at a time carries out.
//! - [`era`]: for how long a VM has known the era of a store that may be restored.
//! - [`feed`]: tables that VMs pass on to each other as changes.
//! - [`home`]: choice of the coordinator of a resource by rendezvous hashing.
//! - [`lease`]: mutual exclusion by leases with fencing tokens.
//! - [`ledger`]: at-most-once execution of calls that must not be repeated.
//! - [`permits`]: rate limits that upstreams name for all VMs, kept by permits.
//! - [`plan`]: configuration changes that are planned, then confirmed by one conditional write.
//! - [`reachability`]: whether a VM reaches the upstreams, and which VMs can forward its calls.
//! - [`replica`]: each VM's copy of the configuration, whose version never decreases.
//! - [`limits`]: rate and concurrency limits of a customer across all VMs.
//! - [`membership`]: which VMs are alive, and which of them exchange heartbeats.
//! - [`leaving`]: which upstreams are leaving, from sources that lag and disagree.
//! - [`orders`]: orders that an engine has yet to carry out.
//! - [`origins`]: which software version began a stream.
//! - [`peer`]: messages exchanged between VMs.
//! - [`quarantine`]: calls that crash upstreams are held back on all VMs.
//! - [`store`]: interface to the table service and the object store.
//! - [`transfer`]: transfer of a large versioned value between VMs, in parts.
//! - [`usage`]: requests by window and customer, for usage reports.
//! - [`versions`]: which software versions of a pool may have open streams.
//! - [`watch`]: which VMs of a failure domain read a source for all of them.
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

pub mod builds;
pub mod contacts;
pub mod duties;
pub mod era;
pub mod feed;
pub mod home;
pub mod lease;
pub mod leaving;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod orders;
pub mod origins;
pub mod peer;
pub mod permits;
pub mod plan;
pub mod quarantine;
pub mod reachability;
pub mod releases;
pub mod replica;
pub mod store;
pub mod transfer;
pub mod usage;
pub mod versions;
pub mod watch;
