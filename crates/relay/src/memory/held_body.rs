//! Bodies that are held in memory.

use std::sync::Arc;

use super::OutOfMemory;
use super::Reservation;
use super::SEGMENT_BYTES;
use crate::socket::Waker;

/// A body that is held in memory, in segments, so that it grows without being copied.
#[derive(Debug)]
pub(crate) struct HeldBody {
    segments: Vec<Vec<u8>>,
    allocated_bytes: usize,
    reservation: Reservation,
}

impl HeldBody {
    /// Creates an empty body that takes its memory from `reservation`.
    pub(crate) const fn new(reservation: Reservation) -> Self {
        Self { segments: Vec::new(), allocated_bytes: 0, reservation }
    }

    /// Returns the size of the body in bytes.
    pub(crate) fn len(&self) -> usize {
        self.segments.iter().map(Vec::len).sum()
    }

    /// Returns the body in order, in one or more parts.
    pub(crate) fn segments(&self) -> &[Vec<u8>] {
        &self.segments
    }

    /// Reserves the memory of a body of known size, with what its segments leave unused, before any of
    /// it is allocated.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted.
    pub(crate) fn reserve(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        // A segment is left when the next read does not fit, which is at most a quarter of it.
        let unused_bytes = bytes / 4 + bytes.min(SEGMENT_BYTES);
        self.reservation.extend_to(bytes.saturating_add(unused_bytes))
    }

    /// Returns a buffer to which up to `added_bytes` of the body can be appended without allocation.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exhausted.
    pub(crate) fn buffer(&mut self, added_bytes: usize) -> Result<&mut Vec<u8>, OutOfMemory> {
        let spare_bytes = self.segments.last().map_or(0, |it| it.capacity() - it.len());
        if self.segments.is_empty() || spare_bytes < added_bytes {
            let capacity_bytes = added_bytes.max(self.len().min(SEGMENT_BYTES));
            self.reservation.extend_to(self.allocated_bytes + capacity_bytes)?;
            self.allocated_bytes += capacity_bytes;
            self.segments.push(self.new_segment(capacity_bytes));
        }
        Ok(self.segments.last_mut().expect("a segment was added"))
    }

    fn new_segment(&self, capacity_bytes: usize) -> Vec<u8> {
        let is_kept = capacity_bytes == SEGMENT_BYTES;
        let spare = is_kept.then(|| self.reservation.budget.0.lock().spare_segments.pop());
        spare.flatten().unwrap_or_else(|| Vec::with_capacity(capacity_bytes))
    }

    /// Marks the body as one that is being received, which may be shed; `waker` wakes its thread then.
    pub(crate) fn begin_receiving(&mut self, waker: &Arc<Waker>) {
        self.reservation.begin_receiving(waker);
    }

    /// Returns `true` if the body is to be refused for the sake of others.
    pub(crate) fn is_shed(&self) -> bool {
        self.reservation.is_shed()
    }

    /// Marks the body as received. Returns `false` if it was shed before.
    pub(crate) fn end_receiving(&mut self) -> bool {
        self.reservation.end_receiving()
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let is_kept = |it: &Vec<u8>| it.capacity() == SEGMENT_BYTES;
        if !self.segments.iter().any(is_kept) {
            return;
        }
        // The reservation, released after this, leaves room for them in the budget.
        let mut state = self.reservation.budget.0.lock();
        for mut segment in self.segments.drain(..).filter(is_kept) {
            segment.clear();
            state.spare_segments.push(segment);
        }
    }
}
