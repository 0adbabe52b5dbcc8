//! A plain service that counts each effect.

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
use cranberryvalve_adapters::caller::Limits;
use cranberryvalve_adapters::caller::Responder;
use serde_json::json;

use crate::engine::lock;
use crate::ports::ANY;

/// Faults of a plain service.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Time that each call takes.
    pub delay: Duration,
    /// Whether it cuts the connection after the effect, without an answer.
    pub cut_after_effect: bool,
    /// Whether it refuses calls without running them, and says so.
    pub refusing: bool,
    /// Whether it closes every connection at once.
    pub down: bool,
}

/// One effect of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// Method and path.
    pub call: String,
    /// Idempotency key, empty when there is none.
    pub key: String,
    /// Attempt, as named by the router.
    pub attempt_id: String,
}

/// A plain service that runs until it is dropped.
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
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Fails when it cannot listen.
    pub fn start(name: &str) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::new(Handler { shared: shared.clone() });
        let server = CallerServer::start(ANY, Limits::default(), handler)?;
        Ok(Self { name: name.to_owned(), shared, server })
    }

    /// Name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes its faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Effects so far.
    pub fn effects(&self) -> Vec<Effect> {
        lock(&self.shared.effects).clone()
    }

    /// Effects of the call with the idempotency key `key`.
    pub fn effects_of(&self, key: &str) -> usize {
        self.effects().iter().filter(|it| it.key == key).count()
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
        if faults.refusing {
            let _ = responder.respond(503, &[("x-not-run", "true")], b"refused");
            return;
        }
        let header = |name: &str| request.head.header(name).unwrap_or_default().to_owned();
        let effect = Effect {
            call: format!("{} {}", request.head.method, request.head.target),
            key: header("idempotency-key"),
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
        let body = json!({ "call": effect.call, "key": effect.key, "number": number }).to_string();
        let headers = [("content-type", "application/json")];
        let _ = responder.respond(200, &headers, body.as_bytes());
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let _ = responder.respond(status, &[], message.as_bytes());
    }
}
