//! Admission into bounded queues, one for each row of the weights and limits table, and fair queueing among them.
//!
//! The order is start-time fair queueing over the rows' weights. An urgent row may run ahead of the others by a bounded
//! amount of work: it waits less, but in the long run gets no more than its share.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod budget;
pub mod error;
mod row_queue;

pub use budget::RetryBudget;
pub use error::Rejected;

use catkin_types::row::Urgency;
use catkin_types::{Row, RowName};
use row_queue::RowQueue;
use std::collections::BTreeMap;
use std::time::Duration;

/// Options of a [`Queue`].
#[derive(Clone, Debug)]
pub struct Options {
    /// How far an urgent row may run ahead of its fair share, in units of cost. One entry costs 1.
    pub urgent_lead: f64,
    /// The maximum number of waiting entries in all rows together.
    pub total_bound: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { urgent_lead: 32.0, total_bound: 100_000 }
    }
}

/// Bounded per-row queues with weighted fair dequeueing.
#[derive(Debug)]
pub struct Queue<T> {
    options: Options,
    queues: BTreeMap<RowName, RowQueue<T>>,
    virtual_time: f64,
    len: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, queues: BTreeMap::new(), virtual_time: 0.0, len: 0 }
    }

    /// Returns the number of waiting entries in all rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no entry waits in any row.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting entries of the row.
    #[must_use]
    pub fn row_len(&self, row: &str) -> usize {
        self.queues.get(row).map_or(0, RowQueue::len)
    }

    /// Returns how long an entry of the row that arrives now is expected to wait. Zero for a row without a history.
    #[must_use]
    pub fn expected_wait(&self, row: &str) -> Duration {
        self.queues.get(row).map_or(Duration::ZERO, RowQueue::expected_wait)
    }

    /// Returns why an entry of the row would be rejected now, or `None` if it would be admitted.
    #[must_use]
    pub fn check_admission(&self, row: &Row) -> Option<Rejected> {
        let wait = self.expected_wait(&row.name);
        let retry_after = wait.max(MIN_RETRY_AFTER);
        if self.len >= self.options.total_bound || self.row_len(&row.name) as u64 >= row.queue_bound
        {
            return Some(Rejected::Full { retry_after });
        }
        let late = wait > Duration::from_millis(row.max_wait_ms);
        late.then_some(Rejected::WaitTooLong { expected: wait, retry_after })
    }

    /// Admits an entry to its row's queue.
    ///
    /// # Errors
    /// Returns [`Rejected`] if the row's queue or all queues together are full, or if the expected wait is longer than
    /// the row's bound. The entry is dropped in that case.
    pub fn offer(&mut self, row: &Row, item: T, now: Duration) -> Result<(), Rejected> {
        if let Some(rejected) = self.check_admission(row) {
            return Err(rejected);
        }
        let queue = self.queues.entry(row.name.clone()).or_insert_with(|| RowQueue::new(now));
        queue.configure(row);
        queue.push(item, now, self.virtual_time);
        self.len += 1;
        Ok(())
    }

    /// Removes and returns the next entry in fair order, among the rows for which `runnable` holds.
    pub fn take(
        &mut self,
        now: Duration,
        runnable: impl Fn(&RowName) -> bool,
    ) -> Option<(RowName, T)> {
        let name = self.next_row(runnable)?;
        self.virtual_time = self.virtual_time.max(self.min_start_tag());
        let item = self.queues.get_mut(&name)?.pop(now)?;
        self.len -= 1;
        Some((name, item))
    }

    /// Returns the smallest start tag of the backlogged rows. A row that was idle resumes there.
    fn min_start_tag(&self) -> f64 {
        self.backlogged().map(|(_, l)| l.start_tag()).fold(f64::INFINITY, f64::min)
    }

    fn backlogged(&self) -> impl Iterator<Item = (&RowName, &RowQueue<T>)> {
        self.queues.iter().filter(|(_, l)| l.len() > 0)
    }

    /// Removes and returns every entry for which `dead` holds, in one pass.
    pub fn remove(&mut self, predicate: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            queue.remove(&predicate, &mut removed);
        }
        self.len -= removed.len();
        removed
    }

    /// Removes and returns every entry that has waited longer than its row's bound at `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<(RowName, T)> {
        let mut removed = Vec::new();
        for (name, queue) in &mut self.queues {
            removed.extend(queue.expire(now).into_iter().map(|x| (name.clone(), x)));
        }
        self.len -= removed.len();
        removed
    }

    /// Returns the runnable row with the smallest start tag, where urgent rows have a bounded lead.
    fn next_row(&self, runnable: impl Fn(&RowName) -> bool) -> Option<RowName> {
        let weights: f64 = self.backlogged().map(|(_, l)| l.weight()).sum();
        // Every urgent row has the same lead in virtual time, so that a flood in one has no lead over the other urgent
        // rows.
        let lead = self.options.urgent_lead / weights.max(1.0);
        let tag = |l: &RowQueue<T>| match l.urgency() {
            Urgency::Urgent => l.start_tag() - lead,
            Urgency::Normal | Urgency::Low => l.start_tag(),
        };
        let runnable = self.backlogged().filter(|(n, _)| runnable(n));
        let best = runnable.min_by(|a, b| tag(a.1).total_cmp(&tag(b.1)));
        best.map(|(n, _)| n.clone())
    }
}

/// The shortest retry delay in an answer to a rejected caller.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
