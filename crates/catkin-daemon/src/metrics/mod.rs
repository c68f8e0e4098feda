//! The daemon's metrics and the page from which they are scraped. `docs/OPERATIONS.md` lists the names.

use crate::Error;
use catkin_metrics::{Counter, Histogram, Instruments};
use error_stack::{Report, ResultExt};
use std::time::Duration;

/// The metric instruments of a daemon.
#[derive(Debug)]
pub struct Metrics {
    instruments: Instruments,
    wait: Histogram,
    answers: Counter,
    placements: Counter,
    tasks_lost: Counter,
    takeovers: Counter,
}

/// The bucket bounds of the waiting time histogram, in seconds.
const WAIT_BOUNDS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 6.9, 30.0];

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// Returns [`Error::Metrics`] if the exporter can't be registered.
    pub fn new() -> Result<Self, Report<Error>> {
        let instruments = Instruments::new("catkincart").change_context(Error::Metrics)?;
        Ok(Self {
            wait: instruments.histogram("catkin_wait_seconds", &WAIT_BOUNDS),
            answers: instruments.counter("catkin_answers"),
            placements: instruments.counter("catkin_placements"),
            tasks_lost: instruments.counter("catkin_tasks_lost"),
            takeovers: instruments.counter("catkin_takeovers"),
            instruments,
        })
    }

    /// Records how long a request or task of a row waited before it started.
    pub fn record_wait(&self, row: &str, wait: Duration) {
        self.wait.record(wait, &[("row", row)]);
    }

    /// Counts a response to a caller, with its result code.
    pub fn count_answer(&self, row: &str, code: u16) {
        self.answers.add(&[("row", row), ("code", &code.to_string())]);
    }

    /// Counts the start of a task.
    pub fn count_placement(&self, row: &str) {
        self.placements.add(&[("row", row)]);
    }

    /// Counts a task that was lost with its worker and has to run again.
    pub fn count_lost_task(&self, row: &str) {
        self.tasks_lost.add(&[("row", row)]);
    }

    /// Counts a takeover of a shard.
    pub fn count_takeover(&self) {
        self.takeovers.add(&[]);
    }

    /// Registers a counter whose value `f` is read whenever the page is scraped.
    pub fn observe(
        &self,
        name: &'static str,
        label: Option<&(&'static str, String)>,
        f: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let label: Vec<(&'static str, &str)> =
            label.into_iter().map(|(k, v)| (*k, v.as_str())).collect();
        self.instruments.gauge(name, &label, f);
    }

    /// Returns the metrics page.
    #[must_use]
    pub fn page(&self) -> String {
        self.instruments.render()
    }

    /// Shuts the exporter down.
    pub fn shutdown(&self) {
        self.instruments.shutdown();
    }
}
