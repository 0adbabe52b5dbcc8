//! Streams and status of model engines.

use std::collections::BTreeMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_core::Tier;
use cranberryvalve_policy::EngineChunk;
use cranberryvalve_policy::LoadReport;
use serde::Deserialize;
use serde::Serialize;
use ureq::BodyReader;
use ureq::http::Request;

use super::call;
use super::call::CallError;
use super::connection::CancelHandle;
use super::connection::Timeouts;

/// Longest line of an event stream, in bytes.
const MAX_LINE_BYTES: u64 = 256 * 1024;

/// Time for a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// A chat request as it is sent to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRequest {
    /// The caller's body.
    pub body: serde_json::Map<String, serde_json::Value>,
    /// Identifier of the attempt, which the engine repeats in every chunk.
    pub attempt_id: Arc<str>,
    /// Priority, 0 is the highest.
    pub priority: Tier,
    /// Position to continue at; 0 starts the answer.
    pub position: u64,
}

impl EngineRequest {
    fn to_bytes(&self) -> Vec<u8> {
        let mut body = self.body.clone();
        body.insert("stream".to_owned(), true.into());
        body.insert("priority".to_owned(), self.priority.into());
        body.insert("request_id".to_owned(), (&*self.attempt_id).into());
        if self.position > 0 {
            body.insert("resume_position".to_owned(), self.position.into());
        }
        serde_json::to_vec(&body).expect("a JSON object can be written as JSON")
    }
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Requests running or waiting, for each priority.
    #[serde(default)]
    pub by_tier: BTreeMap<Tier, u32>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl EngineStatus {
    /// The load, for the router.
    pub fn load_report(&self) -> LoadReport {
        LoadReport { by_tier: self.by_tier.clone() }
    }
}

/// A part of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A chunk.
    Chunk(EngineChunk),
    /// Something that carries no token.
    Other,
    /// The end of the connection.
    End,
}

/// An answer that is being streamed.
pub struct EngineStream {
    lines: BufReader<BodyReader<'static>>,
    line: Vec<u8>,
}

impl EngineStream {
    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or is silent for too long.
    pub fn next_event(&mut self) -> io::Result<EngineEvent> {
        self.line.clear();
        let mut limited = (&mut self.lines).take(MAX_LINE_BYTES);
        let read = limited.read_until(b'\n', &mut self.line)?;
        if read == 0 {
            return Ok(EngineEvent::End);
        }
        let line = String::from_utf8_lossy(&self.line);
        let Some(data) = line.trim_end().strip_prefix("data:") else {
            return Ok(EngineEvent::Other);
        };
        Ok(decode_chunk(data.trim_start()).map_or(EngineEvent::Other, EngineEvent::Chunk))
    }
}

#[derive(Deserialize)]
struct WireChunk {
    #[serde(default)]
    id: Arc<str>,
    #[serde(default)]
    token_index: Option<u64>,
    #[serde(default)]
    choices: Vec<WireChoice>,
    #[serde(default)]
    usage: Option<WireUsage>,
}

#[derive(Deserialize)]
struct WireChoice {
    #[serde(default)]
    delta: WireDelta,
}

#[derive(Default, Deserialize)]
struct WireDelta {
    #[serde(default)]
    content: Option<Arc<str>>,
}

#[derive(Deserialize)]
struct WireUsage {
    completion_tokens: u64,
}

/// Decodes the data of one event; none when it is not a chunk.
pub fn decode_chunk(data: &str) -> Option<EngineChunk> {
    let chunk: WireChunk = serde_json::from_str(data).ok()?;
    Some(EngineChunk {
        attempt_id: chunk.id,
        position: chunk.token_index,
        text: chunk.choices.into_iter().next().and_then(|it| it.delta.content),
        total_tokens: chunk.usage.map(|it| it.completion_tokens),
    })
}

/// Sends a chat request and opens the stream of its answer.
///
/// # Errors
///
/// Fails when the answer does not begin; see [`CallError`].
pub fn open_stream(
    address: SocketAddr,
    request: &EngineRequest,
    timeouts: Timeouts,
    cancel: &CancelHandle,
) -> Result<EngineStream, CallError> {
    let http = call::request("POST", "/v1/chat/completions", &request.attempt_id)
        .header("content-type", "application/json")
        .body(request.to_bytes())
        .map_err(|_| CallError::NotSent)?;
    let response = call::send(address, http, timeouts, cancel)?;
    match response.status().as_u16() {
        200 => {}
        408 | 429 | 500.. => return Err(CallError::Broken),
        _ => return Err(CallError::Declined(call::read_answer(response)?)),
    }
    let lines = BufReader::new(response.into_body().into_reader());
    Ok(EngineStream { lines, line: Vec::new() })
}

/// Asks an upstream for its load and whether it is leaving; none when it does not answer.
pub fn fetch_status(address: SocketAddr) -> Option<EngineStatus> {
    let timeouts =
        Timeouts { connect: STATUS_TIMEOUT, first_byte: STATUS_TIMEOUT, silence: STATUS_TIMEOUT };
    let request = Request::builder().method("GET").uri("/load").body(Vec::new()).ok()?;
    let answer = call(address, request, timeouts, &CancelHandle::new()).ok()?;
    serde_json::from_slice(&answer.body).ok()
}
