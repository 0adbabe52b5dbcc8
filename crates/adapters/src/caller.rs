//! The HTTP server that callers talk to.
//!
//! `rouille` and its base `tiny_http` collect a streamed answer before they send it, give no limit
//! on the time that a request's head may take, and do not show a connection whose caller is gone.
//! This server is therefore a plain loop over connections, with `httparse` for the head and
//! `chunked_transfer` for bodies.

mod connection;
mod head;
mod presence;
mod response;
mod server;

pub use connection::CallerRequest;
pub use head::BodyKind;
pub use head::HeadError;
pub use head::MAX_HEADERS;
pub use head::OwnedHeaders;
pub use head::RequestHead;
pub use head::head_len;
pub use head::owned_headers;
pub use head::parse_head;
pub use presence::PresenceWatch;
pub use presence::Watched;
pub use response::Responder;
pub use response::StreamWriter;
pub use server::CallerHandler;
pub use server::CallerServer;
pub use server::Limits;
