//! Ends long polls early.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::socket::Waker;

/// Ends the long poll of one thread before its time.
#[derive(Debug)]
pub struct PollInterrupt {
    waker: Waker,
    /// The poll that waits at the moment.
    poll: Mutex<Option<Poll>>,
}

#[derive(Debug, Clone, Copy)]
struct Poll {
    began_at: Instant,
    wait: Duration,
}

impl PollInterrupt {
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self { waker: Waker::new()?, poll: Mutex::default() })
    }

    /// Ends the poll that waits, or else the next one, unless that begins after this.
    pub(crate) fn interrupt(&self) {
        self.waker.wake();
    }

    /// Begins a poll that waits for at most `wait`. It ends when the result is dropped.
    pub(super) fn begin(&self, wait: Duration) -> RunningPoll<'_> {
        self.waker.reset();
        *self.lock() = Some(Poll { began_at: Instant::now(), wait });
        RunningPoll(self)
    }

    pub(crate) const fn waker(&self) -> &Waker {
        &self.waker
    }

    fn interrupt_if(&self, is_affected: impl Fn(&Poll) -> bool) {
        // Held until the poll is interrupted, so that it is not the next one.
        let poll = self.lock();
        if poll.as_ref().is_some_and(is_affected) {
            self.interrupt();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Poll>> {
        self.poll.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A poll that runs until this is dropped.
pub(super) struct RunningPoll<'a>(&'a PollInterrupt);

impl Drop for RunningPoll<'_> {
    fn drop(&mut self) {
        *self.0.lock() = None;
    }
}

/// The interrupts of all threads that poll a source.
#[derive(Debug, Default)]
pub(crate) struct PollInterrupts(Mutex<Vec<Arc<PollInterrupt>>>);

impl PollInterrupts {
    /// Returns the interrupt of a further thread.
    pub(super) fn register(&self) -> io::Result<Arc<PollInterrupt>> {
        let interrupt = Arc::new(PollInterrupt::new()?);
        self.lock().push(interrupt.clone());
        Ok(interrupt)
    }

    /// Ends the polls of all threads.
    pub(crate) fn interrupt_all(&self) {
        self.lock().iter().for_each(|it| it.interrupt());
    }

    /// Ends the polls that began before `at`. An outage may have left their connections open and
    /// silent.
    pub(crate) fn interrupt_begun_before(&self, at: Instant) {
        self.lock().iter().for_each(|it| it.interrupt_if(|poll| poll.began_at < at));
    }

    /// Ends the polls that wait for longer than `wait` in all.
    pub(crate) fn interrupt_longer_than(&self, wait: Duration) {
        self.lock().iter().for_each(|it| it.interrupt_if(|poll| poll.wait > wait));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<PollInterrupt>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
