//! Shares the memory of a process among connections, request bodies and responses.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Largest size of a body that may use the reserve of small bodies, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Fraction of the budget that only connections and small bodies may use, as `1 / RESERVE_DIVISOR`; the
/// same fraction is reserved for responses.
const RESERVE_DIVISOR: usize = 4;

/// Fraction of the budget that connections may use, as `1 / CONNECTIONS_DIVISOR`.
const CONNECTIONS_DIVISOR: usize = 2;

/// Time without a further segment after which a body that is being received is stalled. Ordinary
/// callers send a segment in a few milliseconds.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Identifies a body that is being received. Later bodies have greater ones.
pub type BodyId = u64;

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryKind {
    /// The thread and the buffers of a connection.
    Connection,
    /// A request body of at most [`SMALL_BODY_BYTES`].
    SmallBody,
    /// A request body above that.
    LargeBody,
    /// A response, or the buffer of a stream.
    Response,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Connection, Self::SmallBody, Self::LargeBody, Self::Response];

    /// Returns the name of the kind in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::SmallBody => "small_body",
            Self::LargeBody => "large_body",
            Self::Response => "response",
        }
    }

    /// Returns the kind of a request body of this size.
    pub const fn of_body(bytes: usize) -> Self {
        if bytes <= SMALL_BODY_BYTES { Self::SmallBody } else { Self::LargeBody }
    }
}

/// A request body that is being received.
#[derive(Debug)]
struct Receiving {
    held_bytes: usize,
    grown_at: Instant,
    /// Whether its memory is to be released.
    is_shed: bool,
}

/// What is to be done for a user of memory for which there is no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// This body is shed now; its memory will be released.
    Shed(BodyId),
    /// Bodies that were shed before release enough.
    Releasing,
    /// Nothing can be released for it.
    Hopeless,
}

/// Bytes in use by kind, and the request bodies that are being received.
#[derive(Debug)]
pub struct MemoryLedger {
    limit_bytes: usize,
    used_bytes: [usize; 4],
    receiving: BTreeMap<BodyId, Receiving>,
    last_id: BodyId,
}

impl MemoryLedger {
    /// Creates a ledger of `limit_bytes` for all users together.
    pub const fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, used_bytes: [0; 4], receiving: BTreeMap::new(), last_id: 0 }
    }

    /// Returns the number of connections that memory allows.
    pub const fn max_connections(limit_bytes: usize, connection_bytes: usize) -> usize {
        limit_bytes / CONNECTIONS_DIVISOR / connection_bytes
    }

    /// Returns the bytes in use by a kind.
    pub const fn used_bytes(&self, kind: MemoryKind) -> usize {
        self.used_bytes[kind as usize]
    }

    /// Returns the bytes in use.
    pub fn total_bytes(&self) -> usize {
        self.used_bytes.iter().sum()
    }

    /// Returns the budget in bytes.
    pub const fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Takes memory. Returns `false` if there is no room for it.
    pub fn take(&mut self, kind: MemoryKind, bytes: usize) -> bool {
        let has_room = self.room(kind) >= bytes;
        if has_room {
            self.used_bytes[kind as usize] += bytes;
        }
        has_room
    }

    /// Gives memory back.
    pub const fn release(&mut self, kind: MemoryKind, bytes: usize) {
        self.used_bytes[kind as usize] -= bytes;
    }

    /// Takes `added` bytes for a body that has `held` ones as a small one, and makes it a large one.
    /// Returns `false` if there is no room for it.
    pub fn enlarge(&mut self, held: usize, added: usize) -> bool {
        self.release(MemoryKind::SmallBody, held);
        let has_room = self.take(MemoryKind::LargeBody, held + added);
        if !has_room {
            self.used_bytes[MemoryKind::SmallBody as usize] += held;
        }
        has_room
    }

    /// Returns the bytes that a kind may still take.
    fn room(&self, kind: MemoryKind) -> usize {
        let reserve_bytes = self.limit_bytes / RESERVE_DIVISOR;
        let small_bytes =
            self.used_bytes(MemoryKind::Connection) + self.used_bytes(MemoryKind::SmallBody);
        let for_small = reserve_bytes.saturating_sub(small_bytes);
        let for_responses = reserve_bytes.saturating_sub(self.used_bytes(MemoryKind::Response));
        let reserved_bytes = match kind {
            MemoryKind::Connection | MemoryKind::SmallBody => for_responses,
            MemoryKind::LargeBody => for_small + for_responses,
            MemoryKind::Response => for_small,
        };
        self.limit_bytes.saturating_sub(self.total_bytes() + reserved_bytes)
    }

    /// Adds a body that is being received and has `held_bytes`.
    pub fn begin_receiving(&mut self, now: Instant, held_bytes: usize) -> BodyId {
        self.last_id += 1;
        let body = Receiving { held_bytes, grown_at: now, is_shed: false };
        self.receiving.insert(self.last_id, body);
        self.last_id
    }

    /// Records that a body that is being received has taken memory and holds `held_bytes` now.
    pub fn record_growth(&mut self, now: Instant, id: BodyId, held_bytes: usize) {
        if let Some(body) = self.receiving.get_mut(&id) {
            (body.held_bytes, body.grown_at) = (held_bytes, now);
        }
    }

    /// Returns `true` if a body is to be refused for the sake of others.
    pub fn is_shed(&self, id: BodyId) -> bool {
        self.receiving.get(&id).is_some_and(|it| it.is_shed)
    }

    /// Removes a body that has been received, or given up. Returns `true` if it was shed.
    pub fn end_receiving(&mut self, id: BodyId) -> bool {
        self.receiving.remove(&id).is_some_and(|it| it.is_shed)
    }

    /// Decides what makes room for a user of this kind, which is the body `own` if it is one. All users
    /// that wait need `needed_bytes` together.
    pub fn make_room(
        &mut self,
        now: Instant,
        kind: MemoryKind,
        own: Option<BodyId>,
        needed_bytes: usize,
    ) -> Shortage {
        let shed = self.receiving.values().filter(|it| it.is_shed);
        let releasing_bytes: usize = shed.map(|it| it.held_bytes).sum();
        if releasing_bytes >= needed_bytes {
            return Shortage::Releasing;
        }
        match self.choose_shed(now, kind, own) {
            Some(id) => {
                self.receiving.entry(id).and_modify(|it| it.is_shed = true);
                Shortage::Shed(id)
            }
            None if releasing_bytes > 0 => Shortage::Releasing,
            None => Shortage::Hopeless,
        }
    }

    fn choose_shed(&self, now: Instant, kind: MemoryKind, own: Option<BodyId>) -> Option<BodyId> {
        let is_large = |id: BodyId, body: &Receiving| {
            let is_growing = own == Some(id) && kind == MemoryKind::LargeBody;
            is_growing || body.held_bytes > SMALL_BODY_BYTES
        };
        // The body that asks is making progress.
        let is_stalled = |id: BodyId, body: &Receiving| {
            own != Some(id) && now.saturating_duration_since(body.grown_at) >= STALL_TIME
        };
        let rank = |id: BodyId, body: &Receiving| {
            let is_stalled = is_stalled(id, body);
            let size = if is_stalled { body.held_bytes } else { usize::from(is_large(id, body)) };
            (is_stalled, size, id)
        };
        let candidates = self.receiving.iter().filter(|(id, body)| {
            !body.is_shed && (kind != MemoryKind::LargeBody || is_large(**id, body))
        });
        candidates.map(|(id, body)| (rank(*id, body), *id)).max().map(|(_, id)| id)
    }
}
