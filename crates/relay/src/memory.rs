//! Memory for responses that are held until they are complete.
//!
//! Each response has a maximum size, but the sum of those in flight may still exceed the memory of a
//! small VM. All of them share a budget.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Budget shared by all responses that are held in memory.
#[derive(Debug, Clone)]
pub(crate) struct ResponseMemory {
    used_bytes: Arc<AtomicUsize>,
    limit_bytes: usize,
}

/// Part of the budget that a response uses; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: ResponseMemory,
    bytes: usize,
}

/// Error for a response that does not fit into the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

impl ResponseMemory {
    /// Creates a budget of `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self { used_bytes: Arc::default(), limit_bytes }
    }

    /// Returns an empty reservation.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Extends the reservation to `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the reservation as it is, if the budget is exhausted.
    pub(crate) fn extend_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let added = bytes.saturating_sub(self.bytes);
        let used_before = self.memory.used_bytes.fetch_add(added, Ordering::SeqCst);
        if added > 0 && used_before.saturating_add(added) > self.memory.limit_bytes {
            self.memory.used_bytes.fetch_sub(added, Ordering::SeqCst);
            return Err(OutOfMemory);
        }
        self.bytes += added;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used_bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests;
