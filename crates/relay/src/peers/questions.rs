//! Questions to homes that have not been answered yet.

use std::collections::HashMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::QuestionId;
use cranberryvalve_core::UpstreamLoad;

/// Open questions with the answers so far.
#[derive(Debug, Default)]
pub(super) struct Questions {
    state: Mutex<State>,
    answered: Condvar,
}

#[derive(Debug, Default)]
struct State {
    last: QuestionId,
    open: HashMap<QuestionId, Open>,
}

#[derive(Debug)]
struct Open {
    missing: usize,
    loads: Vec<UpstreamLoad>,
}

impl Questions {
    /// Opens a question to a number of homes.
    pub(super) fn open(&self, homes: usize) -> QuestionId {
        let mut state = self.lock();
        state.last += 1;
        let id = state.last;
        state.open.insert(id, Open { missing: homes, loads: Vec::new() });
        id
    }

    /// Takes an answer; one that comes too late is dropped.
    pub(super) fn answer(&self, id: QuestionId, loads: Vec<UpstreamLoad>) {
        let mut state = self.lock();
        let Some(open) = state.open.get_mut(&id) else { return };
        open.loads.extend(loads);
        open.missing = open.missing.saturating_sub(1);
        if open.missing == 0 {
            self.answered.notify_all();
        }
    }

    /// Waits until all homes have answered or the time is over, and closes the question.
    pub(super) fn wait(&self, id: QuestionId, timeout: Duration) -> Vec<UpstreamLoad> {
        let until = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let is_answered = state.open.get(&id).is_none_or(|it| it.missing == 0);
            if is_answered || left.is_zero() {
                return state.open.remove(&id).map(|it| it.loads).unwrap_or_default();
            }
            let waited = self.answered.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
