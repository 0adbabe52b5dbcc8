//! HTTP client of the upstreams.
//!
//! Every attempt opens its own connection. A pooled connection may turn out to be stale or dead,
//! which leaves the outcome of a request that must not be repeated in doubt. At a few requests per
//! second, a new connection costs one round trip and avoids that case. The connection records
//! whether a byte was sent and can be shut down from another thread.

mod call;
mod connection;
mod engine;
mod order;

pub use call::CallError;
pub use call::UpstreamResponse;
pub use call::call;
pub(crate) use call::is_framed;
pub use connection::CancelHandle;
pub use connection::Timeouts;
pub use engine::EngineEvent;
pub use engine::EngineRequest;
pub use engine::EngineStatus;
pub use engine::EngineStream;
pub use engine::decode_chunk;
pub use engine::fetch_status;
pub use engine::open_stream;
pub use order::OrderOutcome;
pub use order::has_carried_out;
pub use order::send_order;

/// Response header with which an upstream attests that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Response header with which an upstream announces that it is about to leave.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Request header with the identifier of the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
