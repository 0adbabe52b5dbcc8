//! Memory of connections, request bodies and responses.
//!
//! Each body and response has a maximum size, but the sum of those in flight may still exceed the memory
//! of a small VM. All of them share a budget, from which memory is taken before it is allocated. If it
//! is exhausted, request bodies that are still being received make room; see [`MemoryLedger`].

mod held_body;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::telemetry::LogRateLimiter;
use cranberryvalve_policy::memory::BodyId;
use cranberryvalve_policy::memory::MemoryKind;
use cranberryvalve_policy::memory::MemoryLedger;
use cranberryvalve_policy::memory::SMALL_BODY_BYTES;
use cranberryvalve_policy::memory::Shortage;
use slog::Logger;
use slog::info;

use crate::socket::Waker;

pub(crate) use self::held_body::HeldBody;

/// Memory of a connection, in bytes: its thread, buffers and sockets. Measured: 45 KB after a request, 44 KB
/// with an unfinished head of 15 KB.
const CONNECTION_BYTES: usize = 48 * 1024;

/// Size of the segments that are kept for reuse, in bytes.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Maximum time to wait for the memory of a body that was shed. Its thread is woken at once, but a VM
/// has as little as 0.09 of a processor.
const SHED_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for which a response waits for memory: that in which callers have to read the responses
/// that use it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the number of connections for which a budget has memory.
pub(crate) const fn max_connections(limit_bytes: usize) -> usize {
    MemoryLedger::max_connections(limit_bytes, CONNECTION_BYTES)
}

/// Error for memory that the budget does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// Budget of the process, shared by all its users.
#[derive(Debug, Clone)]
pub(crate) struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Signalled when memory was released while somebody waits for it, and when a body is shed.
    changed: Condvar,
    log: Logger,
    log_limiter: LogRateLimiter,
}

#[derive(Debug)]
struct State {
    ledger: MemoryLedger,
    /// Wakers of the threads that receive bodies.
    wakers: HashMap<BodyId, Arc<Waker>>,
    /// Segments for reuse. They fit into the budget beside the bytes in use.
    spare_segments: Vec<Vec<u8>>,
    /// Users that wait for memory, and how much they need together.
    waiting: usize,
    waiting_bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize, log: Logger) -> Self {
        let state = State {
            ledger: MemoryLedger::new(limit_bytes),
            wakers: HashMap::new(),
            spare_segments: Vec::new(),
            waiting: 0,
            waiting_bytes: 0,
        };
        Self(Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            log,
            log_limiter: LogRateLimiter::new(Instant::now()),
        }))
    }

    /// Returns an empty reservation.
    pub(crate) fn reserve(&self, kind: MemoryKind) -> Reservation {
        Reservation { budget: self.clone(), kind, bytes: 0, receiving: None, wait_end: None }
    }

    /// Returns an empty reservation for a response, which waits for memory until `deadline` at most.
    pub(crate) fn reserve_response(&self, deadline: Instant) -> Reservation {
        let mut reservation = self.reserve(MemoryKind::Response);
        reservation.wait_end = Some(deadline);
        reservation
    }

    /// Takes the memory of a connection.
    pub(crate) fn reserve_connection(&self) -> Result<Reservation, OutOfMemory> {
        let mut reservation = self.reserve(MemoryKind::Connection);
        reservation.extend_to(CONNECTION_BYTES)?;
        Ok(reservation)
    }

    /// Returns the bytes in use by a kind.
    pub(crate) fn used_bytes(&self, kind: MemoryKind) -> usize {
        self.0.lock().ledger.used_bytes(kind)
    }

    /// Returns the budget in bytes.
    pub(crate) fn limit_bytes(&self) -> usize {
        self.0.lock().ledger.limit_bytes()
    }

    /// Counts and logs a refusal for lack of memory.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        metrics::counter!("cranberryvalve_memory_refusals_total", "reason" => reason).increment(1);
        let Some(left_out) = self.0.log_limiter.acquire(Instant::now()) else { return };
        let (used_bytes, limit_bytes) = {
            let state = self.0.lock();
            (state.ledger.total_bytes(), state.ledger.limit_bytes())
        };
        info!(self.0.log, "refused for lack of memory"; "left_out" => left_out,
            "limit_bytes" => limit_bytes, "used_bytes" => used_bytes, "reason" => reason);
    }
}

/// Who waits for memory.
#[derive(Debug, Clone, Copy)]
struct User {
    kind: MemoryKind,
    /// The request body that is being received, if it is one.
    own: Option<BodyId>,
    /// Whether it may wait until others end.
    may_wait: bool,
    wait_end: Option<Instant>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for memory that `take` takes, for a user that needs `needed_bytes`.
    fn wait_for(
        &self,
        user: User,
        needed_bytes: usize,
        mut take: impl FnMut(&mut MemoryLedger) -> bool,
    ) -> Result<(), OutOfMemory> {
        let User { kind, own, may_wait, wait_end } = user;
        let mut state = self.lock();
        let is_own_shed = |state: &State| own.is_some_and(|it| state.ledger.is_shed(it));
        if !is_own_shed(&state) && take(&mut state.ledger) {
            state.trim_spare_segments();
            return Ok(());
        }
        let timeout = if may_wait { RESPONSE_TIMEOUT } else { SHED_TIMEOUT };
        let deadline = Instant::now() + timeout;
        let deadline = wait_end.map_or(deadline, |it| it.min(deadline));
        state.waiting += 1;
        state.waiting_bytes += needed_bytes;
        let result = loop {
            let now = Instant::now();
            if is_own_shed(&state) || now >= deadline {
                break Err(OutOfMemory);
            }
            let needed_bytes = state.waiting_bytes;
            match state.ledger.make_room(now, kind, own, needed_bytes) {
                Shortage::Shed(id) if own == Some(id) => break Err(OutOfMemory),
                Shortage::Shed(id) => {
                    if let Some(waker) = state.wakers.get(&id) {
                        waker.wake();
                    }
                    // The body may be one whose thread waits here.
                    self.changed.notify_all();
                    continue;
                }
                Shortage::Hopeless if !may_wait => break Err(OutOfMemory),
                Shortage::Releasing | Shortage::Hopeless => {}
            }
            let waited = self.changed.wait_timeout(state, deadline - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if !is_own_shed(&state) && take(&mut state.ledger) {
                state.trim_spare_segments();
                break Ok(());
            }
        };
        state.waiting -= 1;
        state.waiting_bytes -= needed_bytes;
        result
    }
}

impl State {
    /// Drops segments for reuse that no longer fit beside the bytes in use.
    fn trim_spare_segments(&mut self) {
        let free_bytes = self.ledger.limit_bytes().saturating_sub(self.ledger.total_bytes());
        self.spare_segments.truncate(free_bytes / SEGMENT_BYTES);
    }
}

/// Part of the budget that a user has; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    kind: MemoryKind,
    bytes: usize,
    /// The request body that is being received, if this is one.
    receiving: Option<BodyId>,
    /// When a wait for memory ends at the latest, if that is known.
    wait_end: Option<Instant>,
}

impl Reservation {
    /// Extends the reservation to `bytes`. May wait until others have released memory.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the reservation as it is, if the budget is exhausted.
    pub(crate) fn extend_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let (held, added) = (self.bytes, bytes - self.bytes);
        let grows_large = self.kind == MemoryKind::SmallBody && bytes > SMALL_BODY_BYTES;
        let kind = if grows_large { MemoryKind::LargeBody } else { self.kind };
        let needed = if grows_large { bytes } else { added };
        let shared = &self.budget.0;
        // Responses that hold memory while they wait could wait for each other.
        let may_wait = kind == MemoryKind::Response && held == 0;
        let user = User { kind, own: self.receiving, may_wait, wait_end: self.wait_end };
        shared.wait_for(user, needed, |ledger| {
            let is_taken =
                if grows_large { ledger.enlarge(held, added) } else { ledger.take(kind, added) };
            if let Some(id) = self.receiving.filter(|_| is_taken) {
                ledger.record_growth(Instant::now(), id, bytes);
            }
            is_taken
        })?;
        (self.kind, self.bytes) = (kind, bytes);
        Ok(())
    }

    /// Marks the request body as one that is being received, which may be shed; `waker` wakes its thread
    /// then.
    fn begin_receiving(&mut self, waker: &Arc<Waker>) {
        if self.receiving.is_none() {
            let mut state = self.budget.0.lock();
            let id = state.ledger.begin_receiving(Instant::now(), self.bytes);
            state.wakers.insert(id, waker.clone());
            self.receiving = Some(id);
        }
    }

    /// Returns `true` if the request body is to be refused for the sake of others.
    fn is_shed(&self) -> bool {
        self.receiving.is_some_and(|it| self.budget.0.lock().ledger.is_shed(it))
    }

    /// Marks the request body as received. Returns `false` if it was shed before.
    fn end_receiving(&mut self) -> bool {
        let Some(id) = self.receiving.take() else { return true };
        let mut state = self.budget.0.lock();
        state.wakers.remove(&id);
        !state.ledger.end_receiving(id)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.end_receiving();
        if self.bytes == 0 {
            return;
        }
        let mut state = self.budget.0.lock();
        state.ledger.release(self.kind, self.bytes);
        if state.waiting > 0 {
            self.budget.0.changed.notify_all();
        }
    }
}

#[cfg(test)]
mod tests;
