//! Closes sockets on threads of their own, since that may block.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;

use super::LinkSocket;

/// Number of threads that close sockets.
const CLOSER_THREADS: usize = 2;

/// Maximum number of sockets that wait to be closed. Each uses memory and a file descriptor.
const MAX_PENDING_SOCKETS: usize = 64;

/// Stack size of a thread that closes sockets, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Threads that close sockets until the closer is dropped.
pub(super) struct Closer {
    sender: Sender<Box<dyn LinkSocket>>,
    pending: Arc<AtomicUsize>,
}

impl Closer {
    /// Starts the threads.
    pub(super) fn start() -> std::io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let receiver = Arc::new(Mutex::new(receiver));
        let pending = Arc::new(AtomicUsize::new(0));
        for _ in 0..CLOSER_THREADS {
            let (receiver, pending) = (receiver.clone(), pending.clone());
            let builder = thread::Builder::new().name("link closer".to_owned());
            builder.stack_size(STACK_BYTES).spawn(move || close_all(&receiver, &pending))?;
        }
        Ok(Self { sender, pending })
    }

    /// Returns the number of sockets that may be closed now.
    pub(super) fn capacity(&self) -> usize {
        MAX_PENDING_SOCKETS.saturating_sub(self.pending.load(Ordering::SeqCst))
    }

    /// Closes a socket without waiting for it.
    pub(super) fn close(&self, socket: Box<dyn LinkSocket>) {
        let pending = self.pending.fetch_add(1, Ordering::SeqCst) + 1;
        metrics::gauge!("cranberryvalve_links_closing").set(pending as f64);
        // The threads only end once the sender is dropped.
        let _ = self.sender.send(socket);
    }
}

fn close_all(receiver: &Mutex<Receiver<Box<dyn LinkSocket>>>, pending: &AtomicUsize) {
    loop {
        let next = receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(socket) = next else { return };
        socket.close();
        let pending = pending.fetch_sub(1, Ordering::SeqCst) - 1;
        metrics::gauge!("cranberryvalve_links_closing").set(pending as f64);
    }
}
