//! Assigns the slots of an engine by priority.

use std::collections::BTreeMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cranberryvalve_core::Tier;

/// Interval between two checks whether a waiting caller has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Assigns slots to the highest priority first, and in order of arrival within a priority.
pub(super) struct Scheduler {
    slots: usize,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    next_ticket: u64,
    running: BTreeMap<Tier, u32>,
    waiting: BTreeMap<(Tier, u64), ()>,
}

/// An occupied slot, released on drop.
pub(super) struct Slot<'a> {
    scheduler: &'a Scheduler,
    priority: Tier,
}

impl Scheduler {
    pub(super) fn new(slots: usize) -> Self {
        Self { slots, state: Mutex::default(), changed: Condvar::new() }
    }

    /// Waits for a slot. Returns `None` if the caller disconnects first.
    pub(super) fn acquire(
        &self,
        priority: Tier,
        is_disconnected: impl Fn() -> bool,
    ) -> Option<Slot<'_>> {
        let mut state = self.lock();
        let key = (priority, state.next_ticket);
        state.next_ticket += 1;
        state.waiting.insert(key, ());
        loop {
            let running: u32 = state.running.values().sum();
            let is_next = state.waiting.keys().next() == Some(&key);
            if is_next && (running as usize) < self.slots {
                state.waiting.remove(&key);
                *state.running.entry(priority).or_insert(0) += 1;
                self.changed.notify_all();
                return Some(Slot { scheduler: self, priority });
            }
            let wait_result = self.changed.wait_timeout(state, DISCONNECT_CHECK_INTERVAL);
            state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
            if is_disconnected() {
                state.waiting.remove(&key);
                self.changed.notify_all();
                return None;
            }
        }
    }

    /// Returns the number of running and waiting requests for each priority.
    pub(super) fn load(&self) -> BTreeMap<Tier, u32> {
        let state = self.lock();
        let mut load = state.running.clone();
        for (tier, _) in state.waiting.keys() {
            *load.entry(*tier).or_insert(0) += 1;
        }
        load
    }

    /// Returns the number of occupied slots.
    pub(super) fn running(&self) -> usize {
        self.lock().running.values().sum::<u32>() as usize
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = self.scheduler.lock();
        if let Some(count) = state.running.get_mut(&self.priority) {
            *count -= 1;
        }
        self.scheduler.changed.notify_all();
    }
}
