//! Sends a call to another VM, which forwards it to an upstream.

use std::time::Instant;

use cranberryvalve_adapters::caller::RequestHead;
use cranberryvalve_coordination::reachability::Forwarder;

use super::Attempt;
use super::AttemptOutcome;
use super::AttemptTrace;
use super::Delivery;
use super::Exchange;
use super::Remote;
use super::RequestWriter;
use super::end_to_end_headers;
use super::push_header;
use crate::attribution::Position;
use crate::attribution::Verdict;
use crate::attribution::classify_forwarded;
use crate::caller::CallerConnection;
use crate::dialect::ForwardedCall;
use crate::refusal::NOT_RUN_HEADER;
use crate::response::ResponseHead;

/// Value of [`NOT_RUN_HEADER`] in a forwarded request that no upstream has got, through whichever VM.
/// VMs of earlier builds do not send the header: they ask a second VM after upstreams refused the call.
const UNSENT: &str = "0";

/// A VM that forwards a call. It tells the scheduler and the other VMs what there is to tell.
struct ForwardingVm<'a> {
    exchange: &'a Exchange<'a>,
    forwarder: &'a Forwarder,
}

impl Remote for ForwardingVm<'_> {
    fn name(&self) -> &str {
        &self.forwarder.vm
    }

    fn on_input(&self) {}

    fn on_response_head(&self, head: &ResponseHead, position: Position) -> Verdict {
        let facts = self.exchange.relay.dialect.response_facts(head);
        let is_attested = head.refused_attempts().is_some();
        classify_forwarded(head.status, facts, self.exchange.caller_id, position, is_attested)
    }

    fn on_first_events(&self) {}

    fn on_stream_end(&self, _: &mut Delivery) {}
}

impl Exchange<'_> {
    /// Sends the call to `forwarder`, after `upstream_attempts` that reached upstreams, and relays a
    /// streamed response as it arrives.
    pub(crate) fn run_forwarded(
        &self,
        forwarder: &Forwarder,
        upstream_attempts: u32,
        caller: &mut CallerConnection,
        delivery: &mut Delivery,
        trace: &mut AttemptTrace,
    ) -> AttemptOutcome {
        let connection = match self.connect_to(forwarder.address, caller) {
            Ok(Some(connection)) => connection,
            Ok(None) => return AttemptOutcome::NotSent,
            Err(error) => return error.into(),
        };
        let request = self.encode_forwarded(delivery, upstream_attempts);
        let remote = ForwardingVm { exchange: self, forwarder };
        let attempt = Attempt {
            exchange: self,
            remote: &remote,
            caller,
            delivery,
            connection,
            request,
            trace,
        };
        attempt.run().0
    }

    /// Serializes the request as the caller sent it, but for what has changed since.
    fn encode_forwarded(&self, delivery: &Delivery, upstream_attempts: u32) -> RequestWriter<'_> {
        let call = ForwardedCall {
            remaining_time: self.deadline.saturating_duration_since(Instant::now()),
            last_event_id: delivery.last_event_id(),
            stream_id: self.stream_id.filter(|_| delivery.last_event_id().is_some()),
            upstream_attempts,
        };
        let replaced = self.relay.dialect.forwarded_headers(&call);
        let mut head = format!("{} {} HTTP/1.1\r\n", self.head.method, self.head.target);
        for (name, value) in end_to_end_headers(self.head.headers(), self.head.header("connection"))
        {
            if name != NOT_RUN_HEADER && !replaced.iter().any(|(it, _)| *it == name) {
                push_header(&mut head, name, value);
            }
        }
        for (name, value) in &replaced {
            push_header(&mut head, name, value);
        }
        if upstream_attempts == 0 {
            push_header(&mut head, NOT_RUN_HEADER, UNSENT);
        }
        push_header(&mut head, "connection", "close");
        self.append_body(head)
    }
}

/// Returns `true` if the VM that forwards a request states that no upstream has got it.
pub(crate) fn is_unsent(head: &RequestHead) -> bool {
    head.header(NOT_RUN_HEADER) == Some(UNSENT)
}
