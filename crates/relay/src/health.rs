//! Tells the balancer whether callers should be sent here.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;

use cranberryvalve_adapters::caller::CallerHandler;
use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::CallerServer;
use cranberryvalve_adapters::caller::Limits;
use cranberryvalve_adapters::caller::Responder;

use crate::state::Relay;

/// Answers `GET path` at `address` with 200 while the relay is ready, else with 503.
///
/// # Errors
///
/// Fails when the address is in use or not this VM's.
pub fn serve(relay: &Arc<Relay>, address: SocketAddr, path: &'static str) -> io::Result<()> {
    let handler = Arc::new(Health { relay: relay.clone(), path });
    // The accepting thread lives on without the server's handle.
    CallerServer::start(address, Limits::default(), handler).map(drop)
}

struct Health {
    relay: Arc<Relay>,
    path: &'static str,
}

impl CallerHandler for Health {
    fn handle(&self, request: CallerRequest, _stream: &TcpStream, responder: &mut Responder<'_>) {
        let status = match request.head.path() {
            path if path != self.path => 404,
            _ if self.relay.is_ready() => 200,
            _ => 503,
        };
        // An error means that the balancer asks no longer.
        let _ = responder.respond(status, &[], b"");
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let _ = responder.respond(status, &[], message.as_bytes());
    }
}
