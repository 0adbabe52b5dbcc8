//! Log lines on their way to standard output.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

/// Lines that wait to be written, at most: about 2 MB.
const QUEUED_LINES: usize = 4_096;

/// Longest time for which a process that ends waits until its lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// What the writing thread is told.
enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Takes log lines without ever waiting for where they go.
///
/// A line that finds no place is dropped and counted in
/// `cranberryvalve_log_lines_dropped_total`.
pub(super) struct LineQueue {
    entries: SyncSender<Entry>,
    line: Vec<u8>,
}

/// Waits when it is dropped until the lines so far are written.
#[must_use = "dropping it waits until the lines are written"]
pub struct LogGuard(SyncSender<Entry>);

impl LineQueue {
    /// Starts the thread that writes to `output`.
    pub(super) fn start(output: impl Write + Send + 'static) -> (Self, LogGuard) {
        let (entries, received) = sync_channel(QUEUED_LINES);
        // Without a thread the receiver is dropped, and all lines count as dropped.
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&received, output));
        (Self { entries: entries.clone(), line: Vec::new() }, LogGuard(entries))
    }
}

impl Write for LineQueue {
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
        // When the queue is full, nobody reads the lines, and waiting would not help.
        if self.0.try_send(Entry::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes all lines that wait at once.
fn write_lines(entries: &Receiver<Entry>, mut output: impl Write) {
    let mut batch = Vec::new();
    while let Ok(first) = entries.recv() {
        let mut flushed = Vec::new();
        for entry in std::iter::once(first).chain(entries.try_iter()) {
            match entry {
                Entry::Line(line) => batch.extend_from_slice(&line),
                Entry::Flush(done) => flushed.push(done),
            }
        }
        // A closed standard output must not end the process; there is nowhere to report it.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        for done in flushed {
            // Whoever asked has stopped to wait.
            let _ = done.try_send(());
        }
    }
}

#[cfg(test)]
mod tests;
