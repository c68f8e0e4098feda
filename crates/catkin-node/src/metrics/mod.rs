//! The metrics of a daemon. `docs/OPERATIONS.md` lists their names.

use crate::Error;
use catkin_cell::cell::{Counts, Summary};
use catkin_cell::worker::{Reply, millis};
use catkin_metrics::{Counter, Histogram, Instruments};
use error_stack::{Report, ResultExt};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// A snapshot of the cell, taken by its owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct CellSnapshot {
    /// The current state of the cell.
    pub summary: Summary,
    /// The events of the current term.
    pub counts: Counts,
    /// The number of advice requests that wait for a daemon.
    pub asks_waiting: usize,
    /// How long the oldest of them has waited.
    pub longest_ask_wait: Duration,
}

/// The instruments of a daemon.
#[derive(Debug)]
pub struct Metrics {
    instruments: Instruments,
    answers: Counter,
    first_start: Histogram,
    table: Histogram,
    advice: Histogram,
    orders: Counter,
    takeovers: Counter,
    rows_refused: Counter,
    rows_unreadable: Counter,
    cell: Arc<Mutex<CellSnapshot>>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// The exporter refused its registry.
    pub fn new() -> Result<Self, Report<Error>> {
        let instruments = Instruments::new("catkincart").change_context(Error::Metrics)?;
        let metrics = Self {
            answers: instruments.counter("catkin_answers"),
            first_start: instruments.histogram("catkin_first_start_seconds", &BUCKETS),
            table: instruments.histogram("catkin_table_seconds", &BUCKETS),
            advice: instruments.histogram("catkin_advice_seconds", &BUCKETS),
            orders: instruments.counter("catkin_orders"),
            takeovers: instruments.counter("catkin_takeovers"),
            rows_refused: instruments.counter("catkin_rows_refused"),
            rows_unreadable: instruments.counter("catkin_rows_unreadable"),
            cell: Arc::default(),
            instruments,
        };
        metrics.observe_cell();
        Ok(metrics)
    }

    fn observe_cell(&self) {
        type Value = fn(&CellSnapshot) -> u64;
        let values: [(&'static str, &'static str, &str, Value); 21] = [
            ("catkin_cell_jobs", "state", "open", |c| c.summary.jobs as u64),
            ("catkin_cell_jobs", "state", "held", |c| c.summary.jobs_held as u64),
            ("catkin_cell_steps", "state", "waiting", |c| c.summary.steps_waiting as u64),
            ("catkin_cell_steps", "state", "reserved", |c| c.summary.steps_reserved as u64),
            ("catkin_cell_steps", "state", "unsettled", |c| c.summary.steps_unsettled as u64),
            ("catkin_cell_tasks", "state", "held", |c| c.summary.tasks_held as u64),
            ("catkin_cell_workers", "state", "known", |c| c.summary.workers as u64),
            ("catkin_cell_workers", "state", "usable", |c| c.summary.workers_usable as u64),
            ("catkin_cell_workers", "state", "on_trial", |c| c.summary.workers_on_trial as u64),
            ("catkin_cell_cpu_milli", "state", "used", |c| c.summary.cpu_used_milli),
            ("catkin_cell_cpu_milli", "state", "all", |c| c.summary.cpu_all_milli),
            ("catkin_cell_questions", "state", "waiting", |c| c.asks_waiting as u64),
            ("catkin_cell_questions", "state", "longest_wait_ms", |c| millis(c.longest_ask_wait)),
            ("catkin_cell_starts", "state", "ordered", |c| c.counts.starts),
            ("catkin_cell_reservations", "state", "expired", |c| c.counts.reservations_expired),
            ("catkin_cell_ends", "how", "done", |c| c.counts.done),
            ("catkin_cell_ends", "how", "failed", |c| c.counts.failed),
            ("catkin_cell_ends", "how", "lost", |c| c.counts.lost),
            ("catkin_cell_ends", "how", "declined", |c| c.counts.declined),
            ("catkin_cell_ends", "how", "job_given_up", |c| c.counts.jobs_given_up),
            ("catkin_cell_ends", "how", "gang_given_up", |c| c.counts.gangs_given_up),
        ];
        for (name, label, value, f) in values {
            let cell = Arc::clone(&self.cell);
            let read = move || f(&cell.lock().unwrap_or_else(PoisonError::into_inner));
            self.instruments.gauge(name, &[(label, value)], read);
        }
    }

    /// Exports a counter that another part keeps; `f` returns its value.
    pub fn observe(&self, name: &'static str, f: impl Fn() -> u64 + Send + Sync + 'static) {
        self.instruments.gauge(name, &[], f);
    }

    /// Counts a response to a client.
    pub fn record_response(&self, call: &str, status: u16) {
        self.answers.add(&[("call", call), ("status", &status.to_string())]);
    }

    /// Records that the first task of a job was ordered to start, `age` after the job was accepted. `advice` is the
    /// part of this time that the adviser took.
    pub fn record_first_start(&self, queue: &str, age: Duration, advice: Duration) {
        let advice = advice.min(age);
        for (phase, time) in
            [("all", age), ("advice", advice), ("room", age.saturating_sub(advice))]
        {
            self.first_start.record(time, &[("queue", queue), ("phase", phase)]);
        }
    }

    /// Records the duration and outcome of a call to the table service.
    pub fn record_table_call(&self, call: &str, outcome: &str, took: Duration) {
        self.table.record(took, &[("call", call), ("outcome", outcome)]);
    }

    /// Records the duration and outcome of a call to the adviser.
    pub fn record_advice(&self, outcome: &str, took: Duration) {
        self.advice.record(took, &[("outcome", outcome)]);
    }

    /// Counts an order to a worker by its reply.
    pub fn record_order(&self, order: &str, reply: Reply) {
        self.orders.add(&[("order", order), ("reply", &format!("{reply:?}").to_lowercase())]);
    }

    /// Counts a takeover of the cell by this daemon.
    pub fn count_takeover(&self) {
        self.takeovers.add(&[]);
    }

    /// Counts a row that the table service refuses for good.
    pub fn count_refused_row(&self, table: &str) {
        self.rows_refused.add(&[("table", table)]);
    }

    /// Counts a row of a job that can't be read.
    pub fn count_unreadable_row(&self, table: &str) {
        self.rows_unreadable.add(&[("table", table)]);
    }

    /// Replaces the exported snapshot of the cell.
    pub fn set_cell(&self, cell: CellSnapshot) {
        *self.cell.lock().unwrap_or_else(PoisonError::into_inner) = cell;
    }

    /// Renders the metrics page.
    #[must_use]
    pub fn render(&self) -> String {
        self.instruments.render()
    }
}
