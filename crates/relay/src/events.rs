//! Parsing of server-sent events (`text/event-stream`).

use std::ops::Range;

use crate::response::ResponseHead;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Sequence number of an event within its stream, from its `id` field.
pub(crate) type EventId = u64;

/// Why a body is not the stream, or the rest of the stream, that it has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InvalidStream {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    EventTooLarge,
    /// The id of an event is not above that of the event before.
    OutOfOrder,
    /// The events do not follow on the last event that the caller has.
    NotContinued,
    /// The body ends in the middle of an event.
    Truncated,
    /// The body has no event, and nothing else shows that it is whole.
    Empty,
}

/// How far a caller has a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StreamPosition {
    /// Id of the last event; `None` if there is no event with an id.
    pub(crate) last_id: Option<EventId>,
    /// Largest difference between the ids of two consecutive events. Ids increase, but need not be
    /// consecutive.
    widest_step: EventId,
    /// Whether there are events with data and without an id.
    has_unnumbered: bool,
}

impl StreamPosition {
    /// Returns the position of a caller that has the events up to `last_id`.
    pub(crate) const fn after(last_id: Option<EventId>) -> Self {
        Self { last_id, widest_step: 0, has_unnumbered: false }
    }

    /// Returns `true` if another attempt can tell which events come next.
    pub(crate) const fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns `true` if no event is missing between the last one and the one with this id, as far as
    /// the ids tell.
    fn is_followed_by(&self, id: EventId) -> bool {
        self.last_id.is_none_or(|last_id| id - last_id <= self.widest_step.max(1))
    }
}

/// Complete events that were taken from the buffer together.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct EventBatch {
    pub(crate) bytes: Vec<u8>,
    pub(crate) count: u32,
}

/// Splits a body into events and skips those that the caller already received.
#[derive(Debug)]
pub(crate) struct EventReader {
    pending: Vec<u8>,
    position: StreamPosition,
    /// Id of the last event of this body.
    last_seen_id: Option<EventId>,
    /// Whether the body has begun to follow on what the caller has.
    is_joined: bool,
    /// Whether the body began with events that the caller has, and has not come to the last of them.
    is_behind: bool,
    error: Option<InvalidStream>,
}

impl EventReader {
    /// Creates a reader of a response of its own, which skips events up to and including the last one
    /// that the caller has.
    pub(crate) const fn beginning(position: StreamPosition) -> Self {
        Self {
            pending: Vec::new(),
            position,
            last_seen_id: None,
            is_joined: true,
            is_behind: false,
            error: None,
        }
    }

    /// Creates a reader of the rest of a response of which the caller has a part. The body must be
    /// shown to follow on that part, by its ids.
    pub(crate) fn continuing(position: StreamPosition) -> Self {
        let is_joined = position.is_resumable() && position.last_id.is_none();
        Self { is_joined, ..Self::beginning(position) }
    }

    /// Returns how far the caller has the stream with the events that were taken.
    pub(crate) const fn position(&self) -> StreamPosition {
        self.position
    }

    /// Returns the buffer to which the body is appended before [`EventReader::take_complete`].
    pub(crate) const fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Takes all complete events that the caller has not received yet, up to the first invalid one.
    pub(crate) fn take_complete(&mut self) -> EventBatch {
        let mut batch = EventBatch::default();
        let mut start = 0;
        while let Some(len) = event_len(&self.pending[start..]).filter(|_| self.error.is_none()) {
            let event = start..start + len;
            match self.accept(event_id(&self.pending[event.clone()]), event.clone()) {
                Ok(true) => {
                    batch.bytes.extend_from_slice(&self.pending[event]);
                    batch.count += 1;
                }
                Ok(false) => {}
                Err(error) => self.error = Some(error),
            }
            start += len;
        }
        self.pending.drain(..start);
        if self.pending.len() > MAX_EVENT_BYTES {
            self.error.get_or_insert(InvalidStream::EventTooLarge);
        }
        batch
    }

    /// Checks what has been read so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream cannot go on with this body.
    pub(crate) fn check(&self) -> Result<(), InvalidStream> {
        self.error.map_or(Ok(()), Err)
    }

    /// Checks a body that has been read to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the end of the body is not that of the stream.
    pub(crate) fn check_end(&self) -> Result<(), InvalidStream> {
        self.check()?;
        if !self.pending.is_empty() {
            return Err(InvalidStream::Truncated);
        }
        // Without an event that follows on the last one, or is the last one, nothing shows that this
        // is where the stream ends.
        let is_end = self.is_joined && !self.is_behind;
        is_end.then_some(()).ok_or(InvalidStream::NotContinued)
    }

    /// Checks that a body whose end nothing marks has an event at least.
    ///
    /// # Errors
    ///
    /// Returns an error if it has none, other than comments.
    pub(crate) fn check_not_empty(&self) -> Result<(), InvalidStream> {
        let has_events = self.last_seen_id.is_some() || self.position.has_unnumbered;
        has_events.then_some(()).ok_or(InvalidStream::Empty)
    }

    /// Returns whether an event of the buffer is new to the caller.
    fn accept(&mut self, id: Option<EventId>, event: Range<usize>) -> Result<bool, InvalidStream> {
        if !self.is_joined && !self.position.is_resumable() {
            return Err(InvalidStream::NotContinued);
        }
        let Some(id) = id else {
            let has_data = has_data(&self.pending[event]);
            if has_data && !self.is_joined {
                return Err(InvalidStream::NotContinued);
            }
            self.position.has_unnumbered |= has_data;
            return Ok(self.is_joined);
        };
        if self.last_seen_id.replace(id).is_some_and(|it| id <= it) {
            return Err(InvalidStream::OutOfOrder);
        }
        if let Some(last_id) = self.position.last_id.filter(|it| id <= *it) {
            self.is_behind = id < last_id;
            self.is_joined |= id == last_id;
            return Ok(false);
        }
        if !self.is_joined && !self.position.is_followed_by(id) {
            return Err(InvalidStream::NotContinued);
        }
        (self.is_joined, self.is_behind) = (true, false);
        let step = self.position.last_id.map_or(0, |it| id - it);
        self.position.widest_step = self.position.widest_step.max(step);
        self.position.last_id = Some(id);
        Ok(true)
    }
}

/// Returns `true` if a response with this head may be the rest of a stream.
pub(crate) fn is_event_stream(head: &ResponseHead) -> bool {
    let media_type = |it: &str| it.split(';').next().unwrap_or_default().trim().to_owned();
    let is_other_type = head
        .header("content-type")
        .is_some_and(|it| !media_type(it).eq_ignore_ascii_case("text/event-stream"));
    head.is_success() && !is_other_type && head.header("content-encoding").is_none()
}

/// Returns the length of the first event including the blank line that ends it, or `None` if the
/// event is incomplete.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, _) in bytes.iter().enumerate().filter(|(_, it)| **it == b'\n') {
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

fn has_data(event: &[u8]) -> bool {
    event.split(|it| *it == b'\n').any(|it| it.starts_with(b"data"))
}

#[cfg(test)]
mod tests;
