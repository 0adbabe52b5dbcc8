//! A fake model engine.
//!
//! Each token of a response depends only on the request and the position. Any engine can therefore
//! resume a response that another one started, and a client can check that a response is complete
//! and belongs to its request.

mod response;
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
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::caller::ServerLimits;
use cranberryvalve_adapters::caller::StreamWriter;
use cranberryvalve_coordination::orders::FencedOrder;
use cranberryvalve_core::Digest;
use cranberryvalve_core::Tier;
use serde_json::Value;
use serde_json::json;

pub use self::response::expected_tokens;
use self::response::response_parameters;
use self::response::token_events;
use self::scheduler::Scheduler;
use crate::ports::ANY_PORT;

/// Behaviour of an engine without faults.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Prefill time of a prompt that is not cached; a cached prompt takes a tenth of it.
    pub prefill: Duration,
    /// Time between two tokens of a response.
    pub token_interval: Duration,
    /// Age of the load that the engine reports.
    pub load_report_delay: Duration,
    /// Maximum number of prompts in the prefix cache.
    pub prompt_cache_capacity: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            prefill: Duration::from_millis(20),
            token_interval: Duration::from_millis(5),
            load_report_delay: Duration::from_millis(100),
            prompt_cache_capacity: 32,
        }
    }
}

/// Faults that an engine injects.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Factor by which prefill and token intervals are longer; 0 and 1 both mean normal speed.
    pub slowdown: u32,
    /// Number of tokens after which the connection of each stream is cut; `None` for no cut.
    pub cut_after_tokens: Option<u64>,
    /// Number of tokens after which each stream stays open without sending data; `None` if streams
    /// do not stall.
    pub stall_after_tokens: Option<u64>,
    /// Whether the engine rejects requests that resume a response as invalid.
    pub declines_resumption: bool,
    /// Whether the engine rejects new requests and reports that it is shutting down.
    pub leaving: bool,
    /// Whether the engine closes every connection without a response, and cuts running streams.
    pub down: bool,
    /// Whether streams contain reordered and repeated chunks, and chunks of other responses.
    pub reorders_chunks: bool,
    /// Whether the engine closes the connection of load requests without a response.
    pub load_unavailable: bool,
    /// Whether the engine executes orders that have an outdated fencing token.
    pub ignores_fencing: bool,
    /// Time to execute an order.
    pub order_delay: Duration,
    /// Number of further orders that the engine executes without sending the response.
    pub lost_order_responses: u32,
    /// Status with which the engine responds to an order, without `x-not-run`, before it executes
    /// the order.
    pub early_order_status: Option<u16>,
}

/// Record of one attempt that an engine received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRun {
    /// Attempt ID that the router sent as `request_id`.
    pub attempt_id: String,
    /// Priority that the router sent.
    pub priority: Tier,
    /// Content of the first message.
    pub prompt: String,
    /// Position at which generation started; above 0 for a resumed response.
    pub start: u64,
    /// Number of tokens generated in this attempt.
    pub tokens: u64,
    /// Whether the response was sent to its end.
    pub complete: bool,
}

/// Last part of a response.
struct ResponseEnd<'a> {
    writer: StreamWriter<'a>,
    events: String,
}

/// A fake engine that runs until it is dropped.
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
    cached_prompts: Mutex<Vec<Digest>>,
    load_history: Mutex<Vec<(std::time::Instant, BTreeMap<Tier, u32>)>>,
    orders: Mutex<OrderLog>,
}

/// Record of the orders that an engine received.
#[derive(Debug, Default, Clone)]
pub struct OrderLog {
    /// Highest fencing token of the accepted orders.
    pub highest_fencing_token: u64,
    /// Executed orders, in order of execution.
    pub carried_out: Vec<FencedOrder>,
    /// Number of orders rejected because of an outdated fencing token.
    pub rejected: u32,
    /// Number of orders that are being executed.
    pub in_progress: usize,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot listen.
    pub fn start(name: &str, settings: EngineSettings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            scheduler: Scheduler::new(settings.slots),
            settings,
            faults: Mutex::default(),
            runs: Mutex::default(),
            cached_prompts: Mutex::default(),
            load_history: Mutex::default(),
            orders: Mutex::default(),
        });
        let handler = Arc::new(Handler { shared: shared.clone() });
        let server = CallerServer::start(ANY_PORT, ServerLimits::default(), handler)?;
        Ok(Self { name: name.to_owned(), shared, server })
    }

    /// Returns the upstream ID of the engine.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the engine listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the injected faults. Running streams follow them from the next token on.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Returns the finished attempts, in order of their end.
    pub fn runs(&self) -> Vec<EngineRun> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the record of received orders.
    pub fn orders(&self) -> OrderLog {
        lock(&self.shared.orders).clone()
    }

    /// Returns the number of requests that hold a slot.
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
            ("GET", "/load") if !faults.load_unavailable => self.send_load(&faults, responder),
            ("POST", "/v1/chat/completions") => self.handle_chat(&request, stream, responder),
            ("POST", "/orders") => self.handle_order(&request, &faults, responder),
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
        let by_tier = self.shared.delayed_load();
        let body = json!({ "by_tier": by_tier, "leaving": faults.leaving }).to_string();
        let headers = [("content-type", "application/json")];
        let _ = responder.respond(200, &headers, body.as_bytes());
    }

    fn handle_order(
        &self,
        request: &CallerRequest,
        faults: &EngineFaults,
        responder: &mut Responder<'_>,
    ) {
        let Ok(order) = serde_json::from_slice::<FencedOrder>(&request.body) else {
            let _ = responder.respond(400, &[], b"not an order");
            return;
        };
        if !self.shared.accept_order(&order, faults.ignores_fencing) {
            let _ = responder.respond(409, &[("x-not-run", "true")], b"old fencing token");
            return;
        }
        if let Some(status) = faults.early_order_status {
            let _ = responder.respond(status, &[], b"still at work");
        }
        lock(&self.shared.orders).in_progress += 1;
        thread::sleep(faults.order_delay);
        let mut orders = lock(&self.shared.orders);
        orders.in_progress -= 1;
        orders.carried_out.push(order);
        drop(orders);
        let mut faults = lock(&self.shared.faults);
        if faults.lost_order_responses > 0 {
            faults.lost_order_responses -= 1;
            responder.close();
            return;
        }
        if !responder.is_started() {
            let _ = responder.respond(200, &[], b"{}");
        }
    }

    fn handle_chat(
        &self,
        request: &CallerRequest,
        stream: &TcpStream,
        responder: &mut Responder<'_>,
    ) {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            let _ = responder.respond(400, &[], b"not JSON");
            return;
        };
        if lock(&self.shared.faults).leaving {
            let headers = [("x-not-run", "true"), ("x-leaving", "true")];
            let _ = responder.respond(503, &headers, b"leaving");
            return;
        }
        let resumes = body["resume_position"].as_u64().is_some_and(|it| it > 0);
        if resumes && lock(&self.shared.faults).declines_resumption {
            let headers = [("content-type", "application/json")];
            let _ =
                responder.respond(400, &headers, b"{\"error\":{\"outcome\":\"no resumption\"}}");
            return;
        }
        let mut run = EngineRun {
            attempt_id: body["request_id"].as_str().unwrap_or_default().to_owned(),
            priority: body["priority"].as_u64().unwrap_or(0) as Tier,
            prompt: body["messages"][0]["content"].as_str().unwrap_or_default().to_owned(),
            start: body["resume_position"].as_u64().unwrap_or(0),
            tokens: 0,
            complete: false,
        };
        let end = self.generate(&body, &mut run, stream, responder);
        {
            // Whoever sees the end of the response finds its record.
            let mut runs = lock(&self.shared.runs);
            run.complete = end.is_some_and(|mut it| it.writer.send(&it.events).is_ok());
            runs.push(run);
        }
        responder.close();
    }

    /// Generates the tokens of an attempt. Returns the end of its response, or `None` if the response
    /// breaks off.
    fn generate<'a>(
        &self,
        body: &Value,
        run: &mut EngineRun,
        stream: &TcpStream,
        responder: &mut Responder<'a>,
    ) -> Option<ResponseEnd<'a>> {
        let _slot = self.shared.scheduler.acquire(run.priority, || is_disconnected(stream))?;
        let (digest, count) = response_parameters(body);
        self.shared.sleep_scaled(self.shared.prefill_time(&digest));
        let mut writer = responder.stream(&[("content-type", "text/event-stream")]).ok()?;
        for position in run.start..count {
            let faults = lock(&self.shared.faults).clone();
            if faults.cut_after_tokens.is_some_and(|it| run.tokens >= it) || faults.down {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return None;
            }
            if faults.stall_after_tokens.is_some_and(|it| run.tokens >= it) {
                self.hold_open(stream);
                return None;
            }
            self.shared.sleep_scaled(self.shared.settings.token_interval);
            run.tokens += 1;
            let is_last = position + 1 == count;
            let events = token_events(run, &digest, position, is_last, faults.reorders_chunks);
            writer.send(&events).ok()?;
        }
        let end = json!({
            "id": run.attempt_id, "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            "usage": { "completion_tokens": count },
        });
        let events = format!("data: {end}\n\ndata: [DONE]\n\n");
        Some(ResponseEnd { writer, events })
    }

    /// Keeps a stream open without data until the fault ends or the caller disconnects.
    fn hold_open(&self, stream: &TcpStream) {
        while lock(&self.shared.faults).stall_after_tokens.is_some() && !is_disconnected(stream) {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Shared {
    /// Sleeps for `duration`, multiplied by the slowdown.
    fn sleep_scaled(&self, duration: Duration) {
        let slowdown = lock(&self.faults).slowdown.max(1);
        thread::sleep(duration * slowdown);
    }

    /// Records the fencing token of an order, and returns whether the order is accepted.
    fn accept_order(&self, order: &FencedOrder, ignores_fencing: bool) -> bool {
        let mut orders = lock(&self.orders);
        if order.fencing < orders.highest_fencing_token && !ignores_fencing {
            orders.rejected += 1;
            return false;
        }
        orders.highest_fencing_token = orders.highest_fencing_token.max(order.fencing);
        true
    }

    /// Returns the prefill time of a prompt, and marks it as the most recently used in the cache.
    fn prefill_time(&self, digest: &Digest) -> Duration {
        let mut cached = lock(&self.cached_prompts);
        let cached_at = cached.iter().position(|it| it == digest);
        if let Some(index) = cached_at {
            cached.remove(index);
        }
        cached.push(digest.clone());
        if cached.len() > self.settings.prompt_cache_capacity {
            cached.remove(0);
        }
        if cached_at.is_some() { self.settings.prefill / 10 } else { self.settings.prefill }
    }

    /// Records the current load, and returns the newest recorded load that is at least
    /// [`EngineSettings::load_report_delay`] old, or the oldest one if there is none.
    fn delayed_load(&self) -> BTreeMap<Tier, u32> {
        let now = std::time::Instant::now();
        let mut history = lock(&self.load_history);
        history.push((now, self.scheduler.load()));
        let is_old_enough =
            |at: &std::time::Instant| now.duration_since(*at) >= self.settings.load_report_delay;
        let oldest_needed = history.iter().rposition(|(at, _)| is_old_enough(at)).unwrap_or(0);
        history.drain(..oldest_needed);
        history.first().map(|(_, load)| load.clone()).unwrap_or_default()
    }
}

/// Returns whether the peer has closed the connection.
pub(crate) fn is_disconnected(stream: &TcpStream) -> bool {
    let Ok(()) = stream.set_read_timeout(Some(Duration::from_millis(1))) else { return true };
    let mut byte = [0];
    matches!(stream.peek(&mut byte), Ok(0))
}

/// Locks a mutex, also if a thread panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
