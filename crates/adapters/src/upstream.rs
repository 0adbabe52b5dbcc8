//! Calls to upstreams.
//!
//! Every attempt has a connection of its own. A pooled connection may be stale or silent, and then
//! a call that may not be repeated is in doubt; at a few requests a second a fresh connection costs
//! one round trip and removes that case. The connection records whether a byte was sent and can be
//! shut down from another thread.

mod call;
mod connection;
mod engine;
mod order;

pub use call::CallError;
pub use call::UpstreamAnswer;
pub use call::call;
pub use connection::CancelHandle;
pub use connection::Timeouts;
pub use engine::EngineEvent;
pub use engine::EngineRequest;
pub use engine::EngineStatus;
pub use engine::EngineStream;
pub use engine::decode_chunk;
pub use engine::fetch_status;
pub use engine::open_stream;
pub use order::OrderResult;
pub use order::carries_order;
pub use order::send_order;

/// Header in which an upstream attests that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Header in which an upstream says that it is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Header that carries the identifier of an attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
