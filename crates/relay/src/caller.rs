//! HTTP/1.1 server side of a caller's connection.

mod limits;
mod response;
mod sending;

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::caller::BodyKind;
use cranberryvalve_adapters::caller::HeadError;
use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_adapters::caller::method_of;
use cranberryvalve_adapters::caller::parse_head;
use cranberryvalve_policy::execution::NotRun;
use cranberryvalve_policy::memory::MemoryKind;

use crate::body::BodyDecoder;
use crate::memory::HeldBody;
use crate::memory::MemoryBudget;
use crate::memory::OutOfMemory;
use crate::refusal::InvalidRequest;
use crate::refusal::LEAVING_RETRY_AFTER;
use crate::refusal::Refusal;
use crate::response::Framing;
use crate::slots::ConnectionSlot;
use crate::slots::RequestSlot;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::ReadOutcome;
use crate::socket::Waker;
use crate::socket::wait;

pub(crate) use self::limits::LimitsInForce;
pub(crate) use self::limits::RequestLimits;
pub(crate) use self::response::BegunStream;
pub(crate) use self::response::UnsentResponse;

/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time to write a response that is not streamed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a response from which the connection is kept for a caller that has not read it, well
/// below that after which the system ends it. Most callers read the response and send a request before.
const UNREAD_CHECK_DELAY: Duration = Duration::from_secs(1);

/// Maximum time to drain the input of a caller whose request was rejected.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Size of the buffers that the memory of a connection includes, in bytes. Larger heads take further
/// memory.
const CONNECTION_BUFFER_BYTES: usize = 16 * 1024;

/// Size of the parts in which the progress of a request body is recorded, in bytes.
const PROGRESS_BYTES: usize = 16 * 1024;

/// `Retry-After` for requests that are refused for lack of memory: by then, bodies that make no progress
/// give way.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the reading of a request needs besides its connection.
#[derive(Clone, Copy)]
pub(crate) struct Intake<'a> {
    pub(crate) limits: &'a RequestLimits<'a>,
    /// Ends the wait for input.
    pub(crate) calls_ended: &'a Waker,
    pub(crate) memory: &'a MemoryBudget,
    /// Wakes this thread if the body or the connection has to make room for others.
    pub(crate) waker: &'a Arc<Waker>,
    pub(crate) slot: &'a RequestSlot,
}

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: HeldBody,
    /// When the first byte of the request was available.
    pub(crate) arrived_at: Instant,
}

/// Why no request could be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The caller closed the connection or was idle for too long.
    Disconnected,
    /// The connection is closed for another one, with this response if the caller reads it.
    Evicted(UnsentResponse),
    /// The request is rejected with this response, and the connection is closed.
    Rejected(UnsentResponse, Refusal),
}

impl ReadError {
    fn invalid(reason: InvalidRequest, message: impl Into<Box<str>>) -> Self {
        Self::Rejected(UnsentResponse::new(), Refusal::invalid(reason, message))
    }

    fn shutting_down() -> Self {
        let proof = NotRun::before_sending();
        let refusal = Refusal::not_run(proof, LEAVING_RETRY_AFTER, "the VM is shutting down");
        Self::Rejected(UnsentResponse::new(), refusal)
    }

    fn out_of_memory(memory: &MemoryBudget, reason: &'static str) -> Self {
        memory.record_refusal(reason);
        let proof = NotRun::before_sending();
        let refusal = Refusal::not_run(proof, MEMORY_RETRY_AFTER, "the VM is short of memory");
        Self::Rejected(UnsentResponse::new(), refusal)
    }

    fn too_slow(message: &str) -> Self {
        Self::Rejected(UnsentResponse::new(), Refusal::not_read(message))
    }
}

impl From<HeadError> for ReadError {
    fn from(error: HeadError) -> Self {
        let reason = match error {
            HeadError::TooManyHeaders => InvalidRequest::HeadTooLarge,
            _ => InvalidRequest::Malformed,
        };
        Self::invalid(reason, error.to_string())
    }
}

/// Why a part of a response could not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// The caller's connection is closed or lost.
    Disconnected,
    /// The caller had not read enough by the deadline.
    Unread,
}

impl From<io::Error> for WriteError {
    fn from(_: io::Error) -> Self {
        Self::Disconnected
    }
}

/// A caller's connection, from which requests are read and to which responses are written.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) connection: Connection,
    /// Whether the connection may be used for another request.
    pub(crate) keeps_alive: bool,
    /// Method of the request that is served, as far as it has arrived: no body follows the head of a
    /// response to HEAD.
    method: Box<str>,
    /// Whether refusals state for another VM that the call was not run.
    attests_refusals: bool,
    /// When the caller stops waiting for the response to its last call.
    call_deadline: Option<Instant>,
    /// Whether the system keeps the connection until then while the caller does not read.
    waits_for_reader: bool,
}

impl CallerConnection {
    /// `attests_refusals` tells whether refusals state for another VM that the call was not run.
    pub(crate) fn new(connection: Connection, attests_refusals: bool) -> Self {
        Self {
            connection,
            keeps_alive: true,
            method: Box::default(),
            attests_refusals,
            call_deadline: None,
            waits_for_reader: false,
        }
    }

    /// Records until when the caller waits for the response to a call.
    pub(crate) const fn begin_call(&mut self, deadline: Instant) {
        self.call_deadline = Some(deadline);
    }

    /// Sends `refusal` before any request was read, and closes the connection.
    pub(crate) fn refuse_connection(mut self, refusal: &Refusal) {
        // A part of the request may have arrived. If the read fails, so will the write.
        let _ = self.connection.fill();
        self.method = method_of(&self.connection.input).into();
        UnsentResponse::new().reject(&mut self, refusal);
    }

    /// Waits for the first byte of the next request. `closed` ends the wait, and so does the eviction of
    /// the connection from its slot, after which `waker` is woken.
    pub(crate) fn wait_for_request(
        &mut self,
        limits: LimitsInForce<'_>,
        closed: &Waker,
        (slot, waker): (&ConnectionSlot, &Waker),
    ) -> Result<(), ReadError> {
        let started_at = Instant::now();
        let idle_timeout = || limits().unwrap_or_default().idle_timeout;
        let mut deadline = started_at + idle_timeout();
        let unread_check_at = started_at + UNREAD_CHECK_DELAY;
        self.connection.shrink_input();
        while self.connection.input.is_empty() {
            let now = Instant::now();
            if now >= unread_check_at {
                self.wait_for_reader(now);
            }
            let interest = Interest {
                caller: Some(&self.connection),
                caller_input: true,
                waker: Some(waker),
                broadcast: Some(closed),
                ..Interest::default()
            };
            let is_check_due = now < unread_check_at;
            let wait_end = if is_check_due { deadline.min(unread_check_at) } else { deadline };
            let ready = wait(interest, wait_end).map_err(|_| ReadError::Disconnected)?;
            let outcome = self.connection.fill().map_err(|_| ReadError::Disconnected)?;
            // The timeout may have been raised meanwhile.
            let is_over = ready.timed_out && Instant::now() >= started_at + idle_timeout();
            deadline = deadline.max(started_at + idle_timeout());
            let is_evicted = ready.woken && slot.is_evicted();
            let should_stop = is_over || ready.broadcast || is_evicted;
            if outcome == ReadOutcome::Closed || (outcome == ReadOutcome::WouldBlock && should_stop)
            {
                if outcome == ReadOutcome::WouldBlock && is_evicted {
                    slot.record_eviction("nothing");
                }
                return Err(ReadError::Disconnected);
            }
        }
        self.expect_acknowledgements();
        Ok(())
    }

    /// Reads a request with its complete body. Returns it with the response that is due.
    pub(crate) fn read_request(
        &mut self,
        intake: Intake<'_>,
    ) -> Result<(CallerRequest, UnsentResponse), ReadError> {
        let (limits, arrived_at) = (intake.limits, Instant::now());
        let head = self.read_head(intake, arrived_at)?;
        self.keeps_alive = head.keep_alive;
        let framing = match head.body_kind()? {
            BodyKind::Length(length) if !limits.allows_body(length) => {
                return Err(limits.body_too_large());
            }
            BodyKind::Length(length) => Framing::Length(length as u64),
            BodyKind::Chunked => Framing::Chunked,
        };
        if head.header("expect").is_some_and(|it| it.eq_ignore_ascii_case("100-continue")) {
            let deadline = Instant::now() + WRITE_TIMEOUT;
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
                .map_err(|_| ReadError::Disconnected)?;
        }
        let body = self.read_body(framing, intake)?;
        Ok((CallerRequest { head, body, arrived_at }, UnsentResponse::new()))
    }

    fn read_head(
        &mut self,
        intake: Intake<'_>,
        arrived_at: Instant,
    ) -> Result<RequestHead, ReadError> {
        let limits = intake.limits;
        let mut memory = intake.memory.reserve(MemoryKind::SmallBody);
        loop {
            let deadline = arrived_at + limits.head_timeout();
            // A head that is rejected may be one of HEAD, too.
            self.method = method_of(&self.connection.input).into();
            if let Some((head, len)) = parse_head(&self.connection.input)? {
                check_line_endings(&self.connection.input[..len])?;
                if !limits.allows_head(len) {
                    return Err(limits.head_too_large());
                }
                self.connection.input.drain(..len);
                if head.headers().filter(|(name, _)| *name == "host").count() != 1 {
                    return Err(ReadError::invalid(
                        InvalidRequest::Malformed,
                        "there must be one Host header",
                    ));
                }
                return Ok(head);
            }
            if !limits.allows_head(self.connection.input.len()) {
                return Err(limits.head_too_large());
            }
            let received_bytes = self.connection.input.len();
            if received_bytes > CONNECTION_BUFFER_BYTES {
                // A buffer that grows has at most twice the capacity that its content needs.
                memory
                    .extend_to(2 * received_bytes)
                    .map_err(|OutOfMemory| ReadError::out_of_memory(intake.memory, "head"))?;
            }
            if self.fill(deadline, Some(intake))? == ReadOutcome::WouldBlock
                && Instant::now() >= deadline
            {
                return Err(ReadError::too_slow("the request head took too long"));
            }
        }
    }

    fn read_body(&mut self, framing: Framing, intake: Intake<'_>) -> Result<HeldBody, ReadError> {
        let deadline = Instant::now() + BODY_TIMEOUT;
        let mut decoder = BodyDecoder::new(framing);
        let mut body = HeldBody::new(intake.memory.reserve(MemoryKind::SmallBody));
        let mut recorded_parts = 0;
        while !decoder.is_complete() {
            let input = &mut self.connection.input;
            if !input.is_empty() {
                let buffer = body
                    .buffer(input.len())
                    .map_err(|OutOfMemory| ReadError::out_of_memory(intake.memory, "body"))?;
                decoder.decode(input, buffer).map_err(|error| {
                    ReadError::invalid(InvalidRequest::Malformed, error.to_string())
                })?;
            }
            if !intake.limits.allows_body(body.len()) {
                return Err(intake.limits.body_too_large());
            }
            if decoder.is_complete() {
                break;
            }
            let received_parts = body.len() / PROGRESS_BYTES;
            if received_parts > recorded_parts {
                recorded_parts = received_parts;
                intake.slot.record_progress();
            }
            body.begin_receiving(intake.waker);
            let outcome = self.fill(deadline, Some(intake))?;
            if outcome == ReadOutcome::WouldBlock && body.is_shed() {
                break;
            }
            if outcome == ReadOutcome::WouldBlock && Instant::now() >= deadline {
                return Err(ReadError::too_slow("the request body took too long"));
            }
        }
        let is_kept = body.end_receiving();
        is_kept.then_some(body).ok_or_else(|| ReadError::out_of_memory(intake.memory, "shed"))
    }

    /// Waits for input until `deadline` and reads it. The wait ends before for what ends the `intake`.
    fn fill(
        &mut self,
        deadline: Instant,
        intake: Option<Intake<'_>>,
    ) -> Result<ReadOutcome, ReadError> {
        let interest = Interest {
            caller: Some(&self.connection),
            caller_input: true,
            waker: intake.map(|it| &**it.waker),
            broadcast: intake.map(|it| it.calls_ended),
            ..Interest::default()
        };
        let ready = wait(interest, deadline).map_err(|_| ReadError::Disconnected)?;
        match self.connection.fill() {
            Ok(ReadOutcome::Closed) | Err(_) => Err(ReadError::Disconnected),
            Ok(ReadOutcome::WouldBlock) if ready.broadcast => Err(ReadError::shutting_down()),
            Ok(ReadOutcome::WouldBlock)
                if ready.woken && intake.is_some_and(|it| it.slot.is_evicted()) =>
            {
                Err(ReadError::Evicted(UnsentResponse::new()))
            }
            Ok(ReadOutcome::Data) if ready.woken => {
                // What this thread was woken for counts once no more input is there.
                if let Some(intake) = intake {
                    intake.waker.wake();
                }
                Ok(ReadOutcome::Data)
            }
            Ok(outcome) => Ok(outcome),
        }
    }

    /// Drains remaining input, since closing a socket with unread input may discard the response.
    fn drain_input(&mut self) {
        self.connection.shutdown_write();
        let deadline = Instant::now() + LINGER_TIMEOUT;
        while Instant::now() < deadline && self.fill(deadline, None).is_ok() {
            self.connection.input.clear();
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.wait_for_reader(Instant::now());
    }
}

/// Rejects line feeds without a carriage return, which other HTTP implementations may interpret
/// differently.
fn check_line_endings(head: &[u8]) -> Result<(), ReadError> {
    let is_bare_lf = |pair: &[u8]| pair[1] == b'\n' && pair[0] != b'\r';
    if head.windows(2).any(is_bare_lf) {
        return Err(ReadError::invalid(
            InvalidRequest::Malformed,
            "a line of the head does not end with CR LF",
        ));
    }
    Ok(())
}
