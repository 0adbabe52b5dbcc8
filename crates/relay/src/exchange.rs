//! One attempt: a call goes to an upstream and its answer comes back.

mod attempt;

use std::fmt::Write as _;
use std::io;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_policy::scheduler::SendCommand;
use cranberryvalve_policy::scheduler::SendEnd;

use crate::answer::AnswerHead;
use crate::caller::Caller;
use crate::dialect::OutgoingCall;
use crate::dispatch::Ticket;
use crate::events::EventId;
use crate::socket::Connection;
use crate::socket::Waits;
use crate::socket::wait;
use crate::state::Relay;

use self::attempt::Attempt;
use self::attempt::Upload;

/// Longest time for a connection to an upstream to be made: several round trips between failure
/// domains, with one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Times between events that a stream must have to tell its engine's pace.
const MIN_GAPS: usize = 8;

/// Headers that concern one connection only (RFC 9110, section 7.6.1) or that frame the body.
const CONNECTION_HEADERS: [&str; 11] = [
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

/// A call with what is needed to send it.
pub(crate) struct Exchange<'a> {
    pub(crate) relay: &'a Relay,
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a [u8],
    /// Identifier that the caller chose.
    pub(crate) caller_id: Option<&'a str>,
    pub(crate) customer: Option<&'a str>,
    pub(crate) tier: u8,
    pub(crate) is_stream: bool,
    pub(crate) deadline: Instant,
    /// Whether the other VMs should know of it.
    pub(crate) is_long: bool,
}

/// What the caller has received so far.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Whether the head of the answer was sent.
    pub(crate) is_started: bool,
    /// Last event that the caller has.
    pub(crate) last_event: Option<EventId>,
    /// When the first part of the answer was there.
    pub(crate) first_part_at: Option<Instant>,
    /// When the last event was passed on.
    pub(crate) last_part_at: Option<Instant>,
    /// Longest time between two events.
    pub(crate) longest_gap: Duration,
    /// Times between events.
    pub(crate) gaps: Vec<Duration>,
    /// Events passed on.
    pub(crate) events: u32,
}

impl Delivery {
    /// Notes events that were passed on together.
    fn passed_on(&mut self, events: u32, now: Instant) {
        self.first_part_at.get_or_insert(now);
        self.events += events;
        if let Some(last_at) = self.last_part_at.replace(now) {
            let gap = now.saturating_duration_since(last_at);
            self.longest_gap = self.longest_gap.max(gap);
            self.gaps.push(gap);
        }
    }

    /// Median time between two events; none for a stream of a few.
    fn median_gap(&mut self) -> Option<Duration> {
        let middle = self.gaps.len() / 2;
        let is_long_enough = self.gaps.len() >= MIN_GAPS;
        is_long_enough.then(|| *self.gaps.select_nth_unstable(middle).1)
    }
}

/// A whole answer of an upstream.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: Vec<u8>,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The connection was not made, and nothing was sent.
    NotSent,
    /// The upstream attested that it did not run the call.
    NotRun { misdirected: bool },
    /// A whole answer, which the caller does not have yet.
    Whole(WholeAnswer),
    /// The caller has the whole stream.
    Delivered,
    /// The call was sent, and no whole answer came back.
    Broken,
    /// The caller is gone.
    CallerGone,
    /// The time for the call is over.
    TimeOver,
}

impl AttemptOutcome {
    /// What the scheduler is told of it.
    pub(crate) const fn end(&self) -> SendEnd {
        match self {
            Self::NotSent => SendEnd::NotSent,
            Self::NotRun { misdirected } => SendEnd::Refused { misdirected: *misdirected },
            Self::Whole(answer) if answer.head.status >= 500 => SendEnd::Failed,
            Self::Whole(_) | Self::Delivered => SendEnd::Complete,
            Self::Broken => SendEnd::Broken,
            Self::CallerGone | Self::TimeOver => SendEnd::Abandoned,
        }
    }

    /// Name of a failure in logs; none for an attempt that did not fail.
    pub(crate) const fn failure(&self) -> Option<&'static str> {
        match (self, self.end()) {
            (Self::TimeOver, _) => Some("time_over"),
            (_, SendEnd::Complete | SendEnd::Abandoned) => None,
            (_, end) => Some(end.name()),
        }
    }
}

/// Why an attempt goes no further.
#[derive(Debug)]
enum Halt {
    Broken,
    CallerGone,
    TimeOver,
}

impl From<Halt> for AttemptOutcome {
    fn from(halt: Halt) -> Self {
        match halt {
            Halt::Broken => Self::Broken,
            Halt::CallerGone => Self::CallerGone,
            Halt::TimeOver => Self::TimeOver,
        }
    }
}

impl Exchange<'_> {
    /// Sends the call to the upstream of `command` and passes a stream on as it comes.
    pub(crate) fn attempt(
        &self,
        command: &SendCommand,
        ticket: &Ticket,
        caller: &mut Caller,
        delivery: &mut Delivery,
    ) -> AttemptOutcome {
        let upstream = &command.upstream;
        let kept = self.relay.kept.take(&upstream.id, upstream.incarnation);
        let is_kept = kept.is_some();
        let connection = match kept {
            Some(connection) => Ok(Some(connection)),
            None => self.connect(command, caller),
        };
        let connection = match connection {
            Ok(Some(connection)) => connection,
            Ok(None) => return AttemptOutcome::NotSent,
            Err(halt) => return halt.into(),
        };
        let upload = Upload::new(self.outgoing(command, delivery.last_event));
        let mut attempt =
            Attempt { exchange: self, command, ticket, caller, delivery, connection, upload };
        if is_kept && !attempt.starts_upload() {
            // The upstream has closed it meanwhile, and not a byte was taken.
            match self.connect(command, attempt.caller) {
                Ok(Some(connection)) => attempt.connection = connection,
                Ok(None) => return AttemptOutcome::NotSent,
                Err(halt) => return halt.into(),
            }
        }
        attempt.run()
    }

    /// Tells the upstream's home of a long prompt that is sent, or has been read.
    pub(crate) fn report(&self, command: &SendCommand) {
        if self.is_long
            && let Some(peers) = self.relay.peers()
        {
            peers.report(&command.upstream);
        }
    }

    /// Makes a connection; none when the upstream cannot be reached.
    fn connect(&self, command: &SendCommand, caller: &Caller) -> Result<Option<Connection>, Halt> {
        metrics::counter!("cranberryvalve_upstream_connections_total").increment(1);
        let Ok(connection) = Connection::start(command.upstream.address) else { return Ok(None) };
        let until = (Instant::now() + CONNECT_TIMEOUT).min(self.deadline);
        loop {
            let waits = Waits {
                caller: Some(&caller.connection),
                upstream: Some(&connection),
                upstream_output: true,
                ..Waits::default()
            };
            let Ok(ready) = wait(waits, until) else { return Ok(None) };
            if ready.caller_gone {
                return Err(Halt::CallerGone);
            }
            if ready.timed_out {
                return if until == self.deadline { Err(Halt::TimeOver) } else { Ok(None) };
            }
            if ready.upstream {
                return match connection.connect_error() {
                    Ok(None) => Ok(Some(connection)),
                    Ok(Some(_)) | Err(_) => Ok(None),
                };
            }
        }
    }

    /// The head and body of the call as they go out.
    fn outgoing(&self, command: &SendCommand, last_event: Option<EventId>) -> Vec<u8> {
        let call = OutgoingCall {
            upstream: &command.upstream,
            prefix_source: command.prefix_source.as_deref(),
            customer: self.customer,
            tier: self.tier,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            last_event,
        };
        let mut head = format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target);
        for (name, value) in forwarded(self.head.headers(), self.head.header("connection")) {
            if self.relay.dialect.passes_on(name) {
                push_header(&mut head, name, value);
            }
        }
        for (name, value) in self.relay.dialect.outgoing_headers(&call) {
            push_header(&mut head, name, &value);
        }
        if !self.body.is_empty() || self.head.header("content-length").is_some() {
            push_header(&mut head, "content-length", &self.body.len().to_string());
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

impl From<io::Error> for Halt {
    /// An error on the caller's connection.
    fn from(_: io::Error) -> Self {
        Self::CallerGone
    }
}

/// Headers without those that concern one connection only.
pub(crate) fn forwarded<'a>(
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    connection: Option<&'a str>,
) -> impl Iterator<Item = (&'a str, &'a str)> {
    let named: Vec<String> = connection
        .unwrap_or_default()
        .split(',')
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    headers.filter(move |(name, _)| {
        !CONNECTION_HEADERS.contains(name) && !named.iter().any(|it| it == name)
    })
}

pub(crate) fn push_header(head: &mut String, name: &str, value: &str) {
    // Writing to a string cannot fail.
    let _ = write!(head, "{name}: {value}\r\n");
}
