//! Slots of callers' connections.
//!
//! Each connection has one. When all are taken, a new connection gets the slot of one that stands
//! still, whose thread is woken to close it; see
//! [`connections`](cranberryvalve_policy::connections).

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use cranberryvalve_adapters::telemetry::LogRateLimiter;
use cranberryvalve_policy::connections::ConnectionId;
use cranberryvalve_policy::connections::ConnectionTable;
use slog::Logger;
use slog::info;

use crate::socket::Waker;

/// Slots of all connections of callers.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionSlots(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    log: Logger,
    log_limiter: LogRateLimiter,
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    /// Wakers of the threads that serve the connections.
    wakers: HashMap<ConnectionId, Arc<Waker>>,
}

impl ConnectionSlots {
    /// Creates slots for `limit` connections.
    pub(crate) fn new(limit: usize, log: Logger) -> Self {
        let state = State { table: ConnectionTable::new(limit), wakers: HashMap::new() };
        let log_limiter = LogRateLimiter::new(Instant::now());
        Self(Arc::new(Shared { state: Mutex::new(state), log, log_limiter }))
    }

    /// Returns a slot for a new connection, or `None` if there is none. `waker` wakes its thread when
    /// the connection is to be closed for another.
    pub(crate) fn admit(&self, waker: Arc<Waker>) -> Option<ConnectionSlot> {
        let mut state = self.0.lock();
        let admitted = state.table.admit(Instant::now())?;
        state.wakers.insert(admitted.id, waker);
        if let Some(evicted) = admitted.evicted
            && let Some(waker) = state.wakers.get(&evicted)
        {
            waker.wake();
        }
        drop(state);
        Some(ConnectionSlot { slots: self.clone(), id: admitted.id })
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Slot of a connection; released on drop.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    slots: ConnectionSlots,
    id: ConnectionId,
}

impl ConnectionSlot {
    /// Records that the first byte of a request has arrived.
    pub(crate) fn begin_request(&self) -> RequestSlot {
        self.slots.0.lock().table.begin_request(Instant::now(), self.id);
        RequestSlot { slots: self.slots.clone(), id: self.id }
    }

    /// Returns whether the connection is to be closed for another.
    pub(crate) fn is_evicted(&self) -> bool {
        self.slots.0.lock().table.is_evicted(self.id)
    }

    /// Counts and logs that the connection is closed for another. `received` names what has arrived of
    /// a request.
    pub(crate) fn record_eviction(&self, received: &'static str) {
        metrics::counter!("cranberryvalve_connections_evicted_total", "received" => received)
            .increment(1);
        let shared = &self.slots.0;
        let Some(left_out) = shared.log_limiter.acquire(Instant::now()) else { return };
        info!(shared.log, "connection closed for another one"; "left_out" => left_out,
            "received" => received);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = self.slots.0.lock();
        state.table.remove(self.id);
        state.wakers.remove(&self.id);
    }
}

/// Slot of a connection on which a request has arrived, in part or as a whole. The connection waits for
/// the next request when this is dropped.
#[derive(Debug)]
pub(crate) struct RequestSlot {
    slots: ConnectionSlots,
    id: ConnectionId,
}

impl RequestSlot {
    /// Records that a further part of the request has arrived.
    pub(crate) fn record_progress(&self) {
        self.slots.0.lock().table.record_progress(Instant::now(), self.id);
    }

    /// Records that the whole request has arrived.
    pub(crate) fn begin_response(&self) {
        self.slots.0.lock().table.begin_response(Instant::now(), self.id);
    }

    /// Returns whether the connection is to be closed for another.
    pub(crate) fn is_evicted(&self) -> bool {
        self.slots.0.lock().table.is_evicted(self.id)
    }
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.slots.0.lock().table.end_request(Instant::now(), self.id);
    }
}
