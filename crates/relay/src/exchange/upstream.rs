//! What an attempt at an upstream tells the scheduler and the other VMs.

use std::cell::OnceCell;

use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SendCommand;
use cranberryvalve_policy::scheduler::UpstreamNotice;

use super::Delivery;
use super::Exchange;
use super::attempt::Remote;
use crate::attribution::Position;
use crate::attribution::Verdict;
use crate::attribution::classify;
use crate::dispatch::CallGuard;
use crate::response::ResponseHead;
use crate::streams::RunningStream;

/// The upstream of a scheduled attempt.
pub(super) struct ScheduledUpstream<'a> {
    exchange: &'a Exchange<'a>,
    command: &'a SendCommand,
    call_guard: &'a CallGuard,
    /// The stream, from its first events to the end of the attempt.
    running: OnceCell<RunningStream<'a>>,
}

impl<'a> ScheduledUpstream<'a> {
    pub(super) const fn new(
        exchange: &'a Exchange<'a>,
        command: &'a SendCommand,
        call_guard: &'a CallGuard,
    ) -> Self {
        Self { exchange, command, call_guard, running: OnceCell::new() }
    }
}

impl Remote for ScheduledUpstream<'_> {
    fn name(&self) -> &str {
        &self.command.upstream.id
    }

    fn on_input(&self) {
        self.exchange.relay.forwarding.record_served();
    }

    fn on_response_head(&self, head: &ResponseHead, position: Position) -> Verdict {
        let relay = self.exchange.relay;
        let facts = relay.dialect.response_facts(head);
        let verdict = classify(head.status, facts, self.exchange.caller_id, position);
        match verdict {
            Verdict::Match | Verdict::Unattested | Verdict::NotRun { misdirected: false } => {
                self.process_announcements(head, self.command.send_by.is_some());
            }
            Verdict::NotRun { misdirected: true }
            | Verdict::Invalid
            | Verdict::Stray
            | Verdict::Nameless => {}
        }
        // A stream begins to run with its first event.
        if verdict == Verdict::Match && !self.exchange.is_stream {
            relay.usage.record(self.exchange.customer);
        }
        verdict
    }

    fn on_first_events(&self) {
        self.call_guard.response_started(self.command.attempt);
        self.exchange.relay.usage.record(self.exchange.customer);
        if let Some(stream) = self.exchange.stream_id {
            let is_split = self.exchange.is_route_split;
            let upstream = &self.command.upstream;
            let version = || self.call_guard.required_version();
            let running = self.exchange.relay.record_stream(stream, upstream, is_split, version);
            self.running.get_or_init(|| running);
        }
        self.exchange.report_load(self.command);
    }

    fn on_stream_end(&self, delivery: &mut Delivery) {
        let upstream = self.command.upstream.id.clone();
        let event = if let Some(event_gap) = delivery.median_gap() {
            SchedulerEvent::StreamMeasured { upstream, event_gap }
        } else if let Some(event_gap) = delivery.short_gap() {
            SchedulerEvent::ShortStreamMeasured { upstream, event_gap }
        } else {
            return;
        };
        self.exchange.relay.dispatcher.handle(event);
    }
}

impl ScheduledUpstream<'_> {
    /// Processes what the upstream says of itself in a response to the call. `shows_limit_end` tells
    /// whether a rate limit that it does not name any more has ended.
    fn process_announcements(&self, head: &ResponseHead, shows_limit_end: bool) {
        let relay = self.exchange.relay;
        if let Some(load) = relay.dialect.reported_load(head) {
            let upstream = self.command.upstream.id.clone();
            relay.dispatcher.handle(SchedulerEvent::LoadReported { upstream, load });
        }
        for notice in relay.dialect.notices(head) {
            if notice != UpstreamNotice::NoRateLimit || shows_limit_end {
                relay.handle_notice(&self.command.upstream, notice);
            }
        }
    }
}
