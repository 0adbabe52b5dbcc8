//! Counts the threads that keep a process running.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// Number of threads that accept or serve connections.
#[derive(Debug, Default)]
pub struct ThreadCount {
    threads: Mutex<usize>,
    ended: Condvar,
}

/// Counts a thread until it is dropped.
#[derive(Debug)]
pub struct ThreadGuard(Arc<ThreadCount>);

impl ThreadCount {
    /// Counts a thread. Call it before the thread is started.
    pub fn begin(self: &Arc<Self>) -> ThreadGuard {
        *self.lock() += 1;
        ThreadGuard(self.clone())
    }

    /// Waits until no thread is left, but not longer than until `deadline`. Returns whether none is.
    pub fn wait_for_end(&self, deadline: Instant) -> bool {
        let mut threads = self.lock();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if *threads == 0 || remaining.is_zero() {
                return *threads == 0;
            }
            let waited = self.ended.wait_timeout(threads, remaining);
            threads = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.threads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        let mut threads = self.0.lock();
        *threads -= 1;
        if *threads == 0 {
            self.0.ended.notify_all();
        }
    }
}
