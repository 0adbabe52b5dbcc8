//! Event streams and load status of model engines.

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

/// Maximum length of a line in an event stream, in bytes; longer lines are split.
const MAX_LINE_BYTES: u64 = 256 * 1024;

/// Timeout for connecting and for each read of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// A chat request to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRequest {
    /// Body as sent by the caller.
    pub body: serde_json::Map<String, serde_json::Value>,
    /// Identifier of the attempt, which the engine repeats in every chunk.
    pub attempt_id: Arc<str>,
    /// Priority tier; 0 is the highest.
    pub priority: Tier,
    /// Index of the first token to send; 0 starts the response at its beginning.
    pub position: u64,
}

impl EngineRequest {
    /// Encodes the body of the HTTP request.
    fn to_bytes(&self) -> Vec<u8> {
        let mut body = self.body.clone();
        body.insert("stream".to_owned(), true.into());
        body.insert("priority".to_owned(), self.priority.into());
        body.insert("request_id".to_owned(), (&*self.attempt_id).into());
        if self.position > 0 {
            body.insert("resume_position".to_owned(), self.position.into());
        }
        serde_json::to_vec(&body).expect("a JSON object can be serialized")
    }
}

/// Status that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineStatus {
    /// Number of running or waiting requests per priority tier.
    #[serde(default)]
    pub by_tier: BTreeMap<Tier, u32>,
    /// Whether the engine is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

impl EngineStatus {
    /// Returns the load part for the router.
    pub fn load_report(&self) -> LoadReport {
        LoadReport { by_tier: self.by_tier.clone() }
    }
}

/// An event of an engine's response stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A chunk of the completion.
    Chunk(EngineChunk),
    /// A line that is not a chunk, such as a comment or a blank line.
    Other,
    /// The engine closed the stream.
    End,
}

/// The event stream of an engine's response.
pub struct EngineStream {
    lines: BufReader<BodyReader<'static>>,
    line: Vec<u8>,
}

impl EngineStream {
    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or a read times out.
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
struct ChunkData {
    #[serde(default)]
    id: Arc<str>,
    #[serde(default)]
    token_index: Option<u64>,
    #[serde(default)]
    choices: Vec<ChoiceData>,
    #[serde(default)]
    usage: Option<UsageData>,
}

#[derive(Deserialize)]
struct ChoiceData {
    #[serde(default)]
    delta: DeltaData,
}

#[derive(Default)]
#[derive(Deserialize)]
struct DeltaData {
    #[serde(default)]
    content: Option<Arc<str>>,
}

#[derive(Deserialize)]
struct UsageData {
    completion_tokens: u64,
}

/// Decodes the data of one event; returns `None` if it is not a chunk.
pub fn decode_chunk(data: &str) -> Option<EngineChunk> {
    let chunk: ChunkData = serde_json::from_str(data).ok()?;
    Some(EngineChunk {
        attempt_id: chunk.id,
        position: chunk.token_index,
        text: chunk.choices.into_iter().next().and_then(|it| it.delta.content),
        total_tokens: chunk.usage.map(|it| it.completion_tokens),
    })
}

/// Sends a chat request and opens its response stream.
///
/// # Errors
///
/// Fails if no response stream begins; see [`CallError`].
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
        _ => return Err(CallError::Declined(call::read_response(response)?)),
    }
    let lines = BufReader::new(response.into_body().into_reader());
    Ok(EngineStream { lines, line: Vec::new() })
}

/// Requests an upstream's status; returns `None` if there is no valid response.
pub fn fetch_status(address: SocketAddr) -> Option<EngineStatus> {
    let timeouts =
        Timeouts { connect: STATUS_TIMEOUT, first_byte: STATUS_TIMEOUT, idle: STATUS_TIMEOUT };
    let request = Request::builder().method("GET").uri("/load").body(Vec::new()).ok()?;
    let response = call(address, request, timeouts, &CancelHandle::new()).ok()?;
    serde_json::from_slice(&response.body).ok()
}
