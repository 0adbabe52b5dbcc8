//! Platform-specific conventions for relayed calls.

use std::time::Duration;

use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_policy::scheduler::Prompt;
use cranberryvalve_policy::scheduler::ReportedLoad;
use cranberryvalve_policy::scheduler::UpstreamNotice;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use crate::refusal::Refusal;
use crate::response::ResponseHead;

/// Properties of a call that the caller states in the request head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// Request identifier chosen by the caller, which the upstream's response repeats. `None` if
    /// the caller sent none.
    pub request_id: Option<Box<str>>,
    /// API key of the customer, or `None` for an anonymous call.
    pub api_key: Option<Box<str>>,
    /// Time for which the caller waits for the response, or `None` if it states no limit.
    pub timeout: Option<Duration>,
    /// Prompt of a call to a model engine, or `None` for other calls.
    pub prompt: Option<Prompt>,
    /// Id of the last event the caller received, for resuming a stream. `None` for a new stream.
    pub last_event_id: Option<u64>,
    /// Identifier of the request that brought the first event of the stream that this call resumes.
    /// `None` if the caller names none.
    pub resumed_request_id: Option<Box<str>>,
    /// Number of attempts that reached upstreams, as the VM states that forwards the call; 0 if none
    /// does.
    pub upstream_attempts: u32,
}

/// A call as it is sent to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRequest<'a> {
    /// Upstream that receives the call.
    pub upstream: &'a UpstreamRecord,
    /// Upstream whose cache holds a prefix of the prompt that the receiver may fetch, or `None` if
    /// there is none.
    pub prefix_source: Option<&'a UpstreamRecord>,
    /// Customer that made the call, or `None` if it is anonymous.
    pub customer: Option<&'a str>,
    /// Priority tier of the call.
    pub tier: u8,
    /// Time until the call's deadline.
    pub remaining_time: Duration,
    /// Id of the event after which a stream resumes, or `None` to start at the beginning.
    pub last_event_id: Option<u64>,
}

/// What has changed of a call since its caller sent it, when it is sent to another VM.
#[derive(Debug, Clone, Copy)]
pub struct ForwardedCall<'a> {
    /// Time until the call's deadline.
    pub remaining_time: Duration,
    /// Id of the last event that the caller has, or `None` if it has none.
    pub last_event_id: Option<u64>,
    /// Identifier of the request that began the stream, if the caller has a part of it.
    pub stream_id: Option<&'a str>,
    /// Number of attempts that reached upstreams.
    pub upstream_attempts: u32,
}

/// What the head of a response says about the request that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseFacts<'a> {
    /// Identifier of the request, or `None` if the response names none.
    pub request_id: Option<&'a str>,
    /// Whether it names more than one request, so that it can be about neither.
    pub names_several: bool,
    /// Statement that the request was not run, or `None` if there is none.
    pub rejection: Option<Rejection>,
    /// Whether it has the upstream's signature, without which a success is not valid.
    pub is_signed: bool,
}

/// Statement of an upstream that it did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The request was not run.
    NotRun,
    /// The request was meant for another upstream, whose address this one has taken over.
    Misdirected,
}

/// Conventions of a platform for calls between callers, the relay and upstreams.
///
/// All header names are in lower case.
pub trait Dialect: Send + Sync + 'static {
    /// Extracts the properties of a call from its request head.
    ///
    /// # Errors
    ///
    /// Returns the response for the caller if a header is malformed.
    fn parse_call(&self, head: &RequestHead) -> Result<CallMetadata, Refusal>;

    /// Returns `true` if a caller's header is forwarded to the upstream. Hop-by-hop headers are
    /// removed beforehand.
    fn forwards_header(&self, header: &str) -> bool;

    /// Returns the headers that the relay adds to the upstream request.
    fn outgoing_headers(&self, request: &UpstreamRequest<'_>) -> Vec<(&'static str, String)>;

    /// Returns the headers that replace those of the caller when the call is sent to another VM, which
    /// parses them with [`Dialect::parse_call`].
    fn forwarded_headers(&self, call: &ForwardedCall<'_>) -> Vec<(&'static str, String)>;

    /// Returns what the head of a response says about the request that it answers.
    fn response_facts<'a>(&self, head: &'a ResponseHead) -> ResponseFacts<'a>;

    /// Returns the load that an upstream reports in its response head, or `None` if it reports
    /// none.
    fn reported_load(&self, head: &ResponseHead) -> Option<ReportedLoad>;

    /// Returns what an upstream announces about its availability in its response head. Empty if
    /// the response comes from another upstream than the one it was sent to.
    fn notices(&self, head: &ResponseHead) -> Vec<UpstreamNotice>;
}
