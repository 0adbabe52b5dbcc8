//! What is peculiar to a platform in the calls that are relayed.

use std::time::Duration;

use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::ToldLoad;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use crate::response::AnswerHead;

/// What a caller says of a call in its head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallFacts {
    /// Identifier that the caller chose and that the upstream's answer repeats.
    pub id: Option<Box<str>>,
    /// API key.
    pub api_key: Option<Box<str>>,
    /// Time for which the caller will wait.
    pub time_limit: Option<Duration>,
    /// Prompt, for calls to model engines.
    pub prompt: Option<Prompt>,
    /// Last event of a stream that the caller has already.
    pub last_event: Option<u64>,
}

/// A call as it goes out to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingCall<'a> {
    /// Upstream that it is meant for.
    pub upstream: &'a UpstreamRecord,
    /// Engine from whose cache the upstream may fetch the beginning of the prompt.
    pub prefix_source: Option<&'a UpstreamRecord>,
    /// Customer that asks.
    pub customer: Option<&'a str>,
    /// Tier.
    pub tier: u8,
    /// Time until the answer is of no use.
    pub time_left: Duration,
    /// Event after which a stream is to go on.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer to the call.
    Answer,
    /// It was not run.
    NotRun {
        /// Whether the address belongs to another upstream now.
        misdirected: bool,
    },
    /// The answer to some other call.
    Stray,
    /// Not an answer that may be passed on.
    Invalid,
}

/// An answer of the relay's own that tells the caller that its call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Status code.
    pub status: u16,
    /// When the caller may try again.
    pub retry_after: Option<Duration>,
    /// What happened, for people.
    pub message: Box<str>,
}

/// Names and rules of a platform for calls between callers, the relay and upstreams.
///
/// All names of headers are in lower case.
pub trait Dialect: Send + Sync + 'static {
    /// Reads what a caller says of its call.
    ///
    /// # Errors
    ///
    /// Fails with an answer for the caller when a header is malformed.
    fn read_call(&self, head: &RequestHead) -> Result<CallFacts, Refusal>;

    /// Whether a caller's header goes on to the upstream; those of one connection never do.
    fn passes_on(&self, header: &str) -> bool;

    /// Headers that the relay adds for the upstream.
    fn outgoing_headers(&self, call: &OutgoingCall<'_>) -> Vec<(&'static str, String)>;

    /// Judges the head of an upstream's answer to the call that the caller named `id`.
    fn judge(&self, head: &AnswerHead, id: Option<&str>) -> Verdict;

    /// Load that an upstream tells in the head of an answer.
    fn told_load(&self, head: &AnswerHead) -> Option<ToldLoad>;
}
