//! One request and its response on a connection to an upstream.

use std::io;
use std::io::IoSlice;
use std::iter;

use slog::warn;

use super::AttemptError;
use super::AttemptOutcome;
use super::AttemptTrace;
use super::BufferedResponse;
use super::Delivery;
use super::Exchange;
use crate::attribution::Position;
use crate::attribution::Verdict;
use crate::body::BodyDecoder;
use crate::caller::CallerConnection;
use crate::memory::HeldBody;
use crate::memory::OutOfMemory;
use crate::response::ResponseHead;
use crate::response::parse_response_head;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::ReadOutcome;
use crate::socket::wait;

/// Maximum size of a response body that is not an event stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum size of the body of a refusal that is read to reuse the connection, in bytes.
const MAX_DROPPED_BYTES: usize = 64 * 1024;

/// Maximum number of interim responses and of responses to other requests that are skipped before
/// the response.
const MAX_SKIPPED_RESPONSES: usize = 8;

/// Maximum number of parts of a request in one write: 1 MB with segments of 64 KiB.
const MAX_WRITTEN_PARTS: usize = 16;

/// What an attempt was sent to: an upstream, or another VM that forwards the call to one.
pub(super) trait Remote {
    /// Returns the name in logs.
    fn name(&self) -> &str;

    /// Processes that something has arrived.
    fn on_input(&self);

    /// Processes the head of a response and classifies it.
    fn on_response_head(&self, head: &ResponseHead, position: Position) -> Verdict;

    /// Processes that the first events of a stream have arrived; they are forwarded afterwards.
    fn on_first_events(&self);

    /// Processes that a stream is complete.
    fn on_stream_end(&self, delivery: &mut Delivery);
}

/// A connection that can be used again, and the head of the last response on it.
pub(super) type ReusableConnection = (Connection, ResponseHead);

/// One request on one connection.
pub(super) struct Attempt<'a> {
    pub(super) exchange: &'a Exchange<'a>,
    pub(super) remote: &'a dyn Remote,
    pub(super) caller: &'a mut CallerConnection,
    pub(super) delivery: &'a mut Delivery,
    pub(super) connection: Connection,
    pub(super) request: RequestWriter<'a>,
    pub(super) trace: &'a mut AttemptTrace,
}

impl Attempt<'_> {
    /// Writes the first bytes of the request. Returns `false` if the connection accepts none.
    pub(super) fn start_request(&mut self) -> bool {
        self.request.start(&self.connection)
    }

    /// Sends the request and receives the response. Returns the connection if it can be reused.
    pub(super) fn run(mut self) -> (AttemptOutcome, Option<ReusableConnection>) {
        match self.receive() {
            Ok((outcome, head)) => {
                // After a stray response, the next one on the connection may be one, too.
                let is_in_step = self.request.is_complete() && self.trace.stray_responses == 0;
                let head = head.filter(|_| is_in_step);
                (outcome, head.map(|it| (self.connection, it)))
            }
            Err(error) => {
                // The system would still send what it holds of the request, when the upstream may have
                // left its service. An error means that the connection is lost already.
                let _ = self.connection.discard_on_close();
                (error.into(), None)
            }
        }
    }

    /// Receives the response. The head is returned if the connection can be reused.
    fn receive(&mut self) -> Result<(AttemptOutcome, Option<ResponseHead>), AttemptError> {
        loop {
            let head = self.receive_head()?;
            let framing =
                head.framing(&self.exchange.head.method).map_err(|_| AttemptError::Incomplete)?;
            let mut decoder = BodyDecoder::new(framing);
            // A stream is relayed in chunks, which must not follow a head that ends its response.
            let is_stream = self.exchange.is_stream && !head.lacks_body(&self.exchange.head.method);
            self.trace.response_status = Some(head.status);
            self.trace.response_request_id =
                self.exchange.relay.dialect.response_facts(&head).request_id.map(Into::into);
            match self.remote.on_response_head(&head, self.position()) {
                Verdict::Match if is_stream && head.is_success() => {
                    let is_delimited_by_close = self.relay_stream(&head, decoder)?;
                    return Ok((AttemptOutcome::Streamed { is_delimited_by_close }, Some(head)));
                }
                Verdict::Match => {
                    let body = self.receive_body(&mut decoder)?;
                    // The head may have been cut off before the headers that frame the body.
                    if head.is_success() && decoder.is_delimited_by_close() && body.len() == 0 {
                        return Err(AttemptError::Incomplete);
                    }
                    let reusable_head = head.clone();
                    let response =
                        BufferedResponse::new(head, body).ok_or(AttemptError::Incomplete)?;
                    return Ok((AttemptOutcome::Buffered(response), Some(reusable_head)));
                }
                Verdict::Unattested => {
                    let is_complete = self.drop_received_body(&mut decoder);
                    return Ok((AttemptOutcome::Unattested, is_complete.then_some(head)));
                }
                Verdict::NotRun { misdirected } => {
                    // The head alone confirms that the call was not run. The connection is reused only
                    // if the body has arrived with it.
                    let is_complete = self.drop_received_body(&mut decoder);
                    let outcome = AttemptOutcome::NotRun {
                        misdirected,
                        retry_after: head.retry_after(),
                        refused_attempts: head.refused_attempts().unwrap_or_default(),
                    };
                    return Ok((outcome, is_complete.then_some(head)));
                }
                // The method of the request that a stray response is for is unknown, and with it whether
                // a body follows.
                Verdict::Stray | Verdict::Nameless if &*self.exchange.head.method == "HEAD" => {
                    return Err(AttemptError::Incomplete);
                }
                // The response to the call cannot follow one that ends with its connection.
                Verdict::Stray | Verdict::Nameless if decoder.is_delimited_by_close() => {
                    return Err(AttemptError::Incomplete);
                }
                Verdict::Stray => self.skip_response(&mut decoder)?,
                Verdict::Nameless => {
                    self.skip_response(&mut decoder)?;
                    // It may have been the response to the call. If it was not, that follows it.
                    if self.request.is_complete() && self.connection.is_idle() {
                        return Err(AttemptError::Incomplete);
                    }
                }
                Verdict::Invalid => return Err(AttemptError::Incomplete),
            }
        }
    }

    /// Returns the place of the next response on the connection.
    fn position(&self) -> Position {
        let is_first = !self.trace.is_connection_reused && self.trace.stray_responses == 0;
        if is_first { Position::First } else { Position::Later }
    }

    /// Sends the rest of the request and receives the next response head that is not interim (1xx).
    fn receive_head(&mut self) -> Result<ResponseHead, AttemptError> {
        loop {
            match parse_response_head(&self.connection.input) {
                Ok(Some((head, len))) => {
                    self.connection.input.drain(..len);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    self.trace.interim_responses += 1;
                    self.check_skipped_responses()?;
                    continue;
                }
                Ok(None) => {}
                Err(_) => return Err(AttemptError::Incomplete),
            }
            self.request.write_available(&self.connection).map_err(|_| AttemptError::Incomplete)?;
            if self.wait_and_read(!self.request.is_complete())? == ReadOutcome::Closed {
                return Err(AttemptError::Incomplete);
            }
        }
    }

    /// Discards what has arrived of a body, without waiting for more than is already received.
    /// Returns `true` if that is all of it.
    fn drop_received_body(&mut self, decoder: &mut BodyDecoder) -> bool {
        let mut body = Vec::new();
        let has_more =
            |connection: &mut Connection| matches!(connection.fill(), Ok(ReadOutcome::Data));
        while decoder.decode(&mut self.connection.input, &mut body).is_ok() {
            if decoder.is_complete() {
                return true;
            }
            if body.len() > MAX_DROPPED_BYTES || !has_more(&mut self.connection) {
                return false;
            }
        }
        false
    }

    /// Skips the body of a response to another request.
    fn skip_response(&mut self, decoder: &mut BodyDecoder) -> Result<(), AttemptError> {
        self.receive_body(decoder)?;
        self.trace.stray_responses += 1;
        metrics::counter!("cranberryvalve_stray_responses_total").increment(1);
        self.check_skipped_responses()
    }

    fn check_skipped_responses(&self) -> Result<(), AttemptError> {
        let skipped = self.trace.stray_responses + self.trace.interim_responses;
        let is_permitted = skipped <= MAX_SKIPPED_RESPONSES;
        is_permitted.then_some(()).ok_or(AttemptError::Incomplete)
    }

    /// Receives a whole body, within the memory for responses.
    fn receive_body(&mut self, decoder: &mut BodyDecoder) -> Result<HeldBody, AttemptError> {
        let mut body =
            HeldBody::new(self.exchange.relay.memory.reserve_response(self.exchange.deadline));
        if let Some(length) = decoder.announced_bytes().filter(|it| *it <= MAX_RESPONSE_BYTES) {
            body.reserve(length).map_err(|error| self.out_of_memory(error))?;
        }
        loop {
            let received_bytes = body.len();
            let is_within_limit = received_bytes <= MAX_RESPONSE_BYTES;
            if !is_within_limit {
                warn!(self.exchange.relay.log, "response is too large";
                    "upstream" => self.remote.name(), "received_bytes" => received_bytes);
                return Err(AttemptError::Incomplete);
            }
            let buffer = body.buffer(self.connection.input.len());
            let buffer = buffer.map_err(|error| self.out_of_memory(error))?;
            decoder
                .decode(&mut self.connection.input, buffer)
                .map_err(|_| AttemptError::Incomplete)?;
            if decoder.is_complete() {
                return Ok(body);
            }
            if self.wait_and_read(false)? == ReadOutcome::Closed {
                return if decoder.is_delimited_by_close() {
                    Ok(body)
                } else {
                    Err(AttemptError::Incomplete)
                };
            }
        }
    }

    fn out_of_memory(&self, _: OutOfMemory) -> AttemptError {
        self.exchange.relay.memory.record_refusal("response");
        AttemptError::Incomplete
    }

    /// Relays the stream to the caller, event by event. Returns whether it ended with its connection.
    fn relay_stream(
        &mut self,
        head: &ResponseHead,
        mut decoder: BodyDecoder,
    ) -> Result<bool, AttemptError> {
        let mut reader = self.delivery.reader(head).ok_or(AttemptError::Incomplete)?;
        let mut reservation = self.exchange.relay.memory.reserve_response(self.exchange.deadline);
        let mut is_response_started = false;
        loop {
            // A buffer that grows has at most twice the capacity that its content needs.
            let max_capacity_bytes = 2 * (reader.buffer().len() + self.connection.input.len());
            let reserved = reservation.extend_to(max_capacity_bytes);
            reserved.map_err(|error| self.out_of_memory(error))?;
            let decode_result = decoder.decode(&mut self.connection.input, reader.buffer());
            let events = reader.take_complete();
            if events.count > 0 {
                if !is_response_started {
                    is_response_started = true;
                    self.remote.on_first_events();
                }
                let deadline = self.exchange.deadline;
                let position = reader.position();
                self.delivery.forward_events(self.caller, head, &events, position, deadline)?;
            }
            reader.check().map_err(|_| AttemptError::Incomplete)?;
            decode_result.map_err(|_| AttemptError::Incomplete)?;
            if decoder.is_complete() {
                break;
            }
            if self.wait_and_read(false)? == ReadOutcome::Closed {
                if decoder.is_delimited_by_close() {
                    break;
                }
                return Err(AttemptError::Incomplete);
            }
        }
        reader.check_end().map_err(|_| AttemptError::Incomplete)?;
        if decoder.is_delimited_by_close() {
            reader.check_not_empty().map_err(|_| AttemptError::Incomplete)?;
        }
        self.delivery.end(self.caller, head, self.exchange.deadline)?;
        self.remote.on_stream_end(self.delivery);
        Ok(decoder.is_delimited_by_close())
    }

    /// Waits until the upstream's connection is readable, or writable if `upstream_output` is set,
    /// then reads what is available.
    fn wait_and_read(&mut self, upstream_output: bool) -> Result<ReadOutcome, AttemptError> {
        // A stream that has begun goes on as long as the process runs: its caller can get nothing else.
        let is_unsent = !self.delivery.has_begun();
        let interest = Interest {
            caller: Some(&self.caller.connection),
            upstream: Some(&self.connection),
            upstream_output,
            broadcast: is_unsent.then(|| self.exchange.relay.lifecycle.calls_ended()),
            ..Interest::default()
        };
        let ready = wait(interest, self.exchange.deadline).map_err(|_| AttemptError::Incomplete)?;
        if ready.caller_disconnected {
            return Err(AttemptError::CallerDisconnected);
        }
        if ready.timed_out {
            return Err(AttemptError::DeadlineExceeded { is_sent: true });
        }
        if !ready.upstream {
            return if ready.broadcast {
                Err(AttemptError::ShutDown { is_sent: true })
            } else {
                Ok(ReadOutcome::WouldBlock)
            };
        }
        let outcome = self.connection.fill().map_err(|_| AttemptError::Incomplete)?;
        if outcome == ReadOutcome::Data {
            self.remote.on_input();
        }
        Ok(outcome)
    }
}

/// A serialized request and how much of it was sent.
pub(super) struct RequestWriter<'a> {
    /// The head, with a copy of the first part of the body, so that they travel in one packet. Released
    /// once it is sent.
    first: Vec<u8>,
    /// The other parts of the body.
    rest: &'a [Vec<u8>],
    /// Number of bytes sent of what is left of the request.
    sent_of_part: usize,
    is_started: bool,
}

impl<'a> RequestWriter<'a> {
    /// Creates a writer of a request with this head and the segments of its body.
    pub(super) fn new(mut head: Vec<u8>, body: &'a [Vec<u8>]) -> Self {
        let (segment, rest) = body.split_first().map_or((&[][..], body), |it| (&it.0[..], it.1));
        head.extend_from_slice(segment);
        Self { first: head, rest, sent_of_part: 0, is_started: false }
    }

    /// Writes as much as the connection accepts without blocking.
    fn write_available(&mut self, connection: &Connection) -> io::Result<()> {
        while !self.is_complete() {
            let mut parts = [IoSlice::new(&[]); MAX_WRITTEN_PARTS];
            let unsent = iter::once(&self.first).chain(self.rest);
            let unsent = unsent.filter(|it| !it.is_empty());
            let count = parts.iter_mut().zip(unsent).map(|(to, it)| *to = IoSlice::new(it)).count();
            parts[0].advance(self.sent_of_part);
            let written = connection.try_write_parts(&parts[..count])?;
            if written == 0 {
                return Ok(());
            }
            self.is_started = true;
            self.advance(written);
        }
        Ok(())
    }

    /// Drops the parts that were sent with `written` further bytes.
    fn advance(&mut self, written: usize) {
        self.sent_of_part += written;
        if !self.first.is_empty() && self.sent_of_part >= self.first.len() {
            self.sent_of_part -= self.first.len();
            self.first = Vec::new();
        }
        while self.first.is_empty()
            && let Some((part, rest)) = self.rest.split_first()
            && self.sent_of_part >= part.len()
        {
            self.sent_of_part -= part.len();
            self.rest = rest;
        }
    }

    /// Writes the first bytes. Returns `false` if the connection accepts none.
    fn start(&mut self, connection: &Connection) -> bool {
        // An error after the first bytes shows again with the next ones, which are written before
        // anything is read.
        let _ = self.write_available(connection);
        self.is_started
    }

    fn is_complete(&self) -> bool {
        self.first.is_empty() && self.rest.is_empty()
    }
}

#[cfg(test)]
mod tests;
