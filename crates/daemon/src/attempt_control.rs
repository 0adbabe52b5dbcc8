//! Ends the running attempt of a request from other threads.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cranberryvalve_adapters::upstream::CancelHandle;

/// The running attempt of a request, if there is one, and whether it is to end.
#[derive(Debug, Default)]
pub(crate) struct AttemptControl(Mutex<AttemptState>);

#[derive(Debug, Default)]
pub(crate) struct AttemptState {
    cancel: CancelHandle,
    /// Whether the attempt goes on if the caller disconnects.
    is_kept: bool,
    pub(crate) is_disconnected: bool,
    pub(crate) is_ended: bool,
}

impl AttemptControl {
    /// Starts an attempt and returns its handle, which is cancelled if the attempt is to end already.
    pub(crate) fn start(&self, is_kept: bool) -> CancelHandle {
        let mut state = self.lock();
        state.cancel = CancelHandle::new();
        state.is_kept = is_kept;
        state.cancel_if_ended();
        state.cancel.clone()
    }

    /// Cancels the attempt unless it is kept for a caller that disconnects.
    pub(crate) fn on_disconnected(&self) {
        let mut state = self.lock();
        state.is_disconnected = true;
        state.cancel_if_ended();
    }

    /// Cancels the attempt and all later ones.
    pub(crate) fn end(&self) {
        let mut state = self.lock();
        state.is_ended = true;
        state.cancel_if_ended();
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, AttemptState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AttemptState {
    fn cancel_if_ended(&self) {
        if self.is_ended || (self.is_disconnected && !self.is_kept) {
            self.cancel.cancel();
        }
    }
}
