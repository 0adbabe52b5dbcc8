//! One VM and its decisions.

use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::RequestId;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SendEnd;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use crate::plain::PlainPlacement;

/// What a VM wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wish {
    Send(Send),
    GiveUp { id: RequestId },
}

/// A request on its way to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Send {
    pub(crate) id: RequestId,
    pub(crate) attempt: Attempt,
    pub(crate) engine: usize,
    /// Engine to fetch the beginning of the prompt from.
    pub(crate) prefix_source: Option<usize>,
}

/// How a VM decides.
#[derive(Debug)]
pub(crate) enum Vm {
    Scheduler(Box<Scheduler>),
    Plain(PlainPlacement),
}

impl Vm {
    pub(crate) fn arrived(&mut self, now: Instant, call: Call) -> Vec<Wish> {
        let id = call.id;
        match self {
            Self::Scheduler(it) => wishes(it.handle(now, SchedulerEvent::Arrived(Box::new(call)))),
            Self::Plain(it) => {
                let engine = it.place(id);
                vec![Wish::Send(Send { id, attempt: 1, engine, prefix_source: None })]
            }
        }
    }

    pub(crate) fn answering(&mut self, now: Instant, id: RequestId, attempt: Attempt) -> Vec<Wish> {
        self.handle(now, SchedulerEvent::Answering { id, attempt })
    }

    pub(crate) fn ended(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
        end: SendEnd,
    ) -> Vec<Wish> {
        if let Self::Plain(it) = self {
            it.ended(id);
            let is_over = matches!(end, SendEnd::Complete | SendEnd::Abandoned);
            return if is_over { Vec::new() } else { vec![Wish::GiveUp { id }] };
        }
        self.handle(now, SchedulerEvent::Ended { id, attempt, end })
    }

    pub(crate) fn left(&mut self, now: Instant, id: RequestId) -> Vec<Wish> {
        if let Self::Plain(it) = self {
            it.ended(id);
        }
        self.handle(now, SchedulerEvent::Left { id })
    }

    pub(crate) fn handle(&mut self, now: Instant, event: SchedulerEvent) -> Vec<Wish> {
        match self {
            Self::Scheduler(it) => wishes(it.handle(now, event)),
            Self::Plain(_) => Vec::new(),
        }
    }

    pub(crate) const fn scheduler(&self) -> Option<&Scheduler> {
        match self {
            Self::Scheduler(it) => Some(it),
            Self::Plain(_) => None,
        }
    }
}

fn wishes(actions: Vec<SchedulerAction>) -> Vec<Wish> {
    let wishes = actions.into_iter().filter_map(|action| match action {
        SchedulerAction::Send(it) => Some(Wish::Send(Send {
            id: it.id,
            attempt: it.attempt,
            engine: engine_number(&it.upstream),
            prefix_source: it.prefix_source.as_deref().map(engine_number),
        })),
        SchedulerAction::Conclude(it) => Some(Wish::GiveUp { id: it.id }),
        SchedulerAction::Judged(_) | SchedulerAction::Checked(_) => None,
    });
    wishes.collect()
}

/// The number of an engine, which is the port of its address.
pub(crate) const fn engine_number(record: &UpstreamRecord) -> usize {
    record.address.port() as usize
}
