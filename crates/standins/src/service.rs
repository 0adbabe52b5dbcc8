//! A fake plain service that records each effect.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use cranberryvalve_adapters::caller::CallerHandler;
use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::CallerServer;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::caller::ServerLimits;
use serde_json::json;

use crate::engine::lock;
use crate::ports::ANY_PORT;

/// Faults that a plain service injects.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Time between the effect of a call and its response.
    pub delay: Duration,
    /// Whether the service closes the connection after the effect, without a response.
    pub cut_after_effect: bool,
    /// Status of the response after the effect, without `x-not-run`; `None` for 200.
    pub status_after_effect: Option<u16>,
    /// Whether the service rejects calls and reports with `x-not-run` that they had no effect.
    pub rejecting: bool,
    /// Whether the service closes every connection without a response.
    pub down: bool,
}

/// Record of a call that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// Method and request target, separated by a space.
    pub call: String,
    /// Idempotency key; empty if the call had none.
    pub idempotency_key: String,
    /// Attempt ID that the router sent as `x-attempt-id`; empty if there was none.
    pub attempt_id: String,
}

/// A fake plain service that runs until it is dropped.
pub struct Service {
    name: String,
    shared: Arc<Shared>,
    server: CallerServer,
}

#[derive(Default)]
struct Shared {
    faults: Mutex<ServiceFaults>,
    effects: Mutex<Vec<Effect>>,
}

impl Service {
    /// Starts a plain service on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the service cannot listen.
    pub fn start(name: &str) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::new(Handler { shared: shared.clone() });
        let server = CallerServer::start(ANY_PORT, ServerLimits::default(), handler)?;
        Ok(Self { name: name.to_owned(), shared, server })
    }

    /// Returns the upstream ID of the service.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the service listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Returns the recorded effects, oldest first.
    pub fn effects(&self) -> Vec<Effect> {
        lock(&self.shared.effects).clone()
    }

    /// Returns the number of effects with the idempotency key `key`.
    pub fn effect_count(&self, key: &str) -> usize {
        self.effects().iter().filter(|it| it.idempotency_key == key).count()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.server.close();
    }
}

struct Handler {
    shared: Arc<Shared>,
}

impl CallerHandler for Handler {
    fn handle(&self, request: CallerRequest, stream: &TcpStream, responder: &mut Responder<'_>) {
        let faults = lock(&self.shared.faults).clone();
        if faults.down {
            responder.close();
            return;
        }
        if request.head.path() == "/load" {
            let _ = responder.respond(200, &[], b"{\"by_tier\":{},\"leaving\":false}");
            return;
        }
        if faults.rejecting {
            let _ = responder.respond(503, &[("x-not-run", "true")], b"refused");
            return;
        }
        let header = |name: &str| request.head.header(name).unwrap_or_default().to_owned();
        let effect = Effect {
            call: format!("{} {}", request.head.method, request.head.target),
            idempotency_key: header("idempotency-key"),
            attempt_id: header("x-attempt-id"),
        };
        let number = {
            let mut effects = lock(&self.shared.effects);
            effects.push(effect.clone());
            effects.len()
        };
        thread::sleep(faults.delay);
        if faults.cut_after_effect {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
        let body = json!({ "call": effect.call, "key": effect.idempotency_key, "number": number })
            .to_string();
        let headers = [("content-type", "application/json")];
        let status = faults.status_after_effect.unwrap_or(200);
        let _ = responder.respond(status, &headers, body.as_bytes());
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let _ = responder.respond(status, &[], message.as_bytes());
    }
}
