//! Parsing of server-sent events (`text/event-stream`).

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Sequence number of an event within its stream, from its `id` field.
pub(crate) type EventId = u64;

/// Error for an event larger than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// Complete events that were taken from the buffer together.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct EventBatch {
    pub(crate) bytes: Vec<u8>,
    pub(crate) count: u32,
}

/// Splits a body into events and skips those that the caller already received.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    pending: Vec<u8>,
    last_id: Option<EventId>,
}

impl EventReader {
    /// Creates a reader that skips events up to and including `last_id`.
    pub(crate) const fn after(last_id: Option<EventId>) -> Self {
        Self { pending: Vec::new(), last_id }
    }

    /// Returns the id of the last complete event, or `None` if there was none with an id.
    pub(crate) const fn last_id(&self) -> Option<EventId> {
        self.last_id
    }

    /// Returns `true` if the buffer holds the beginning of an event.
    pub(crate) const fn has_incomplete_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the buffer to which the body is appended before [`EventReader::take_complete`].
    pub(crate) const fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Takes all complete events that the caller has not received yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn take_complete(&mut self) -> Result<EventBatch, EventTooLarge> {
        let mut batch = EventBatch::default();
        let mut start = 0;
        while let Some(len) = event_len(&self.pending[start..]) {
            let event = &self.pending[start..start + len];
            let id = event_id(event);
            let is_new = id.is_none() || self.last_id.is_none() || id > self.last_id;
            if is_new {
                batch.bytes.extend_from_slice(event);
                batch.count += 1;
                self.last_id = id.or(self.last_id);
            }
            start += len;
        }
        self.pending.drain(..start);
        if self.pending.len() > MAX_EVENT_BYTES { Err(EventTooLarge) } else { Ok(batch) }
    }
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

#[cfg(test)]
mod tests;
