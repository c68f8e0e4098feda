//! What was sent, answered and run: the file `record.txt` of a case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("no record");
        Self { started: Instant::now(), file: Mutex::new(file) }
    }

    /// The time since the start of the case in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>8.3} {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
