//! Clients of streams that may be resumed.

use std::collections::BTreeSet;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::cases::KEY;
use crate::http::connect;
use crate::http::find;
use crate::record::Record;

/// Time for which a client waits for a stream, over all its attempts.
const DEADLINE: Duration = Duration::from_secs(15);

/// Time without anything after which a client gives an attempt up, if a case sets no other.
const PATIENCE: Duration = Duration::from_secs(3);

/// What a client has of a stream.
#[derive(Default)]
pub struct Stream {
    /// When the first attempt was sent.
    pub begun_at: Option<Instant>,
    pub last_id: u64,
    /// Versions of the software that the events name.
    pub versions: BTreeSet<String>,
    pub is_complete: bool,
    /// Whether a piece was missing or came twice.
    pub is_faulty: bool,
    /// Time without anything after which the client gives an attempt up, if not [`PATIENCE`].
    pub patience: Option<Duration>,
}

impl Stream {
    /// Makes one attempt at a machine, which goes on after the events that the client has. `first` is the
    /// request that began the stream. Returns the status of the answer; 0 without one.
    pub fn attempt(
        &mut self,
        record: &Record,
        front: SocketAddr,
        number: u64,
        first: &str,
        request: &str,
    ) -> u16 {
        let resumed = if self.last_id > 0 {
            format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", self.last_id)
        } else {
            String::new()
        };
        let begun_at = *self.begun_at.get_or_insert_with(Instant::now);
        let left_ms = DEADLINE.saturating_sub(begun_at.elapsed()).as_millis();
        let text = format!(
            "POST /feed/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {request}\r\nModel: m\r\n\
             Token-Usage: 543,280\r\nPrompt-Prefix: 5c1e07a2:172,{:x}:371\r\nDeadline-Ms: {left_ms}\r\n\
             X-Api-Key: {KEY}\r\n{resumed}Content-Length: 2\r\n\r\n{{}}",
            0x1000 + number
        );
        record.line(&format!("client sends {request} to {front}, has {} events", self.last_id));
        let status = self.receive(front, &text).unwrap_or(0);
        record.line(&format!(
            "client has {request}: status {status}, events to {}, of {:?}, complete {}",
            self.last_id, self.versions, self.is_complete
        ));
        status
    }

    fn receive(&mut self, front: SocketAddr, request: &str) -> Result<u16> {
        let mut reader = connect(front, self.patience.unwrap_or(PATIENCE))?;
        reader.send(request.as_bytes())?;
        let head = reader.head()?.unwrap_or_default();
        let status = head.word(1).parse().unwrap_or(0);
        if status != 200 {
            return Ok(status);
        }
        let mut pending = Vec::new();
        while let Ok(chunk) = reader.chunk() {
            if chunk.is_empty() {
                self.is_complete = true;
                break;
            }
            pending.extend(chunk);
            while let Some(end) = find(&pending, b"\n\n") {
                let event = String::from_utf8_lossy(&pending[..end]).into_owned();
                pending.drain(..end + 2);
                self.add(&event);
            }
        }
        Ok(status)
    }

    fn add(&mut self, event: &str) {
        let field = |name| event.lines().find_map(|it| it.strip_prefix(name));
        let id = field("id: ").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.is_faulty |= id != self.last_id + 1;
        self.last_id = id;
        self.versions.extend(field("data: ").map(ToOwned::to_owned));
    }
}
