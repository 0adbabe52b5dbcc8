//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    pub started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("a writable folder"));
        Arc::new(Self { file, started_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }

    /// Writes a line that is shown as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
