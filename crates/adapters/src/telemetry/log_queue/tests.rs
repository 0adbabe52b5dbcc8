//! Logging must not block when standard output does.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use super::LogQueue;
use super::MAX_QUEUED_LINES;

/// Output that blocks while its mutex is held.
#[derive(Clone, Default)]
struct BlockableOutput(Arc<Mutex<Vec<u8>>>);

impl Write for BlockableOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_dropped_without_blocking_when_queue_is_full() {
    let output = BlockableOutput::default();
    let blocking = output.0.lock().expect("nobody panicked");
    let (mut queue, guard) = LogQueue::start(output.clone());
    // This loop would never end if writing a line waited for the output.
    for _ in 0..MAX_QUEUED_LINES * 3 {
        queue.write_all(b"line\n").expect("never fails");
    }
    drop(blocking);
    drop(guard);
    let is_written = || output.0.lock().expect("nobody panicked").starts_with(b"line\nline\n");
    while !is_written() {
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn dropping_guard_waits_until_lines_are_written() {
    let output = BlockableOutput::default();
    let (mut queue, guard) = LogQueue::start(output.clone());
    queue.write_all(b"first\n").expect("never fails");
    drop(guard);
    assert_eq!(&**output.0.lock().expect("nobody panicked"), b"first\n");
}
