//! Decides which connection of a caller is closed to make room for another.
//!
//! A connection stands still while it waits for a request or for the rest of one. A caller whose
//! connection is closed then can repeat its request, as no upstream has it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Time for which a connection stands still before it may be closed: twice the minimum time after
/// which Linux sends a lost packet again.
pub const STANDSTILL_TIME: Duration = Duration::from_millis(400);

/// Maximum number of connections beyond the limit, whose slots are those of others that are about to be
/// closed.
const MAX_EXCESS: usize = 32;

/// Identifies a connection. Later connections have greater ones.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// No byte of the next request has arrived.
    Waiting,
    /// A part of a request has arrived.
    Receiving,
    /// A whole request has arrived, and its response is due.
    Responding,
}

#[derive(Debug)]
struct Connection {
    activity: Activity,
    /// When the activity began, or the request made progress.
    active_at: Instant,
    /// Whether a whole request has arrived so far.
    has_brought_request: bool,
    is_evicted: bool,
}

/// A new connection that has a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admitted {
    /// The new connection.
    pub id: ConnectionId,
    /// The connection that is to be closed for it.
    pub evicted: Option<ConnectionId>,
}

/// Connections of all callers of a VM.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    connections: BTreeMap<ConnectionId, Connection>,
    last_id: ConnectionId,
}

impl ConnectionTable {
    /// Creates a table for `limit` connections.
    pub const fn new(limit: usize) -> Self {
        Self { limit, connections: BTreeMap::new(), last_id: 0 }
    }

    /// Returns a slot for a new connection, or `None` if there is none.
    ///
    /// If the limit is reached, the connection is closed that has stood still for the longest time;
    /// those that have brought a whole request before come last.
    pub fn admit(&mut self, now: Instant) -> Option<Admitted> {
        let is_full = self.connections.len() >= self.limit;
        let evicted = if is_full { Some(self.evict(now)?) } else { None };
        self.last_id += 1;
        let connection = Connection {
            activity: Activity::Waiting,
            active_at: now,
            has_brought_request: false,
            is_evicted: false,
        };
        self.connections.insert(self.last_id, connection);
        Some(Admitted { id: self.last_id, evicted })
    }

    fn evict(&mut self, now: Instant) -> Option<ConnectionId> {
        if self.connections.len() >= self.limit + MAX_EXCESS {
            return None;
        }
        let stands_still = |it: &Connection| {
            it.activity != Activity::Responding
                && now.saturating_duration_since(it.active_at) >= STANDSTILL_TIME
        };
        let candidates = self.connections.iter_mut();
        let candidates = candidates.filter(|(_, it)| !it.is_evicted && stands_still(it));
        let (id, connection) =
            candidates.min_by_key(|(id, it)| (it.has_brought_request, it.active_at, **id))?;
        connection.is_evicted = true;
        Some(*id)
    }

    /// Records that the first byte of a request has arrived. A connection that was about to be closed
    /// stays open.
    pub fn begin_request(&mut self, now: Instant, id: ConnectionId) {
        self.set_activity(now, id, Activity::Receiving);
    }

    /// Records that a request that is being received has made progress.
    pub fn record_progress(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.active_at = now;
        }
    }

    /// Records that a whole request has arrived. The connection stays open until the request ends.
    pub fn begin_response(&mut self, now: Instant, id: ConnectionId) {
        self.set_activity(now, id, Activity::Responding);
    }

    /// Records that a request has ended, and that the connection waits for the next one.
    pub fn end_request(&mut self, now: Instant, id: ConnectionId) {
        self.set_activity(now, id, Activity::Waiting);
    }

    fn set_activity(&mut self, now: Instant, id: ConnectionId, activity: Activity) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.has_brought_request |= activity == Activity::Responding;
        connection.activity = activity;
        connection.active_at = now;
        connection.is_evicted = false;
    }

    /// Returns whether a connection is to be closed for another.
    pub fn is_evicted(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|it| it.is_evicted)
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }
}
