//! A simulated VM and its placement decisions.

use std::time::Instant;

use cranberryvalve_core::Attempt;
use cranberryvalve_core::RequestId;
use cranberryvalve_policy::scheduler::AttemptEnd;
use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::Scheduler;
use cranberryvalve_policy::scheduler::SchedulerAction;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use crate::baseline::BaselinePlacement;

/// An action for the simulation to carry out for a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VmAction {
    Send(SendCommand),
    Conclude { id: RequestId },
}

/// An attempt of a request to send to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SendCommand {
    pub(crate) id: RequestId,
    pub(crate) attempt: Attempt,
    pub(crate) engine: usize,
    /// Engine from whose cache the prompt's shared prefix can be fetched.
    pub(crate) prefix_source: Option<usize>,
}

/// A VM, by its placement policy.
#[derive(Debug)]
pub(crate) enum Vm {
    Scheduler(Box<Scheduler>),
    Baseline(BaselinePlacement),
}

impl Vm {
    pub(crate) fn on_arrival(&mut self, now: Instant, call: Call) -> Vec<VmAction> {
        let id = call.id;
        match self {
            Self::Scheduler(it) => convert(it.handle(now, SchedulerEvent::Arrived(Box::new(call)))),
            Self::Baseline(it) => {
                let engine = it.place(id);
                vec![VmAction::Send(SendCommand { id, attempt: 1, engine, prefix_source: None })]
            }
        }
    }

    pub(crate) fn on_first_event(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
    ) -> Vec<VmAction> {
        self.handle(now, SchedulerEvent::ResponseStarted { id, attempt })
    }

    pub(crate) fn on_attempt_end(
        &mut self,
        now: Instant,
        id: RequestId,
        attempt: Attempt,
        end: AttemptEnd,
    ) -> Vec<VmAction> {
        if let Self::Baseline(it) = self {
            it.remove(id);
            let is_over = matches!(end, AttemptEnd::Complete | AttemptEnd::Abandoned);
            return if is_over { Vec::new() } else { vec![VmAction::Conclude { id }] };
        }
        self.handle(now, SchedulerEvent::AttemptEnded { id, attempt, end })
    }

    pub(crate) fn on_disconnect(&mut self, now: Instant, id: RequestId) -> Vec<VmAction> {
        if let Self::Baseline(it) = self {
            it.remove(id);
        }
        self.handle(now, SchedulerEvent::CallCancelled { id })
    }

    pub(crate) fn handle(&mut self, now: Instant, event: SchedulerEvent) -> Vec<VmAction> {
        match self {
            Self::Scheduler(it) => convert(it.handle(now, event)),
            Self::Baseline(_) => Vec::new(),
        }
    }

    pub(crate) const fn scheduler(&self) -> Option<&Scheduler> {
        match self {
            Self::Scheduler(it) => Some(it),
            Self::Baseline(_) => None,
        }
    }
}

/// Converts the actions of a scheduler, leaving out its reports on upstreams.
fn convert(actions: Vec<SchedulerAction>) -> Vec<VmAction> {
    let vm_actions = actions.into_iter().filter_map(|action| match action {
        SchedulerAction::Send(it) => Some(VmAction::Send(SendCommand {
            id: it.id,
            attempt: it.attempt,
            engine: engine_index(&it.upstream),
            prefix_source: it.prefix_source.as_deref().map(engine_index),
        })),
        SchedulerAction::Conclude(it) => Some(VmAction::Conclude { id: it.id }),
        SchedulerAction::HealthChanged(_)
        | SchedulerAction::UpstreamLeaving { .. }
        | SchedulerAction::PauseStarted { .. }
        | SchedulerAction::PauseEnded { .. }
        | SchedulerAction::RateLimitChanged { .. }
        | SchedulerAction::PredictionObserved(_) => None,
    });
    vm_actions.collect()
}

/// Returns the index of an engine, which is the port of its address.
pub(crate) const fn engine_index(record: &UpstreamRecord) -> usize {
    record.address.port() as usize
}
