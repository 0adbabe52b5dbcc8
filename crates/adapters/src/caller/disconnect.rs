//! Detects callers that disconnect while they wait for a response.

use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use socket2::SockRef;

/// Interval between checks of all watched connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Flags that read input without consuming it and without blocking.
const PEEK_FLAGS: i32 = MSG_PEEK | MSG_DONTWAIT;
const MSG_PEEK: i32 = 0x02;
const MSG_DONTWAIT: i32 = 0x40;

type WatchId = u64;

/// Checks callers' connections periodically and runs a callback when one is closed.
///
/// A caller that only shuts down its sending side also counts as disconnected.
#[derive(Clone, Default)]
pub struct DisconnectMonitor(Arc<Mutex<Entries>>);

#[derive(Default)]
struct Entries {
    next_id: WatchId,
    watched: HashMap<WatchId, Entry>,
}

struct Entry {
    stream: TcpStream,
    on_disconnect: Box<dyn FnOnce() + Send>,
}

/// Guard that stops watching a connection when it is dropped.
#[must_use = "dropping it ends the watch"]
pub struct WatchGuard {
    monitor: DisconnectMonitor,
    id: WatchId,
}

impl DisconnectMonitor {
    /// Starts the thread that checks the connections.
    pub fn start() -> Self {
        let monitor = Self::default();
        let shared = monitor.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(CHECK_INTERVAL);
                shared.check();
            }
        });
        monitor
    }

    /// Watches `stream` and calls `on_disconnect` once the caller closes it.
    ///
    /// # Errors
    ///
    /// Fails if the handle of the connection cannot be duplicated.
    pub fn watch(
        &self,
        stream: &TcpStream,
        on_disconnect: impl FnOnce() + Send + 'static,
    ) -> std::io::Result<WatchGuard> {
        let stream = stream.try_clone()?;
        let mut entries = self.lock();
        entries.next_id += 1;
        let id = entries.next_id;
        entries.watched.insert(id, Entry { stream, on_disconnect: Box::new(on_disconnect) });
        Ok(WatchGuard { monitor: self.clone(), id })
    }

    /// Runs the callbacks of closed connections, without the lock since they may end other watches.
    fn check(&self) {
        for entry in self.take_disconnected() {
            (entry.on_disconnect)();
        }
    }

    fn take_disconnected(&self) -> Vec<Entry> {
        let mut entries = self.lock();
        let disconnected: Vec<WatchId> = entries
            .watched
            .iter()
            .filter(|(_, it)| is_disconnected(&it.stream))
            .map(|it| *it.0)
            .collect();
        disconnected.iter().filter_map(|id| entries.watched.remove(id)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.monitor.lock().watched.remove(&self.id);
    }
}

/// Returns whether the other side has closed the connection or its sending side.
fn is_disconnected(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).recv_with_flags(&mut byte, PEEK_FLAGS) {
        Ok(amount) => amount == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
