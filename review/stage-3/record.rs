//! The record of a case.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// A file with a line for each thing that was sent, answered or run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|_| crate::give_up("the record cannot be written"));
        Self { file: Mutex::new(file), start: Instant::now() }
    }

    /// Writes a line to the record and to standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}
