//! Queue between the logger and the thread that writes to standard output.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

/// Maximum number of lines in the queue, about 2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum time that dropping a [`LogGuard`] waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A message to the writing thread.
enum Entry {
    /// A line to write.
    Line(Vec<u8>),
    /// Request to signal when all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Writer that queues log lines without blocking.
///
/// If the queue is full, the line is dropped and counted in
/// `cranberryvalve_log_lines_dropped_total`.
pub(super) struct LogQueue {
    entries: SyncSender<Entry>,
    line: Vec<u8>,
}

/// Guard that, when dropped, waits for a limited time until all queued lines are written.
#[must_use = "dropping it waits until the lines are written"]
pub struct LogGuard(SyncSender<Entry>);

impl LogQueue {
    /// Creates a queue and starts the thread that writes its lines to `output`.
    pub(super) fn start(output: impl Write + Send + 'static) -> (Self, LogGuard) {
        let (entries, received) = sync_channel(MAX_QUEUED_LINES);
        // If the thread cannot be started, the receiver is dropped and so is every line.
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&received, output));
        (Self { entries: entries.clone(), line: Vec::new() }, LogGuard(entries))
    }
}

impl Write for LogQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if self.entries.try_send(Entry::Line(line)).is_err() {
                metrics::counter!("cranberryvalve_log_lines_dropped_total").increment(1);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        // A full queue means that the output is blocked, so waiting would not help.
        if self.0.try_send(Entry::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes the queued lines in batches until all senders are dropped.
fn write_lines(entries: &Receiver<Entry>, mut output: impl Write) {
    let mut batch = Vec::new();
    while let Ok(first) = entries.recv() {
        let mut flush_requests = Vec::new();
        for entry in std::iter::once(first).chain(entries.try_iter()) {
            match entry {
                Entry::Line(line) => batch.extend_from_slice(&line),
                Entry::Flush(done) => flush_requests.push(done),
            }
        }
        // A closed standard output must not end the process, and the error cannot be logged.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        for done in flush_requests {
            // Fails if the guard has timed out and no longer waits.
            let _ = done.try_send(());
        }
    }
}

#[cfg(test)]
mod tests;
