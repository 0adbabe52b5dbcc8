//! Non-repeatable calls that were sent and have not ended.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cranberryvalve_coordination::ledger::RowUpdate;
use cranberryvalve_coordination::ledger::SentCall;

/// The calls, each with the update that writes its claim again if the store has lost it.
#[derive(Debug, Default)]
pub(crate) struct LiveCalls(Mutex<Entries>);

#[derive(Debug, Default)]
struct Entries {
    updates: BTreeMap<u64, RowUpdate>,
    next_number: u64,
}

/// Keeps a call registered until it is dropped.
pub(crate) struct LiveCallGuard<'a> {
    calls: &'a LiveCalls,
    number: u64,
}

impl LiveCalls {
    /// Registers a call until the guard is dropped.
    #[must_use]
    pub(crate) fn register(&self, call: &SentCall) -> LiveCallGuard<'_> {
        let mut entries = self.lock();
        let number = entries.next_number;
        entries.next_number += 1;
        entries.updates.insert(number, call.claim_again());
        LiveCallGuard { calls: self, number }
    }

    /// Returns the updates of all calls, in the order in which they were sent.
    pub(crate) fn updates(&self) -> Vec<RowUpdate> {
        self.lock().updates.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for LiveCallGuard<'_> {
    fn drop(&mut self) {
        self.calls.lock().updates.remove(&self.number);
    }
}
