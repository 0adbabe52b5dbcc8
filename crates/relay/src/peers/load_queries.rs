//! Queries to load coordinators that await replies.

use std::collections::HashMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::QuestionId;
use cranberryvalve_core::UpstreamLoad;

/// Pending load queries and the replies received so far.
#[derive(Debug, Default)]
pub(super) struct LoadQueries {
    state: Mutex<State>,
    completed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    last_id: QuestionId,
    pending: HashMap<QuestionId, PendingQuery>,
}

#[derive(Debug)]
struct PendingQuery {
    replies_pending: usize,
    loads: Vec<UpstreamLoad>,
}

impl LoadQueries {
    /// Starts a query that expects one reply from each of `coordinators` VMs.
    pub(super) fn open(&self, coordinators: usize) -> QuestionId {
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.pending.insert(id, PendingQuery { replies_pending: coordinators, loads: Vec::new() });
        id
    }

    /// Records a reply. Replies to queries that are no longer pending are ignored.
    pub(super) fn record_reply(&self, id: QuestionId, loads: Vec<UpstreamLoad>) {
        let mut state = self.lock();
        let Some(pending) = state.pending.get_mut(&id) else { return };
        pending.loads.extend(loads);
        pending.replies_pending = pending.replies_pending.saturating_sub(1);
        if pending.replies_pending == 0 {
            self.completed.notify_all();
        }
    }

    /// Waits until all replies have arrived or `timeout` has passed, and closes the query.
    pub(super) fn wait(&self, id: QuestionId, timeout: Duration) -> Vec<UpstreamLoad> {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let is_complete = state.pending.get(&id).is_none_or(|it| it.replies_pending == 0);
            if is_complete || remaining.is_zero() {
                return state.pending.remove(&id).map(|it| it.loads).unwrap_or_default();
            }
            let wait_result = self.completed.wait_timeout(state, remaining);
            state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
