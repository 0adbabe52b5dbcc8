//! HTTP client for callers and operators.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;

use crate::vm::OPERATOR_TOKEN;

/// Timeout of a complete call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// A model request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// API key of the customer.
    pub key: String,
    /// Service class, sent as `x-service-class`.
    pub class: String,
    /// JSON body.
    pub body: Value,
    /// Resume token and number of tokens that the caller already has; `None` for a new request.
    pub resume: Option<(String, u64)>,
}

impl ChatRequest {
    /// Creates a streamed request.
    pub fn new(key: &str, class: &str, model: &str, prompt: &str) -> Self {
        let body = json!({
            "model": model, "stream": true,
            "messages": [{ "role": "user", "content": prompt }],
        });
        Self { key: key.to_owned(), class: class.to_owned(), body, resume: None }
    }

    /// Sets `max_tokens`, which the fake engine takes as the exact length of the response.
    #[must_use]
    pub fn tokens(mut self, tokens: u64) -> Self {
        self.body["max_tokens"] = tokens.into();
        self
    }

    /// Requests the complete response at once instead of a stream.
    #[must_use]
    pub fn without_streaming(mut self) -> Self {
        self.body["stream"] = false.into();
        self
    }

    /// Resumes a stream of which the caller already has `position` tokens.
    #[must_use]
    pub fn resume(mut self, token: &str, position: u64) -> Self {
        self.resume = Some((token.to_owned(), position));
        self
    }

    /// Returns all tokens of the expected response.
    pub fn expected(&self) -> Vec<String> {
        crate::engine::expected_tokens(&self.body)
    }
}

/// What a caller received.
#[derive(Debug, Clone, Default)]
pub struct ChatResponse {
    /// HTTP status code; 0 if the connection failed before it arrived.
    pub status: u16,
    /// Outcome that the VM reported, `completed` for a stream that ended with `[DONE]`; empty if
    /// there was none.
    pub outcome: String,
    /// Reason that the error reported; empty if there was none.
    pub reason: String,
    /// Resume token that the VM sent; empty if there was none.
    pub resume_token: String,
    /// Tokens of a stream, or words of a response that was sent at once.
    pub tokens: Vec<String>,
    /// Whether a stream ended with `[DONE]`, or a response sent at once had status 200.
    pub complete: bool,
    /// Time from the start of the call to the first token; `None` if there was no token.
    pub first_token: Option<Duration>,
    /// Time from the start of the call to its end.
    pub elapsed: Duration,
    /// JSON body of an error; null if there was none.
    pub error: Value,
}

impl ChatResponse {
    /// Returns the mean time between tokens; `None` for fewer than two tokens.
    pub fn token_interval(&self) -> Option<Duration> {
        let interval_count =
            u32::try_from(self.tokens.len().checked_sub(1)?).ok().filter(|it| *it > 0)?;
        Some(self.elapsed.saturating_sub(self.first_token?) / interval_count)
    }
}

/// Sends a model request and reads the response to its end.
pub fn chat(vm: SocketAddr, chat: &ChatRequest) -> ChatResponse {
    chat_until(vm, chat, |_| false)
}

/// Sends a model request, and disconnects as soon as `disconnect` returns `true`.
///
/// `disconnect` is called with the response received so far, after each chunk of a stream.
pub fn chat_until(
    vm: SocketAddr,
    chat: &ChatRequest,
    mut disconnect: impl FnMut(&ChatResponse) -> bool,
) -> ChatResponse {
    let started = Instant::now();
    let mut reply = ChatResponse::default();
    let request = http_agent(CALL_TIMEOUT)
        .post(format!("http://{vm}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", chat.key))
        .header("x-service-class", &chat.class)
        .header("content-type", "application/json");
    let request = match &chat.resume {
        Some((token, position)) => {
            request.header("x-resume-token", token).header("last-event-id", position.to_string())
        }
        None => request,
    };
    let Ok(response) = request.send(chat.body.to_string()) else {
        reply.elapsed = started.elapsed();
        return reply;
    };
    let header = |name: &str| {
        response.headers().get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
    };
    reply.status = response.status().as_u16();
    reply.outcome = header("x-outcome");
    reply.resume_token = header("x-resume-token");
    let is_stream = header("content-type") == "text/event-stream";
    let mut lines = BufReader::new(response.into_body().into_reader());
    if is_stream {
        read_events(&mut lines, started, &mut reply, &mut disconnect);
    } else {
        read_complete(&mut lines, started, &mut reply);
    }
    reply.elapsed = started.elapsed();
    reply
}

fn read_events(
    lines: &mut impl BufRead,
    started: Instant,
    response: &mut ChatResponse,
    disconnect: &mut impl FnMut(&ChatResponse) -> bool,
) {
    let mut is_error = false;
    for line in lines.lines() {
        let Ok(line) = line else { return };
        if line == "event: error" {
            is_error = true;
        }
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            response.complete = true;
            response.outcome = "completed".to_owned();
            return;
        }
        let Ok(data) = serde_json::from_str::<Value>(data) else { continue };
        if is_error {
            set_error(response, data);
            return;
        }
        if let Some(text) = data["choices"][0]["delta"]["content"].as_str() {
            response.first_token.get_or_insert_with(|| started.elapsed());
            response.tokens.push(text.to_owned());
        }
        if disconnect(response) {
            return;
        }
    }
}

fn read_complete(lines: &mut impl BufRead, started: Instant, response: &mut ChatResponse) {
    let Ok(body) = serde_json::from_reader::<_, Value>(lines) else { return };
    if response.status != 200 {
        set_error(response, body);
        return;
    }
    let text = body["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    response.first_token = Some(started.elapsed());
    response.tokens = text.split_inclusive(' ').map(str::to_owned).collect();
    response.complete = true;
}

fn set_error(response: &mut ChatResponse, body: Value) {
    let error = &body["error"];
    response.outcome = error["outcome"].as_str().unwrap_or_default().to_owned();
    response.reason = error["reason"].as_str().unwrap_or_default().to_owned();
    response.error = body;
}

/// Response to a call of a plain service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status code; 0 if the connection failed before it arrived.
    pub status: u16,
    /// Outcome that the VM reported; empty if there was none.
    pub outcome: String,
    /// Whether the response was replayed from a recorded one.
    pub replayed: bool,
    /// JSON body; null if there was none.
    pub body: Value,
}

/// Calls a plain service; an empty `idempotency_key` is not sent.
pub fn call_service(
    vm: SocketAddr,
    key: &str,
    method: &str,
    path: &str,
    idempotency_key: &str,
    body: &str,
) -> ServiceResponse {
    let mut builder = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{vm}{path}"))
        .header("authorization", format!("Bearer {key}"));
    if !idempotency_key.is_empty() {
        builder = builder.header("idempotency-key", idempotency_key);
    }
    let Ok(request) = builder.body(body.to_owned()) else { return ServiceResponse::default() };
    let result = if method == "GET" {
        http_agent(CALL_TIMEOUT).run(request.map(|_| ()))
    } else {
        http_agent(CALL_TIMEOUT).run(request)
    };
    let Ok(mut response) = result else { return ServiceResponse::default() };
    let header = |name: &str| {
        response.headers().get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
    };
    ServiceResponse {
        status: response.status().as_u16(),
        outcome: header("x-outcome"),
        replayed: header("x-replayed") == "true",
        body: response.body_mut().read_json().unwrap_or_default(),
    }
}

/// Response to an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorResponse {
    /// HTTP status code.
    pub status: u16,
    /// JSON body, or the text as a JSON string if it is not JSON.
    pub body: Value,
}

/// Sends an operator request. Returns `None` if there is no response.
pub fn operator(
    vm: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Option<OperatorResponse> {
    let builder = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{vm}{path}"))
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"));
    let timeout = if body.is_some() { CALL_TIMEOUT } else { STATUS_TIMEOUT };
    let result = match body {
        Some(body) => http_agent(timeout).run(builder.body(body.to_string()).ok()?),
        None => http_agent(timeout).run(builder.body(()).ok()?),
    };
    let mut response = result.ok()?;
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().ok()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Some(OperatorResponse { status, body })
}

/// Returns the status of a GET request without authorization; `None` if there is no response.
pub fn get_status(vm: SocketAddr, path: &str) -> Option<u16> {
    let response = http_agent(STATUS_TIMEOUT).get(format!("http://{vm}{path}")).call().ok()?;
    Some(response.status().as_u16())
}

fn http_agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .proxy(None)
        .timeout_global(Some(timeout))
        .build();
    config.into()
}
