//! One attempt of a call: sends the request to an upstream and relays the response.

mod attempt;
mod delivery;
mod forward;
mod restart;
mod upstream;

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_coordination::quarantine::Refusal;
use cranberryvalve_core::RequestFingerprint;
use cranberryvalve_core::SuspectKey;
use cranberryvalve_policy::execution::Execution;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::SendCommand;

use self::attempt::Attempt;
use self::attempt::Remote;
use self::attempt::RequestWriter;
use self::upstream::ScheduledUpstream;
use crate::caller::CallerConnection;
use crate::caller::WriteError;
use crate::dialect::UpstreamRequest;
use crate::dispatch::CallGuard;
use crate::events::EventId;
use crate::memory::HeldBody;
use crate::refusal::is_promise;
use crate::response::ResponseHead;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::LossDetection;
use crate::socket::check;
use crate::socket::wait;
use crate::state::Relay;

pub(crate) use self::delivery::Delivery;
pub(crate) use self::forward::is_unsent;

/// Maximum time to establish a connection to an upstream. It covers several round trips between
/// failure domains with one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Hop-by-hop headers (RFC 9110, section 7.6.1) and those that frame the body.
const HOP_BY_HOP_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// A call with all that is needed to send it to an upstream.
pub(crate) struct Exchange<'a> {
    pub(crate) relay: &'a Relay,
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a HeldBody,
    /// Request identifier chosen by the caller.
    pub(crate) caller_id: Option<&'a str>,
    pub(crate) customer: Option<&'a str>,
    pub(crate) tier: u8,
    pub(crate) is_stream: bool,
    /// Identifier of the request that began the stream, if its caller may resume it.
    pub(crate) stream_id: Option<&'a str>,
    /// Whether the route leads to several pools.
    pub(crate) is_route_split: bool,
    pub(crate) deadline: Instant,
    /// Whether the call may be sent again after an attempt to which no response came.
    pub(crate) is_retryable: bool,
    /// Whether upstreams may have got the call through other VMs.
    pub(crate) may_have_been_sent: bool,
    /// Whether the upstream's load coordinator is notified of the load.
    pub(crate) reports_load: bool,
    /// What the call has in common with others that may crash upstreams.
    pub(crate) suspect_keys: &'a [SuspectKey],
}

/// A complete response of an upstream, held in memory, whose status does not promise that the call
/// was not run.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    head: ResponseHead,
    body: HeldBody,
}

impl BufferedResponse {
    /// Returns `None` if the status is such a promise.
    fn new(head: ResponseHead, body: HeldBody) -> Option<Self> {
        (!is_promise(head.status)).then_some(Self { head, body })
    }

    pub(crate) const fn head(&self) -> &ResponseHead {
        &self.head
    }

    pub(crate) const fn body(&self) -> &HeldBody {
        &self.body
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// No connection could be established, so nothing was sent.
    NotSent,
    /// The upstream stopped taking requests before anything was sent.
    Withdrawn,
    /// Calls like this one crash upstreams, so nothing was sent.
    Quarantined(Refusal),
    /// The upstream confirmed that it did not run the call.
    NotRun {
        /// Whether the address now belongs to another upstream.
        misdirected: bool,
        /// Time after which to send it again, if the response states one.
        retry_after: Option<Duration>,
        /// Number of attempts that upstreams refused, if another VM made them.
        refused_attempts: u32,
    },
    /// A complete response whose status would promise that the call was not run, without a
    /// confirmation of that. It is not relayed.
    Unattested,
    /// A complete response that has not been sent to the caller yet.
    Buffered(BufferedResponse),
    /// The whole stream was sent to the caller.
    Streamed {
        /// Whether the stream had no other end than that of its connection, which a crash has, too.
        is_delimited_by_close: bool,
    },
    /// The request was sent, but no complete and valid response came back.
    Incomplete,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller had not read the stream by the call's deadline.
    Unread,
    /// The call's deadline has passed.
    DeadlineExceeded {
        /// Whether the call may have been sent by then.
        is_sent: bool,
    },
    /// This VM shuts down before the attempt is over.
    ShutDown {
        /// Whether the call may have been sent by then.
        is_sent: bool,
    },
}

impl AttemptOutcome {
    /// Returns the end of the attempt as reported to the scheduler.
    pub(crate) const fn end(&self) -> AttemptEnd {
        match self {
            Self::NotSent => AttemptEnd::NotSent,
            Self::Withdrawn => AttemptEnd::Withdrawn,
            Self::NotRun { misdirected, .. } => AttemptEnd::Refused { misdirected: *misdirected },
            Self::Unattested => AttemptEnd::Unattested,
            Self::Buffered(response) if response.head.status >= 500 => AttemptEnd::Failed,
            Self::Buffered(_) | Self::Streamed { .. } => AttemptEnd::Complete,
            Self::Incomplete => AttemptEnd::Interrupted,
            Self::CallerDisconnected
            | Self::Unread
            | Self::DeadlineExceeded { .. }
            | Self::ShutDown { .. }
            | Self::Quarantined(_) => AttemptEnd::Abandoned,
        }
    }

    /// Returns what the attempt has shown about whether the call was run.
    pub(crate) const fn execution(&self) -> Execution {
        match self {
            Self::Quarantined(_)
            | Self::DeadlineExceeded { is_sent: false }
            | Self::ShutDown { is_sent: false } => Execution::NotSent,
            _ => self.end().execution(),
        }
    }

    /// Returns `true` if nothing was sent, so that no upstream can have run the call.
    pub(crate) const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent | Self::Withdrawn | Self::Quarantined(_))
    }

    /// Returns the name of the failure in logs, or `None` if the attempt did not fail.
    pub(crate) const fn failure(&self) -> Option<&'static str> {
        match (self, self.end()) {
            (Self::DeadlineExceeded { .. }, _) => Some("time_over"),
            (Self::ShutDown { .. }, _) => Some("shut_down"),
            (Self::Unread, _) => Some("unread"),
            (_, AttemptEnd::Complete | AttemptEnd::Abandoned) => None,
            (_, end) => Some(end.name()),
        }
    }
}

/// What an attempt saw of the upstream, for its log line.
#[derive(Debug, Default)]
pub(crate) struct AttemptTrace {
    /// Whether the connection had carried other requests before.
    pub(crate) is_connection_reused: bool,
    /// Status of the last response head that arrived, or `None` if there was none.
    pub(crate) response_status: Option<u16>,
    /// Request that the last response head names, or `None` if it names none.
    pub(crate) response_request_id: Option<Box<str>>,
    /// Number of interim responses (1xx).
    pub(crate) interim_responses: usize,
    /// Number of responses to other requests that were skipped.
    pub(crate) stray_responses: usize,
}

/// Why an attempt was aborted.
#[derive(Debug)]
enum AttemptError {
    Incomplete,
    CallerDisconnected,
    Unread,
    DeadlineExceeded { is_sent: bool },
    ShutDown { is_sent: bool },
}

impl From<AttemptError> for AttemptOutcome {
    fn from(error: AttemptError) -> Self {
        match error {
            AttemptError::Incomplete => Self::Incomplete,
            AttemptError::CallerDisconnected => Self::CallerDisconnected,
            AttemptError::Unread => Self::Unread,
            AttemptError::DeadlineExceeded { is_sent } => Self::DeadlineExceeded { is_sent },
            AttemptError::ShutDown { is_sent } => Self::ShutDown { is_sent },
        }
    }
}

impl Exchange<'_> {
    /// Sends the call to the upstream of `command` and relays a streamed response as it arrives.
    pub(crate) fn run_attempt(
        &self,
        command: &SendCommand,
        call_guard: &CallGuard,
        caller: &mut CallerConnection,
        delivery: &mut Delivery,
        trace: &mut AttemptTrace,
    ) -> AttemptOutcome {
        let upstream = &command.upstream;
        let idle_connection = self.kept_connection(command);
        let is_reused = idle_connection.is_some();
        trace.is_connection_reused = is_reused;
        let connection = match idle_connection {
            Some(connection) => Ok(Some(connection)),
            None => self.connect(command, caller),
        };
        let connection = match connection {
            Ok(Some(connection)) => connection,
            Ok(None) => return AttemptOutcome::NotSent,
            Err(error) => return error.into(),
        };
        // The wait for a new connection also watches the caller.
        if is_reused && self.has_caller_left(caller) {
            return AttemptOutcome::CallerDisconnected;
        }
        if !self.may_send(command) {
            return AttemptOutcome::Withdrawn;
        }
        if self.relay.lifecycle.has_ended_calls() {
            return AttemptOutcome::ShutDown { is_sent: false };
        }
        if let Err(refusal) = self.relay.claim_send(self.suspect_keys) {
            return AttemptOutcome::Quarantined(refusal);
        }
        let request = self.encode_request(command, delivery.last_event_id());
        let remote = ScheduledUpstream::new(self, command, call_guard);
        let mut attempt = Attempt {
            exchange: self,
            remote: &remote,
            caller,
            delivery,
            connection,
            request,
            trace,
        };
        if is_reused && !attempt.start_request() {
            // The upstream closed the idle connection before it accepted a single byte.
            match self.connect(command, attempt.caller) {
                Ok(Some(_)) if !self.may_send(command) => return AttemptOutcome::Withdrawn,
                Ok(Some(connection)) => {
                    attempt.connection = connection;
                    attempt.trace.is_connection_reused = false;
                }
                Ok(None) => return AttemptOutcome::NotSent,
                Err(error) => return error.into(),
            }
        }
        let _waiting = self.relay.forwarding.track_attempt();
        let (outcome, reusable) = attempt.run();
        if matches!(outcome, AttemptOutcome::Incomplete) {
            self.check_start(upstream);
        }
        // A copy of a response to HEAD would state the length of a body that does not follow.
        if let Some((connection, head)) = reusable.filter(|_| &*self.head.method != "HEAD") {
            let idle_connections = &self.relay.idle_connections;
            idle_connections.put(&upstream.id, upstream.incarnation, connection, &head);
        }
        outcome
    }

    /// Takes a kept connection for the attempt, if the response to it can be attributed there.
    ///
    /// The response to a call without an identifier cannot, nor can that to a further attempt at the
    /// same upstream, which may send its response to the earlier one once more.
    fn kept_connection(&self, command: &SendCommand) -> Option<Connection> {
        let is_repeat = command.is_repeat || self.may_have_been_sent;
        self.caller_id.filter(|_| !is_repeat)?;
        let upstream = &command.upstream;
        let idle_connections = &self.relay.idle_connections;
        idle_connections.take(&upstream.id, upstream.incarnation, self.loss_detection())
    }

    /// Returns who notices that an upstream has vanished.
    ///
    /// A call that may be sent again goes to another upstream as soon as the system considers the
    /// connection lost. One that may not gains nothing by that: it may have run, and the network may still
    /// deliver it. It waits for a link that comes back, until its deadline; then the connection is
    /// reset, so that the call does nothing afterwards.
    const fn loss_detection(&self) -> LossDetection {
        if self.is_retryable { LossDetection::System } else { LossDetection::Deadline }
    }

    /// Returns the fingerprint of the call's content, if it is among the keys.
    pub(crate) fn fingerprint(&self) -> Option<RequestFingerprint> {
        self.suspect_keys.iter().find_map(|it| match it {
            SuspectKey::Request(fingerprint) => Some(*fingerprint),
            SuspectKey::PromptPart { .. } => None,
        })
    }

    /// Reports the load to the upstream's load coordinator when a long prompt is sent or has been
    /// prefilled.
    pub(crate) fn report_load(&self, command: &SendCommand) {
        if self.reports_load
            && let Some(peers) = self.relay.peers()
        {
            peers.report_load(&command.upstream);
        }
    }

    /// Returns `true` if the caller has closed its connection, as it may have while the VM was
    /// suspended.
    fn has_caller_left(&self, caller: &CallerConnection) -> bool {
        let interest = Interest { caller: Some(&caller.connection), ..Interest::default() };
        check(interest).is_ok_and(|it| it.caller_disconnected)
    }

    /// Returns `true` if the upstream still takes requests and the permit for this one holds.
    /// Establishing a connection takes time in which the upstream may have announced its departure,
    /// and the VM may have been suspended.
    fn may_send(&self, command: &SendCommand) -> bool {
        let upstream = &command.upstream;
        command.send_by.is_none_or(|it| Instant::now() < it)
            && self.relay.dispatcher.may_send(&upstream.id, upstream.incarnation)
    }

    /// Connects to the upstream. Returns `None` if it cannot be reached.
    fn connect(
        &self,
        command: &SendCommand,
        caller: &CallerConnection,
    ) -> Result<Option<Connection>, AttemptError> {
        metrics::counter!("cranberryvalve_upstream_connections_total").increment(1);
        let connection = self.connect_to(command.upstream.address, caller)?;
        match &connection {
            Some(_) => self.relay.forwarding.record_connected(),
            None => self.relay.forwarding.record_unreachable(&command.upstream),
        }
        Ok(connection)
    }

    /// Connects to an address. Returns `None` if it cannot be reached.
    fn connect_to(
        &self,
        address: SocketAddr,
        caller: &CallerConnection,
    ) -> Result<Option<Connection>, AttemptError> {
        let Ok(mut connection) = Connection::connect(address) else { return Ok(None) };
        if connection.set_loss_detection(self.loss_detection()).is_err() {
            return Ok(None);
        }
        let connect_deadline = (Instant::now() + CONNECT_TIMEOUT).min(self.deadline);
        loop {
            let interest = Interest {
                caller: Some(&caller.connection),
                upstream: Some(&connection),
                upstream_output: true,
                broadcast: Some(self.relay.lifecycle.calls_ended()),
                ..Interest::default()
            };
            let Ok(ready) = wait(interest, connect_deadline) else { return Ok(None) };
            if ready.caller_disconnected {
                return Err(AttemptError::CallerDisconnected);
            }
            if ready.broadcast {
                return Err(AttemptError::ShutDown { is_sent: false });
            }
            if ready.timed_out {
                return if connect_deadline == self.deadline {
                    Err(AttemptError::DeadlineExceeded { is_sent: false })
                } else {
                    Ok(None)
                };
            }
            if ready.upstream {
                return match connection.connect_error() {
                    Ok(None) => Ok(Some(connection)),
                    Ok(Some(_)) | Err(_) => Ok(None),
                };
            }
        }
    }

    /// Serializes the request for the upstream.
    fn encode_request(
        &self,
        command: &SendCommand,
        last_event_id: Option<EventId>,
    ) -> RequestWriter<'_> {
        let request = UpstreamRequest {
            upstream: &command.upstream,
            prefix_source: command.prefix_source.as_deref(),
            customer: self.customer,
            tier: self.tier,
            remaining_time: self.deadline.saturating_duration_since(Instant::now()),
            last_event_id,
        };
        let mut head = format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target);
        for (name, value) in end_to_end_headers(self.head.headers(), self.head.header("connection"))
        {
            if self.relay.dialect.forwards_header(name) {
                push_header(&mut head, name, value);
            }
        }
        for (name, value) in self.relay.dialect.outgoing_headers(&request) {
            push_header(&mut head, name, &value);
        }
        self.append_body(head)
    }

    /// Ends the head and appends the request's body.
    fn append_body(&self, mut head: String) -> RequestWriter<'_> {
        if self.body.len() > 0 || self.head.header("content-length").is_some() {
            push_header(&mut head, "content-length", &self.body.len().to_string());
        }
        head.push_str("\r\n");
        RequestWriter::new(head.into_bytes(), self.body.segments())
    }
}

impl From<WriteError> for AttemptError {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::Disconnected => Self::CallerDisconnected,
            WriteError::Unread => Self::Unread,
        }
    }
}

/// Filters out hop-by-hop headers, including those named by the `Connection` header.
pub(crate) fn end_to_end_headers<'a>(
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    connection: Option<&'a str>,
) -> impl Iterator<Item = (&'a str, &'a str)> {
    let connection_options: Vec<String> = connection
        .unwrap_or_default()
        .split(',')
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    headers.filter(move |(name, _)| {
        !HOP_BY_HOP_HEADERS.contains(name) && !connection_options.iter().any(|it| it == name)
    })
}

pub(crate) fn push_header(head: &mut String, name: &str, value: &str) {
    // Writing to a `String` cannot fail.
    let _ = write!(head, "{name}: {value}\r\n");
}
