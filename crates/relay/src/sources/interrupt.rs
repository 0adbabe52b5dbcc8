//! Ends long polls early.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::socket::Waker;

/// Ends the long poll of one thread before its time.
#[derive(Debug)]
pub struct PollInterrupt(Waker);

impl PollInterrupt {
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self(Waker::new()?))
    }

    /// Ends the poll that waits, or else the next one, unless that is preceded by a reset.
    pub(crate) fn interrupt(&self) {
        self.0.wake();
    }

    pub(super) fn reset(&self) {
        self.0.reset();
    }

    pub(crate) const fn waker(&self) -> &Waker {
        &self.0
    }
}

/// The interrupts of all threads that poll a source.
#[derive(Debug, Default)]
pub(crate) struct PollInterrupts(Mutex<Vec<Arc<PollInterrupt>>>);

impl PollInterrupts {
    /// Returns the interrupt of a further thread.
    pub(super) fn register(&self) -> io::Result<Arc<PollInterrupt>> {
        let interrupt = Arc::new(PollInterrupt::new()?);
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(interrupt.clone());
        Ok(interrupt)
    }

    /// Ends the polls of all threads.
    pub(crate) fn interrupt_all(&self) {
        let interrupts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        interrupts.iter().for_each(|it| it.interrupt());
    }
}
