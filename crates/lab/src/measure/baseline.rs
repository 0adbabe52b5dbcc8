//! The baseline router: round robin, engines serve in order of arrival, no retries.

use cranberryvalve_policy::Action;
use cranberryvalve_policy::AttemptEnd;
use cranberryvalve_policy::Conclusion;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::SendCommand;

use super::deployment::engine_id;

/// Sends each request at once to the next engine in turn.
#[derive(Debug)]
pub(super) struct BaselineRouter {
    engines: usize,
    next: usize,
}

impl BaselineRouter {
    pub(super) const fn new(engines: usize, first: usize) -> Self {
        Self { engines, next: first }
    }

    pub(super) fn handle(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived(request) => {
                let upstream = engine_id(self.next % self.engines).into();
                self.next += 1;
                let order = SendCommand { id: request.id, attempt: 1, upstream, priority: 0 };
                vec![Action::Send(order)]
            }
            Event::Ended { id, end: AttemptEnd::Complete { .. }, .. } => {
                let _ = id;
                Vec::new()
            }
            Event::Ended { id, .. } => {
                let outcome = cranberryvalve_core::Outcome::Unknown;
                vec![Action::Conclude(Conclusion { id, outcome })]
            }
            _ => Vec::new(),
        }
    }
}
