//! A model engine.
//!
//! The text of an answer depends only on the request and the position, so that any engine can
//! continue what another one began, and a client can tell whether an answer is whole and its own.

mod answer;
mod scheduler;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use cranberryvalve_adapters::caller::CallerHandler;
use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::CallerServer;
use cranberryvalve_adapters::caller::Limits;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_coordination::orders::FencedOrder;
use cranberryvalve_core::Digest;
use cranberryvalve_core::Tier;
use serde_json::Value;
use serde_json::json;

use self::answer::answer_of;
use self::answer::events;
pub use self::answer::expected_tokens;
use self::scheduler::Scheduler;
use crate::ports::ANY;

/// How an engine behaves when nothing is wrong.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Time for reading a prompt that is not cached.
    pub prefill: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Age of the load that it reports.
    pub report_lag: Duration,
    /// Prompts whose beginning it keeps.
    pub cached_prefixes: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            prefill: Duration::from_millis(20),
            token_interval: Duration::from_millis(5),
            report_lag: Duration::from_millis(100),
            cached_prefixes: 32,
        }
    }
}

/// Faults of an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Factor by which everything takes longer; 0 and 1 mean as usual.
    pub slowdown: u32,
    /// Tokens after which each stream is cut.
    pub cut_after: Option<u64>,
    /// Tokens after which each stream stays open and carries nothing.
    pub silent_after: Option<u64>,
    /// Whether it refuses new work and says that it is leaving.
    pub leaving: bool,
    /// Whether it closes every connection at once.
    pub down: bool,
    /// Whether it swaps neighbouring chunks, repeats some, and mixes in chunks of other answers.
    pub scrambled: bool,
    /// Whether its status is not answered.
    pub status_down: bool,
    /// Whether it carries out orders with an old fencing token.
    pub ignores_fencing: bool,
    /// Time that an order takes.
    pub order_delay: Duration,
    /// Orders that it carries out and whose answer it loses.
    pub lose_order_answers: u32,
}

/// What an engine did with one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRun {
    /// Attempt, as named by the router.
    pub attempt_id: String,
    /// Priority.
    pub priority: Tier,
    /// Prompt.
    pub prompt: String,
    /// First position that it computed.
    pub start: u64,
    /// Tokens that it computed.
    pub tokens: u64,
    /// Whether it sent the whole rest of the answer.
    pub complete: bool,
}

/// An engine that runs until it is dropped.
pub struct Engine {
    name: String,
    shared: Arc<Shared>,
    server: CallerServer,
}

struct Shared {
    settings: EngineSettings,
    faults: Mutex<EngineFaults>,
    scheduler: Scheduler,
    runs: Mutex<Vec<EngineRun>>,
    prefixes: Mutex<Vec<Digest>>,
    loads: Mutex<Vec<(std::time::Instant, BTreeMap<Tier, u32>)>>,
    orders: Mutex<OrderBook>,
}

/// Orders that an engine has carried out.
#[derive(Debug, Default, Clone)]
pub struct OrderBook {
    /// Highest fencing token seen.
    pub highest_fencing: u64,
    /// Orders carried out, in sequence.
    pub carried_out: Vec<FencedOrder>,
    /// Orders refused for an old fencing token.
    pub refused: u32,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails when it cannot listen.
    pub fn start(name: &str, settings: EngineSettings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            scheduler: Scheduler::new(settings.slots),
            settings,
            faults: Mutex::default(),
            runs: Mutex::default(),
            prefixes: Mutex::default(),
            loads: Mutex::default(),
            orders: Mutex::default(),
        });
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
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// What it did so far.
    pub fn runs(&self) -> Vec<EngineRun> {
        lock(&self.shared.runs).clone()
    }

    /// Orders that it carried out.
    pub fn orders(&self) -> OrderBook {
        lock(&self.shared.orders).clone()
    }

    /// Requests that run at present.
    pub fn running(&self) -> usize {
        self.shared.scheduler.running()
    }
}

impl Drop for Engine {
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
        match (&*request.head.method, request.head.path()) {
            ("GET", "/load") if !faults.status_down => self.send_load(&faults, responder),
            ("POST", "/v1/chat/completions") => self.chat(&request, stream, responder),
            ("POST", "/orders") => self.order(&request, &faults, responder),
            ("GET", "/orders") => {
                let orders = lock(&self.shared.orders).carried_out.clone();
                let body = json!({ "orders": orders }).to_string();
                let _ = responder.respond(200, &[], body.as_bytes());
            }
            _ => responder.close(),
        }
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let _ = responder.respond(status, &[], message.as_bytes());
    }
}

impl Handler {
    fn send_load(&self, faults: &EngineFaults, responder: &mut Responder<'_>) {
        let by_tier = self.shared.lagging_load();
        let body = json!({ "by_tier": by_tier, "leaving": faults.leaving }).to_string();
        let headers = [("content-type", "application/json")];
        let _ = responder.respond(200, &headers, body.as_bytes());
    }

    fn order(&self, request: &CallerRequest, faults: &EngineFaults, responder: &mut Responder<'_>) {
        let Ok(order) = serde_json::from_slice::<FencedOrder>(&request.body) else {
            let _ = responder.respond(400, &[], b"not an order");
            return;
        };
        if !self.shared.admit_order(&order, faults.ignores_fencing) {
            let _ = responder.respond(409, &[("x-not-run", "true")], b"old fencing token");
            return;
        }
        thread::sleep(faults.order_delay);
        lock(&self.shared.orders).carried_out.push(order);
        let mut faults = lock(&self.shared.faults);
        if faults.lose_order_answers > 0 {
            faults.lose_order_answers -= 1;
            responder.close();
            return;
        }
        let _ = responder.respond(200, &[], b"{}");
    }

    fn chat(&self, request: &CallerRequest, stream: &TcpStream, responder: &mut Responder<'_>) {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            let _ = responder.respond(400, &[], b"not JSON");
            return;
        };
        if lock(&self.shared.faults).leaving {
            let headers = [("x-not-run", "true"), ("x-leaving", "true")];
            let _ = responder.respond(503, &headers, b"leaving");
            return;
        }
        let run = EngineRun {
            attempt_id: body["request_id"].as_str().unwrap_or_default().to_owned(),
            priority: body["priority"].as_u64().unwrap_or(0) as Tier,
            prompt: body["messages"][0]["content"].as_str().unwrap_or_default().to_owned(),
            start: body["resume_position"].as_u64().unwrap_or(0),
            tokens: 0,
            complete: false,
        };
        let run = self.run(&body, run, stream, responder);
        responder.close();
        lock(&self.shared.runs).push(run);
    }

    fn run(
        &self,
        body: &Value,
        mut run: EngineRun,
        stream: &TcpStream,
        responder: &mut Responder<'_>,
    ) -> EngineRun {
        let Some(_slot) = self.shared.scheduler.acquire(run.priority, || is_gone(stream)) else {
            return run;
        };
        let (digest, count) = answer_of(body);
        self.shared.pause(self.shared.prefill_of(&digest));
        let Ok(mut writer) = responder.stream(&[("content-type", "text/event-stream")]) else {
            return run;
        };
        for position in run.start..count {
            let faults = lock(&self.shared.faults).clone();
            if faults.cut_after.is_some_and(|it| run.tokens >= it) || faults.down {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return run;
            }
            if faults.silent_after.is_some_and(|it| run.tokens >= it) {
                self.stay_silent(stream);
                return run;
            }
            self.shared.pause(self.shared.settings.token_interval);
            run.tokens += 1;
            let is_last = position + 1 == count;
            let events = events(&run, &digest, position, is_last, faults.scrambled);
            if writer.send(&events).is_err() {
                return run;
            }
        }
        let end = json!({
            "id": run.attempt_id, "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            "usage": { "completion_tokens": count },
        });
        run.complete = writer.send(&format!("data: {end}\n\ndata: [DONE]\n\n")).is_ok();
        run
    }

    fn stay_silent(&self, stream: &TcpStream) {
        while lock(&self.shared.faults).silent_after.is_some() && !is_gone(stream) {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Shared {
    fn pause(&self, usual: Duration) {
        let slowdown = lock(&self.faults).slowdown.max(1);
        thread::sleep(usual * slowdown);
    }

    /// Whether an order is accepted, by its fencing token.
    fn admit_order(&self, order: &FencedOrder, ignores_fencing: bool) -> bool {
        let mut orders = lock(&self.orders);
        if order.fencing < orders.highest_fencing && !ignores_fencing {
            orders.refused += 1;
            return false;
        }
        orders.highest_fencing = orders.highest_fencing.max(order.fencing);
        true
    }

    /// Time for reading a prompt, and notes it as cached.
    fn prefill_of(&self, digest: &Digest) -> Duration {
        let mut prefixes = lock(&self.prefixes);
        let known = prefixes.iter().position(|it| it == digest);
        if let Some(index) = known {
            prefixes.remove(index);
        }
        prefixes.push(digest.clone());
        if prefixes.len() > self.settings.cached_prefixes {
            prefixes.remove(0);
        }
        if known.is_some() { self.settings.prefill / 10 } else { self.settings.prefill }
    }

    /// The load as it was some time ago.
    fn lagging_load(&self) -> BTreeMap<Tier, u32> {
        let now = std::time::Instant::now();
        let mut loads = lock(&self.loads);
        loads.push((now, self.scheduler.load()));
        let is_old = |at: &std::time::Instant| now.duration_since(*at) >= self.settings.report_lag;
        let oldest_needed = loads.iter().rposition(|(at, _)| is_old(at)).unwrap_or(0);
        loads.drain(..oldest_needed);
        loads.first().map(|(_, load)| load.clone()).unwrap_or_default()
    }
}

pub(crate) fn is_gone(stream: &TcpStream) -> bool {
    let Ok(()) = stream.set_read_timeout(Some(Duration::from_millis(1))) else { return true };
    let mut byte = [0];
    matches!(stream.peek(&mut byte), Ok(0))
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
