//! Notices callers that leave while they wait.

use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use socket2::SockRef;

/// Pause between two looks at all connections.
const INTERVAL: Duration = Duration::from_millis(100);

/// Flags that look at the input without taking it and without waiting.
const PEEK_FLAGS: i32 = MSG_PEEK | MSG_DONTWAIT;
const MSG_PEEK: i32 = 0x02;
const MSG_DONTWAIT: i32 = 0x40;

type WatchId = u64;

/// Looks at callers' connections and runs an action when one is closed.
///
/// A caller that closes its sending side counts as gone.
#[derive(Clone, Default)]
pub struct PresenceWatch(Arc<Mutex<Entries>>);

#[derive(Default)]
struct Entries {
    next_id: WatchId,
    watched: HashMap<WatchId, Entry>,
}

struct Entry {
    stream: TcpStream,
    on_gone: Box<dyn FnOnce() + Send>,
}

/// Keeps a connection under watch until it is dropped.
#[must_use = "dropping it ends the watch"]
pub struct Watched {
    watch: PresenceWatch,
    id: WatchId,
}

impl PresenceWatch {
    /// Starts the thread that looks at the connections.
    pub fn start() -> Self {
        let watch = Self::default();
        let shared = watch.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(INTERVAL);
                shared.look();
            }
        });
        watch
    }

    /// Watches `stream` and runs `on_gone` when the caller closes it.
    pub fn watch(
        &self,
        stream: &TcpStream,
        on_gone: impl FnOnce() + Send + 'static,
    ) -> std::io::Result<Watched> {
        let stream = stream.try_clone()?;
        let mut entries = self.lock();
        entries.next_id += 1;
        let id = entries.next_id;
        entries.watched.insert(id, Entry { stream, on_gone: Box::new(on_gone) });
        Ok(Watched { watch: self.clone(), id })
    }

    /// Runs the actions outside the lock, since they may end other watches.
    fn look(&self) {
        for entry in self.take_gone() {
            (entry.on_gone)();
        }
    }

    fn take_gone(&self) -> Vec<Entry> {
        let mut entries = self.lock();
        let gone: Vec<WatchId> =
            entries.watched.iter().filter(|(_, it)| is_gone(&it.stream)).map(|it| *it.0).collect();
        gone.iter().filter_map(|id| entries.watched.remove(id)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.watch.lock().watched.remove(&self.id);
    }
}

fn is_gone(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).recv_with_flags(&mut byte, PEEK_FLAGS) {
        Ok(amount) => amount == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
