//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes `record.txt`.
pub struct Record {
    began: Instant,
    out: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), out: Mutex::new(File::create(path)?) })
    }

    /// The time since the beginning.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut out = self.out.lock().expect("a writer panicked");
        let _ = writeln!(out, "{:8.3} s  {text}", self.now().as_secs_f64());
    }
}
