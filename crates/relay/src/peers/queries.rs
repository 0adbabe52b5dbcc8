//! Queries to other VMs that await replies.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::QuestionId;
use cranberryvalve_core::VmId;

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
    /// VMs that have not replied yet.
    awaited: HashSet<VmId>,
    items: Vec<T>,
}

impl<T> Default for PendingQueries<T> {
    fn default() -> Self {
        let state = Mutex::new(State { last_id: 0, pending: HashMap::new() });
        Self { state, completed: Condvar::new() }
    }
}

impl<T> PendingQueries<T> {
    /// Starts a query that expects one reply from each of these VMs.
    pub(super) fn open(&self, receivers: HashSet<VmId>) -> QuestionId {
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.pending.insert(id, PendingQuery { awaited: receivers, items: Vec::new() });
        id
    }

    /// Records the reply of `vm`. It is ignored if the query is no longer pending or awaits no reply
    /// of this VM, as it was not asked or has replied before.
    pub(super) fn record_reply(
        &self,
        id: QuestionId,
        vm: &VmId,
        items: impl IntoIterator<Item = T>,
    ) {
        let mut state = self.lock();
        let Some(pending) = state.pending.get_mut(&id) else { return };
        if pending.awaited.remove(vm) {
            pending.items.extend(items);
            self.completed.notify_all();
        }
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
                pending.is_none_or(|it| it.awaited.is_empty() || is_enough(&it.items));
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

#[cfg(test)]
mod tests;
