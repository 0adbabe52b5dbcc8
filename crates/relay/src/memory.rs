//! Memory for responses that are held until they are complete.
//!
//! Each response has a maximum size, but the sum of those in flight may still exceed the memory of a
//! small VM. All of them share a budget, from which memory is taken before it is allocated.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Maximum size of a segment of a held body, in bytes.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

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

/// A body that is held in memory, in segments, so that it grows without being copied.
#[derive(Debug)]
pub(crate) struct HeldBody {
    segments: Vec<Vec<u8>>,
    reservation: Reservation,
}

impl HeldBody {
    /// Creates an empty body that takes its memory from `reservation`.
    pub(crate) const fn new(reservation: Reservation) -> Self {
        Self { segments: Vec::new(), reservation }
    }

    /// Returns the size of the body in bytes.
    pub(crate) fn len(&self) -> usize {
        self.segments.iter().map(Vec::len).sum()
    }

    /// Returns the body in order, in one or more parts.
    pub(crate) fn segments(&self) -> &[Vec<u8>] {
        &self.segments
    }

    /// Returns a buffer to which up to `added_bytes` of the body can be appended without allocation.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted.
    pub(crate) fn buffer(&mut self, added_bytes: usize) -> Result<&mut Vec<u8>, OutOfMemory> {
        let spare_bytes = self.segments.last().map_or(0, |it| it.capacity() - it.len());
        if self.segments.is_empty() || spare_bytes < added_bytes {
            let capacity_bytes = added_bytes.max(self.len().min(MAX_SEGMENT_BYTES));
            self.reservation.extend_to(self.reservation.bytes + capacity_bytes)?;
            self.segments.push(Vec::with_capacity(capacity_bytes));
        }
        Ok(self.segments.last_mut().expect("a segment was added"))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used_bytes.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests;
