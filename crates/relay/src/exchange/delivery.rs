//! The response to a caller across all attempts of its call.

use std::time::Duration;
use std::time::Instant;

use crate::caller::BegunStream;
use crate::caller::CallerConnection;
use crate::caller::UnsentResponse;
use crate::caller::WriteError;
use crate::events::EventBatch;
use crate::events::EventId;
use crate::events::EventReader;
use crate::events::StreamPosition;
use crate::events::is_event_stream;
use crate::response::ResponseHead;

/// Minimum number of gaps between the events of a stream from which the upstream's decode
/// pace is derived.
const MIN_EVENT_GAPS: usize = 8;

/// Minimum number of gaps from which a sample is taken of a stream that is too short for that.
const MIN_SHORT_STREAM_GAPS: usize = 4;

/// How far the response to a caller has got.
#[derive(Debug, Default)]
enum State {
    Unsent(UnsentResponse),
    Begun(BegunStream),
    /// Nothing can be sent any more: the stream has ended, or a write failed.
    #[default]
    Over,
}

/// State of the response as sent to the caller, across attempts.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    state: State,
    /// How far the caller has the stream, including events of an earlier call that this one resumes.
    position: StreamPosition,
    /// When the first events were sent, or `None` before that.
    pub(crate) first_part_at: Option<Instant>,
    /// When the last events were sent, or `None` before that.
    pub(crate) last_event_at: Option<Instant>,
    /// Longest time between two events.
    pub(crate) longest_gap: Duration,
    /// Times between consecutive sends of events.
    pub(crate) gaps: Vec<Duration>,
    /// Number of events sent.
    pub(crate) events: u32,
}

impl Delivery {
    /// Creates the state of a response to a caller that has the events up to `last_event_id`.
    pub(crate) fn new(response: UnsentResponse, last_event_id: Option<EventId>) -> Self {
        let position = StreamPosition::after(last_event_id);
        Self { state: State::Unsent(response), position, ..Self::default() }
    }

    /// Returns `true` if a part of the response may have been sent.
    pub(crate) const fn has_begun(&self) -> bool {
        !matches!(self.state, State::Unsent(_))
    }

    /// Returns `true` if a part of the response was sent on which no attempt can follow.
    pub(crate) const fn is_stuck(&self) -> bool {
        self.has_begun() && !self.position.is_resumable()
    }

    /// Returns the id of the last event the caller has, or `None` if it has no event with an id.
    pub(super) const fn last_event_id(&self) -> Option<EventId> {
        self.position.last_id
    }

    /// Returns a reader of a streamed response with this head, or `None` if that cannot be the rest of
    /// the response that the caller has a part of.
    pub(super) fn reader(&self, head: &ResponseHead) -> Option<EventReader> {
        if !self.has_begun() {
            return Some(EventReader::beginning(self.position));
        }
        is_event_stream(head).then(|| EventReader::continuing(self.position))
    }

    /// Takes the right to send a response, or `None` if the response has begun.
    pub(crate) fn take_unsent(&mut self) -> Option<UnsentResponse> {
        match std::mem::take(&mut self.state) {
            State::Unsent(response) => Some(response),
            State::Begun(_) | State::Over => None,
        }
    }

    /// Sends events, after `head` unless an earlier attempt has sent its own. The caller then has the
    /// stream up to `position`.
    pub(super) fn forward_events(
        &mut self,
        caller: &mut CallerConnection,
        head: &ResponseHead,
        events: &EventBatch,
        position: StreamPosition,
        deadline: Instant,
    ) -> Result<(), WriteError> {
        let mut stream = self.take_stream(caller, head, deadline)?;
        stream.send_events(caller, &events.bytes, deadline)?;
        self.state = State::Begun(stream);
        self.position = position;
        self.record_events(events.count, Instant::now());
        Ok(())
    }

    /// Marks the stream as complete, after `head` if it has no events.
    pub(super) fn end(
        &mut self,
        caller: &mut CallerConnection,
        head: &ResponseHead,
        deadline: Instant,
    ) -> Result<(), WriteError> {
        self.take_stream(caller, head, deadline)?.end(caller, deadline)
    }

    fn take_stream(
        &mut self,
        caller: &mut CallerConnection,
        head: &ResponseHead,
        deadline: Instant,
    ) -> Result<BegunStream, WriteError> {
        match std::mem::take(&mut self.state) {
            State::Unsent(response) => response.begin_stream(caller, head, deadline),
            State::Begun(stream) => Ok(stream),
            State::Over => Err(WriteError::Disconnected),
        }
    }

    /// Records a batch of events that were sent together.
    fn record_events(&mut self, events: u32, now: Instant) {
        self.first_part_at.get_or_insert(now);
        self.events += events;
        if let Some(last_at) = self.last_event_at.replace(now) {
            let gap = now.saturating_duration_since(last_at);
            self.longest_gap = self.longest_gap.max(gap);
            self.gaps.push(gap);
        }
    }

    /// Returns the median time between events, or `None` if the stream has fewer than
    /// [`MIN_EVENT_GAPS`] gaps.
    pub(super) fn median_gap(&mut self) -> Option<Duration> {
        let middle = self.gaps.len() / 2;
        let is_long_enough = self.gaps.len() >= MIN_EVENT_GAPS;
        is_long_enough.then(|| *self.gaps.select_nth_unstable(middle).1)
    }

    /// Returns the second shortest time between events, or `None` if the stream has fewer than
    /// [`MIN_SHORT_STREAM_GAPS`] gaps. The shortest one may follow an event that was held up on its way.
    pub(super) fn short_gap(&mut self) -> Option<Duration> {
        let is_long_enough = self.gaps.len() >= MIN_SHORT_STREAM_GAPS;
        is_long_enough.then(|| *self.gaps.select_nth_unstable(1).1)
    }
}
