//! A blocked output stops nobody.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use super::LineQueue;
use super::QUEUED_LINES;

/// Output that takes nothing until it is released.
#[derive(Clone, Default)]
struct Blocked(Arc<Mutex<Vec<u8>>>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_queue_are_dropped_without_waiting() {
    let output = Blocked::default();
    let held = output.0.lock().expect("nobody panicked");
    let (mut queue, guard) = LineQueue::start(output.clone());
    // Would wait for good if a line waited for its output.
    for _ in 0..QUEUED_LINES * 3 {
        queue.write_all(b"line\n").expect("never fails");
    }
    drop(held);
    drop(guard);
    let is_written = || output.0.lock().expect("nobody panicked").starts_with(b"line\nline\n");
    while !is_written() {
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn guard_waits_until_lines_are_written() {
    let output = Blocked::default();
    let (mut queue, guard) = LineQueue::start(output.clone());
    queue.write_all(b"first\n").expect("never fails");
    drop(guard);
    assert_eq!(&**output.0.lock().expect("nobody panicked"), b"first\n");
}
