//! A call on a connection to an upstream.

use std::io;
use std::time::Instant;

use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SendCommand;

use super::AttemptOutcome;
use super::Delivery;
use super::Exchange;
use super::Halt;
use super::WholeAnswer;
use crate::answer::AnswerHead;
use crate::answer::parse_answer_head;
use crate::body::BodyDecoder;
use crate::caller::Caller;
use crate::dialect::Verdict;
use crate::dispatch::Ticket;
use crate::events::EventReader;
use crate::events::Events;
use crate::socket::Connection;
use crate::socket::Filled;
use crate::socket::Waits;
use crate::socket::wait;

/// Largest answer that is not an event stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Largest head of an answer, in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// One call on one connection.
pub(super) struct Attempt<'a> {
    pub(super) exchange: &'a Exchange<'a>,
    pub(super) command: &'a SendCommand,
    pub(super) ticket: &'a Ticket,
    pub(super) caller: &'a mut Caller,
    pub(super) delivery: &'a mut Delivery,
    pub(super) connection: Connection,
    pub(super) upload: Upload,
}

impl Attempt<'_> {
    /// Sends the first bytes; false when the connection takes none.
    pub(super) fn starts_upload(&mut self) -> bool {
        self.upload.push(&self.connection).is_ok() && self.upload.sent > 0
    }

    /// Sends the call and receives its answer.
    pub(super) fn run(mut self) -> AttemptOutcome {
        let (outcome, head) = match self.receive() {
            Ok(it) => it,
            Err(halt) => return halt.into(),
        };
        if self.upload.is_complete()
            && let Some(head) = head
        {
            let upstream = &self.command.upstream;
            let kept = &self.exchange.relay.kept;
            kept.keep(&upstream.id, upstream.incarnation, self.connection, &head);
        }
        outcome
    }

    /// Receives the answer; the head is returned when the connection may be kept after it.
    fn receive(&mut self) -> Result<(AttemptOutcome, Option<AnswerHead>), Halt> {
        let dialect = &self.exchange.relay.dialect;
        loop {
            let head = self.receive_head()?;
            let framing = head.framing(&self.exchange.head.method).map_err(|_| Halt::Broken)?;
            let mut decoder = BodyDecoder::new(framing);
            if let Some(load) = dialect.told_load(&head) {
                let upstream = self.command.upstream.id.clone();
                self.tell(SchedulerEvent::LoadTold { upstream, load });
            }
            match dialect.judge(&head, self.exchange.caller_id) {
                Verdict::Answer if self.exchange.is_stream && head.is_success() => {
                    self.relay_stream(&head, decoder)?;
                    return Ok((AttemptOutcome::Delivered, Some(head)));
                }
                Verdict::Answer => {
                    let body = self.receive_whole(&mut decoder)?;
                    let keep = head.clone();
                    return Ok((AttemptOutcome::Whole(WholeAnswer { head, body }), Some(keep)));
                }
                Verdict::NotRun { misdirected } => {
                    // The attestation is in the head; the body only matters to the connection.
                    let keep = self.receive_whole(&mut decoder).is_ok().then_some(head);
                    return Ok((AttemptOutcome::NotRun { misdirected }, keep));
                }
                Verdict::Stray => {
                    self.receive_whole(&mut decoder)?;
                }
                Verdict::Invalid => return Err(Halt::Broken),
            }
        }
    }

    /// Uploads the call and receives the head of the next answer that is not an interim one.
    fn receive_head(&mut self) -> Result<AnswerHead, Halt> {
        loop {
            match parse_answer_head(&self.connection.input) {
                Ok(Some((head, len))) => {
                    self.connection.input.drain(..len);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    continue;
                }
                Ok(None) if self.connection.input.len() > MAX_ANSWER_HEAD_BYTES => {
                    return Err(Halt::Broken);
                }
                Ok(None) => {}
                Err(_) => return Err(Halt::Broken),
            }
            self.upload.push(&self.connection).map_err(|_| Halt::Broken)?;
            if self.fill(!self.upload.is_complete())? == Filled::Closed {
                return Err(Halt::Broken);
            }
        }
    }

    fn receive_whole(&mut self, decoder: &mut BodyDecoder) -> Result<Vec<u8>, Halt> {
        let mut body = Vec::new();
        loop {
            decoder.decode(&mut self.connection.input, &mut body).map_err(|_| Halt::Broken)?;
            if decoder.is_complete() {
                return Ok(body);
            }
            if body.len() > MAX_ANSWER_BYTES {
                return Err(Halt::Broken);
            }
            if self.fill(false)? == Filled::Closed {
                return if decoder.ends_with_connection() { Ok(body) } else { Err(Halt::Broken) };
            }
        }
    }

    /// Passes a stream on, event by event.
    fn relay_stream(&mut self, head: &AnswerHead, mut decoder: BodyDecoder) -> Result<(), Halt> {
        let mut reader = EventReader::after(self.delivery.last_event);
        let mut is_answering = false;
        loop {
            let decoded = decoder.decode(&mut self.connection.input, reader.buffer());
            let events = reader.take_whole().map_err(|_| Halt::Broken)?;
            if events.count > 0 {
                if !is_answering {
                    is_answering = true;
                    self.ticket.answering(self.command.attempt);
                    self.exchange.report(self.command);
                }
                self.pass_on(head, &events)?;
                self.delivery.last_event = reader.last_id();
            }
            decoded.map_err(|_| Halt::Broken)?;
            if decoder.is_complete() {
                break;
            }
            if self.fill(false)? == Filled::Closed {
                if decoder.ends_with_connection() {
                    break;
                }
                return Err(Halt::Broken);
            }
        }
        if reader.has_partial() {
            return Err(Halt::Broken);
        }
        self.end_stream(head)
    }

    fn pass_on(&mut self, head: &AnswerHead, events: &Events) -> Result<(), Halt> {
        self.start_stream(head)?;
        self.caller.send_piece(&events.bytes, self.exchange.deadline)?;
        self.delivery.passed_on(events.count, Instant::now());
        Ok(())
    }

    /// Sends the head of the answer, unless an earlier attempt has sent its own.
    fn start_stream(&mut self, head: &AnswerHead) -> Result<(), Halt> {
        if !self.delivery.is_started {
            self.delivery.is_started = true;
            self.caller.start_stream(head, self.exchange.deadline)?;
        }
        Ok(())
    }

    fn end_stream(&mut self, head: &AnswerHead) -> Result<(), Halt> {
        self.start_stream(head)?;
        self.caller.end_stream(self.exchange.deadline)?;
        if let Some(event_gap) = self.delivery.median_gap() {
            let upstream = self.command.upstream.id.clone();
            self.tell(SchedulerEvent::Paced { upstream, event_gap });
        }
        Ok(())
    }

    /// Waits for input from the upstream, or for room for the rest of the call, and reads.
    fn fill(&mut self, upstream_output: bool) -> Result<Filled, Halt> {
        let waits = Waits {
            caller: Some(&self.caller.connection),
            upstream: Some(&self.connection),
            upstream_output,
            ..Waits::default()
        };
        let ready = wait(waits, self.exchange.deadline).map_err(|_| Halt::Broken)?;
        if ready.caller_gone {
            return Err(Halt::CallerGone);
        }
        if ready.timed_out {
            return Err(Halt::TimeOver);
        }
        if !ready.upstream {
            return Ok(Filled::Nothing);
        }
        self.connection.fill().map_err(|_| Halt::Broken)
    }

    fn tell(&self, event: SchedulerEvent) {
        self.exchange.relay.dispatcher.handle(event);
    }
}

/// The bytes of a call on their way out.
pub(super) struct Upload {
    bytes: Vec<u8>,
    sent: usize,
}

impl Upload {
    pub(super) const fn new(bytes: Vec<u8>) -> Self {
        Self { bytes, sent: 0 }
    }

    /// Sends what the connection takes at once.
    fn push(&mut self, connection: &Connection) -> io::Result<()> {
        while !self.is_complete() {
            let amount = connection.write_some(&self.bytes[self.sent..])?;
            if amount == 0 {
                return Ok(());
            }
            self.sent += amount;
        }
        Ok(())
    }

    const fn is_complete(&self) -> bool {
        self.sent == self.bytes.len()
    }
}
