//! Origins of streams in the store: those that this VM records there, and those that it has read.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::origins::MAX_ROW_STREAMS;
use cranberryvalve_coordination::origins::OriginLog;
use cranberryvalve_coordination::origins::StreamKey;
use cranberryvalve_coordination::origins::StreamOrigin;

/// Maximum time that a call waits for a read of the rows: the store's response, after one to a read that
/// began before.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of streams that wait to be recorded while the store is away.
const MAX_PENDING: usize = 2 * MAX_ROW_STREAMS;

/// Number of a read of the rows, in the order in which reads began.
type ReadId = u64;

/// What this VM records in the store, and what it has read there.
#[derive(Debug, Default)]
pub(crate) struct StoredOrigins {
    state: Mutex<State>,
    /// Signalled when there is something to record.
    pushed: Condvar,
    /// Signalled when a call needs a read.
    requested: Condvar,
    /// Signalled when a read has ended.
    read_ended: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Streams that are to be recorded, oldest first.
    pending: Vec<(StreamKey, StreamOrigin)>,
    read: OriginLog,
    is_read_requested: bool,
    /// Read that began last.
    last_read: ReadId,
    /// Read that ended last, successful or not.
    last_end: ReadId,
}

impl StoredOrigins {
    /// Adds streams that are to be recorded.
    pub(crate) fn push(&self, streams: Vec<(StreamKey, StreamOrigin)>) {
        let mut state = self.lock();
        state.pending.extend(streams);
        let excess = state.pending.len().saturating_sub(MAX_PENDING);
        state.pending.drain(..excess);
        self.pushed.notify_all();
    }

    /// Waits for streams that are to be recorded, and takes those of one row.
    pub(crate) fn wait_for_pending(&self) -> Vec<(StreamKey, StreamOrigin)> {
        let is_idle = |it: &mut State| it.pending.is_empty();
        let waited = self.pushed.wait_while(self.lock(), is_idle);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        let count = state.pending.len().min(MAX_ROW_STREAMS);
        state.pending.drain(..count).collect()
    }

    /// Returns the recorded origin of a stream, after a read that begins now unless it is known.
    pub(super) fn find(&self, stream: StreamKey) -> Option<StreamOrigin> {
        let mut state = self.lock();
        if let Some(origin) = state.read.origin(Instant::now(), stream) {
            return Some(origin.clone());
        }
        let earlier = state.last_read;
        state.is_read_requested = true;
        self.requested.notify_all();
        let is_pending = |it: &mut State| it.last_end <= earlier;
        let waited = self.read_ended.wait_timeout_while(state, READ_TIMEOUT, is_pending);
        let state = waited.unwrap_or_else(PoisonError::into_inner).0;
        state.read.origin(Instant::now(), stream).cloned()
    }

    /// Waits for calls that need a read, and returns its number.
    pub(crate) fn wait_for_request(&self) -> ReadId {
        let is_idle = |it: &mut State| !it.is_read_requested;
        let waited = self.requested.wait_while(self.lock(), is_idle);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        state.is_read_requested = false;
        state.last_read += 1;
        state.last_read
    }

    /// Records what a read has brought, which is nothing if it failed.
    pub(crate) fn end_read(
        &self,
        read: ReadId,
        streams: impl IntoIterator<Item = (StreamKey, StreamOrigin)>,
    ) {
        let (now, mut state) = (Instant::now(), self.lock());
        for (stream, origin) in streams {
            state.read.record(now, stream, origin);
        }
        state.last_end = read;
        self.read_ended.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
