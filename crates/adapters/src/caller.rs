//! HTTP server for callers.
//!
//! `rouille` and the `tiny_http` that it is based on buffer a streamed response before they send
//! it, do not limit the time that a request head may take, and do not report that a caller has
//! disconnected. This server therefore is a simple loop with a thread per connection, which uses
//! `httparse` for request heads and `chunked_transfer` for bodies.

mod disconnect;
mod head;
mod request;
mod response;
mod server;
mod work;

pub use disconnect::DisconnectMonitor;
pub use disconnect::WatchGuard;
pub use head::BodyKind;
pub use head::HeadError;
pub use head::MAX_HEADERS;
pub use head::OwnedHeaders;
pub use head::RequestHead;
pub use head::copy_headers;
pub use head::method_of;
pub use head::parse_head;
pub use head::parsed_head_len;
pub use request::CallerRequest;
pub use response::Responder;
pub use response::StreamWriter;
pub use server::CallerHandler;
pub use server::CallerServer;
pub use server::ServerLimits;
