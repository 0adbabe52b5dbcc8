//! One VM and its decisions.

use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::RequestId;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SendEnd;

use crate::plain::PlainPlacement;

/// What a VM wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wish {
    Send { id: RequestId, attempt: Attempt, engine: usize },
    GiveUp { id: RequestId },
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
            Self::Plain(it) => vec![Wish::Send { id, attempt: 1, engine: it.place(id) }],
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
        SchedulerAction::Send(it) => Some(Wish::Send {
            id: it.id,
            attempt: it.attempt,
            engine: usize::from(it.upstream.address.port()),
        }),
        SchedulerAction::Conclude(it) => Some(Wish::GiveUp { id: it.id }),
        SchedulerAction::Judged(_) => None,
    });
    wishes.collect()
}
