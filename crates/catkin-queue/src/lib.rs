//! Admission into bounded queues, one for each row of weights and limits, and fair order among them.
//!
//! The order is start-time fair queueing over the rows' weights. An urgent row may go ahead of others by a bounded
//! amount of work, so that it waits less and still gets no more than its share for long.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod budget;
pub mod error;
mod lane;

pub use budget::Budget;
pub use error::Rejected;

use catkin_types::row::Urgency;
use catkin_types::{Row, RowName};
use lane::Lane;
use std::collections::BTreeMap;
use std::time::Duration;

/// The settings of a [`Queue`].
#[derive(Clone, Debug)]
pub struct Options {
    /// How far an urgent row may run ahead of its fair turn, in units of cost.
    pub urgent_lead: f64,
    /// How many entries may wait in all rows together.
    pub total_bound: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { urgent_lead: 32.0, total_bound: 100_000 }
    }
}

/// Entries that wait, by row.
#[derive(Debug)]
pub struct Queue<T> {
    opt: Options,
    lanes: BTreeMap<RowName, Lane<T>>,
    virtual_time: f64,
    len: usize,
}

impl<T> Queue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        Self { opt, lanes: BTreeMap::new(), virtual_time: 0.0, len: 0 }
    }

    /// How many entries wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many entries of the row wait.
    #[must_use]
    pub fn len_of(&self, row: &str) -> usize {
        self.lanes.get(row).map_or(0, Lane::len)
    }

    /// How long an entry of the row that comes now is expected to wait.
    #[must_use]
    pub fn expected_wait(&self, row: &str) -> Duration {
        self.lanes.get(row).map_or(Duration::ZERO, Lane::expected_wait)
    }

    /// Why an entry of the row would not be let in now, if so.
    #[must_use]
    pub fn probe(&self, row: &Row) -> Option<Rejected> {
        let wait = self.expected_wait(&row.name);
        let retry_after = wait.max(MIN_RETRY);
        if self.len >= self.opt.total_bound || self.len_of(&row.name) as u64 >= row.queue_bound {
            return Some(Rejected::Full { retry_after });
        }
        let late = wait > Duration::from_millis(row.max_wait_ms);
        late.then_some(Rejected::TooLong { expected: wait, retry_after })
    }

    /// Lets an entry wait.
    ///
    /// # Errors
    /// The row's queue, or the whole, is full, or the expected wait is longer than the row's bound. Nothing is kept
    /// of the entry then.
    pub fn offer(&mut self, row: &Row, item: T, now: Duration) -> Result<(), Rejected> {
        if let Some(rejected) = self.probe(row) {
            return Err(rejected);
        }
        let lane = self.lanes.entry(row.name.clone()).or_insert_with(|| Lane::new(now));
        lane.configure(row);
        lane.push(item, now, self.virtual_time);
        self.len += 1;
        Ok(())
    }

    /// Takes the entry whose turn it is, among rows for which `runnable` holds.
    pub fn take(
        &mut self,
        now: Duration,
        runnable: impl Fn(&RowName) -> bool,
    ) -> Option<(RowName, T)> {
        let name = self.next_row(runnable)?;
        self.virtual_time = self.virtual_time.max(self.least_tag());
        let item = self.lanes.get_mut(&name)?.pop(now)?;
        self.len -= 1;
        Some((name, item))
    }

    /// The start tag of the row that is furthest behind. A row that was idle starts there.
    fn least_tag(&self) -> f64 {
        self.waiting().map(|(_, l)| l.start_tag()).fold(f64::INFINITY, f64::min)
    }

    fn waiting(&self) -> impl Iterator<Item = (&RowName, &Lane<T>)> {
        self.lanes.iter().filter(|(_, l)| l.len() > 0)
    }

    /// Drops every entry that `dead` names, in one pass, and returns them.
    pub fn remove(&mut self, dead: impl Fn(&T) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.remove(&dead, &mut out);
        }
        self.len -= out.len();
        out
    }

    /// Drops every entry that waits longer than its row's bound at `now`, and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<(RowName, T)> {
        let mut out = Vec::new();
        for (name, lane) in &mut self.lanes {
            out.extend(lane.expire(now).into_iter().map(|x| (name.clone(), x)));
        }
        self.len -= out.len();
        out
    }

    /// The row with the least start tag; urgent rows are let ahead by a bounded lead.
    fn next_row(&self, runnable: impl Fn(&RowName) -> bool) -> Option<RowName> {
        let weights: f64 = self.waiting().map(|(_, l)| l.weight()).sum();
        // The same virtual time for every urgent row, so that a flood of one has no lead over the others.
        let lead = self.opt.urgent_lead / weights.max(1.0);
        let tag = |l: &Lane<T>| match l.urgency() {
            Urgency::Urgent => l.start_tag() - lead,
            Urgency::Normal | Urgency::Low => l.start_tag(),
        };
        let runnable = self.waiting().filter(|(n, _)| runnable(n));
        let best = runnable.min_by(|a, b| tag(a.1).total_cmp(&tag(b.1)));
        best.map(|(n, _)| n.clone())
    }
}

/// The shortest time after which a rejected caller is told to come again.
pub const MIN_RETRY: Duration = Duration::from_millis(100);
