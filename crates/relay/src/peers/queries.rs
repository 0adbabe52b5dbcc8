//! Queries to other VMs that await replies.

use std::collections::HashMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::QuestionId;

/// Pending queries and what the replies have brought so far.
#[derive(Debug)]
pub(super) struct PendingQueries<T> {
    state: Mutex<State<T>>,
    completed: Condvar,
}

#[derive(Debug)]
struct State<T> {
    last_id: QuestionId,
    pending: HashMap<QuestionId, PendingQuery<T>>,
}

#[derive(Debug)]
struct PendingQuery<T> {
    replies_pending: usize,
    items: Vec<T>,
}

impl<T> Default for PendingQueries<T> {
    fn default() -> Self {
        let state = Mutex::new(State { last_id: 0, pending: HashMap::new() });
        Self { state, completed: Condvar::new() }
    }
}

impl<T> PendingQueries<T> {
    /// Starts a query that expects one reply from each of `receivers` VMs.
    pub(super) fn open(&self, receivers: usize) -> QuestionId {
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.pending.insert(id, PendingQuery { replies_pending: receivers, items: Vec::new() });
        id
    }

    /// Records a reply. Replies to queries that are no longer pending are ignored.
    pub(super) fn record_reply(&self, id: QuestionId, items: impl IntoIterator<Item = T>) {
        let mut state = self.lock();
        let Some(pending) = state.pending.get_mut(&id) else { return };
        pending.items.extend(items);
        pending.replies_pending = pending.replies_pending.saturating_sub(1);
        self.completed.notify_all();
    }

    /// Waits until all replies have arrived, `timeout` has passed or the items are enough, and closes
    /// the query.
    pub(super) fn wait(
        &self,
        id: QuestionId,
        timeout: Duration,
        is_enough: fn(&[T]) -> bool,
    ) -> Vec<T> {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let pending = state.pending.get(&id);
            let is_complete =
                pending.is_none_or(|it| it.replies_pending == 0 || is_enough(&it.items));
            if is_complete || remaining.is_zero() {
                return state.pending.remove(&id).map(|it| it.items).unwrap_or_default();
            }
            let wait_result = self.completed.wait_timeout(state, remaining);
            state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
