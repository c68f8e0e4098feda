//! The FIFO queue of one row.

use catkin_types::Row;
use catkin_types::row::Urgency;
use std::collections::VecDeque;
use std::time::Duration;

/// The weight of the newest sample in the moving average of the interval between two pops.
const SMOOTHING: f64 = 0.1;

#[derive(Debug)]
struct Entry<T> {
    item: T,
    enqueued_at: Duration,
}

/// The waiting entries of one row, first in, first out.
#[derive(Debug)]
pub(crate) struct RowQueue<T> {
    items: VecDeque<Entry<T>>,
    weight: f64,
    urgency: Urgency,
    max_wait: Duration,
    start_tag: f64,
    last_pop: Duration,
    mean_pop_interval_s: Option<f64>,
}

impl<T> RowQueue<T> {
    pub fn new(now: Duration) -> Self {
        Self {
            items: VecDeque::new(),
            weight: 1.0,
            urgency: Urgency::Normal,
            max_wait: Duration::MAX,
            start_tag: 0.0,
            last_pop: now,
            mean_pop_interval_s: None,
        }
    }

    pub fn configure(&mut self, row: &Row) {
        self.weight = f64::from(row.weight.max(1));
        self.urgency = row.urgency;
        self.max_wait = Duration::from_millis(row.max_wait_ms);
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn weight(&self) -> f64 {
        self.weight
    }

    pub fn urgency(&self) -> Urgency {
        self.urgency
    }

    pub fn start_tag(&self) -> f64 {
        self.start_tag
    }

    /// Returns the mean interval between pops while the row is backlogged, times the number of entries ahead.
    #[expect(clippy::cast_precision_loss, reason = "queue bounds are far below 2^52")]
    pub fn expected_wait(&self) -> Duration {
        let interval_s = self.mean_pop_interval_s.unwrap_or(0.0);
        Duration::try_from_secs_f64(interval_s * self.items.len() as f64).unwrap_or(Duration::MAX)
    }

    pub fn push(&mut self, item: T, now: Duration, virtual_time: f64) {
        if self.items.is_empty() {
            // A row that was idle resumes at the current virtual time: it has neither credit nor debt from its idle
            // time.
            self.start_tag = self.start_tag.max(virtual_time);
            self.last_pop = now;
        }
        self.items.push_back(Entry { item, enqueued_at: now });
    }

    pub fn pop(&mut self, now: Duration) -> Option<T> {
        let w = self.items.pop_front()?;
        self.start_tag += 1.0 / self.weight;
        let interval_s = now.saturating_sub(self.last_pop).as_secs_f64();
        self.mean_pop_interval_s =
            Some(self.mean_pop_interval_s.map_or(interval_s, |m| m + SMOOTHING * (interval_s - m)));
        self.last_pop = now;
        Some(w.item)
    }

    pub fn remove(&mut self, predicate: impl Fn(&T) -> bool, removed_items: &mut Vec<T>) {
        let (removed, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.items).into_iter().partition(|w| predicate(&w.item));
        self.items = kept;
        removed_items.extend(removed.into_iter().map(|w| w.item));
    }

    pub fn expire(&mut self, now: Duration) -> Vec<T> {
        let mut removed_items = Vec::new();
        while self.items.front().is_some_and(|w| now.saturating_sub(w.enqueued_at) > self.max_wait)
        {
            removed_items.extend(self.items.pop_front().map(|w| w.item));
        }
        removed_items
    }
}
