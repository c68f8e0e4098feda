//! Metrics, and the page from which they are scraped. `docs/OPERATIONS.md` has the names.

use crate::Error;
use catkin_metrics::{Counter, Histogram, Instruments};
use error_stack::{Report, ResultExt};
use std::time::Duration;

/// The instruments of a daemon.
#[derive(Debug)]
pub struct Metrics {
    all: Instruments,
    wait: Histogram,
    answers: Counter,
    placements: Counter,
    lost: Counter,
    takeovers: Counter,
}

/// The bounds of the waiting-time buckets, in seconds.
const WAIT_BOUNDS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 6.9, 30.0];

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    /// The exporter refused its registry.
    pub fn new() -> Result<Self, Report<Error>> {
        let all = Instruments::new("catkincart").change_context(Error::Metrics)?;
        Ok(Self {
            wait: all.histogram("catkin_wait_seconds", &WAIT_BOUNDS),
            answers: all.counter("catkin_answers"),
            placements: all.counter("catkin_placements"),
            lost: all.counter("catkin_tasks_lost"),
            takeovers: all.counter("catkin_takeovers"),
            all,
        })
    }

    /// Notes how long work of a row waited before it started.
    pub fn waited(&self, row: &str, wait: Duration) {
        self.wait.record(wait, &[("row", row)]);
    }

    /// Notes an answer to a caller.
    pub fn answered(&self, row: &str, code: u16) {
        self.answers.add(&[("row", row), ("code", &code.to_string())]);
    }

    /// Notes the start of a task.
    pub fn placed(&self, row: &str) {
        self.placements.add(&[("row", row)]);
    }

    /// Notes a task that has to run again.
    pub fn task_lost(&self, row: &str) {
        self.lost.add(&[("row", row)]);
    }

    /// Notes that a shard was taken over.
    pub fn takeover(&self) {
        self.takeovers.add(&[]);
    }

    /// A counter whose value is asked for when the page is read.
    pub fn observe(
        &self,
        name: &'static str,
        label: Option<&(&'static str, String)>,
        f: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let label: Vec<(&'static str, &str)> =
            label.into_iter().map(|(k, v)| (*k, v.as_str())).collect();
        self.all.observe(name, &label, f);
    }

    /// The page.
    #[must_use]
    pub fn page(&self) -> String {
        self.all.page()
    }

    /// Ends the export.
    pub fn shutdown(&self) {
        self.all.shutdown();
    }
}
