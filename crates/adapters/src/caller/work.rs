//! What keeps a server running: its threads, and the input that they wait for.

use std::collections::HashMap;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::threads::ThreadCount;

type InputId = u64;

/// Counts the threads that accept or serve connections, and ends their waits for requests.
#[derive(Debug, Default)]
pub(super) struct WorkInProgress {
    state: Mutex<State>,
    pub(super) threads: Arc<ThreadCount>,
}

#[derive(Debug, Default)]
struct State {
    inputs: HashMap<InputId, Input>,
    last_id: InputId,
    waits_ended: bool,
}

/// A connection whose next request is awaited or read.
#[derive(Debug)]
struct Input {
    stream: Arc<TcpStream>,
    /// Whether no byte of the request has arrived.
    is_waiting: bool,
}

/// Keeps the input of a connection registered until it is dropped.
pub(super) struct InputGuard<'a> {
    work: &'a WorkInProgress,
    id: InputId,
}

impl WorkInProgress {
    /// Registers a wait for a request. If such waits have ended, only bytes that have arrived are read.
    pub(super) fn begin_wait(&self, stream: &Arc<TcpStream>) -> InputGuard<'_> {
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        state.inputs.insert(id, Input { stream: stream.clone(), is_waiting: true });
        if state.waits_ended {
            end_input(stream);
        }
        InputGuard { work: self, id }
    }

    /// Ends the waits for requests, now and from now on.
    pub(super) fn end_waits(&self) {
        let mut state = self.lock();
        state.waits_ended = true;
        state.inputs.values().filter(|it| it.is_waiting).for_each(|it| end_input(&it.stream));
    }

    /// Ends the waits for requests, and the reading of those of which a part has arrived.
    pub(super) fn end_input(&self) {
        let mut state = self.lock();
        state.waits_ended = true;
        state.inputs.values().for_each(|it| end_input(&it.stream));
    }

    pub(super) fn are_waits_ended(&self) -> bool {
        self.lock().waits_ended
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InputGuard<'_> {
    /// Records that a byte of the request has arrived.
    pub(super) fn start_reading(&self) {
        if let Some(input) = self.work.lock().inputs.get_mut(&self.id) {
            input.is_waiting = false;
        }
    }
}

impl Drop for InputGuard<'_> {
    fn drop(&mut self) {
        self.work.lock().inputs.remove(&self.id);
    }
}

/// Ends the input of a connection after the bytes that have arrived.
fn end_input(stream: &TcpStream) {
    // An error means that the connection is closed already.
    let _ = stream.shutdown(Shutdown::Read);
}
