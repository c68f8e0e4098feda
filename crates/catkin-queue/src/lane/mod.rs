//! The queue of one row.

use catkin_types::Row;
use catkin_types::row::Urgency;
use std::collections::VecDeque;
use std::time::Duration;

/// The weight of the newest sample in the mean time between two takes.
const SMOOTHING: f64 = 0.1;

#[derive(Debug)]
struct Waiting<T> {
    item: T,
    since: Duration,
}

/// Entries of one row, first in, first out.
#[derive(Debug)]
pub(crate) struct Lane<T> {
    items: VecDeque<Waiting<T>>,
    weight: f64,
    urgency: Urgency,
    max_wait: Duration,
    start_tag: f64,
    last_take: Duration,
    mean_gap: Option<f64>,
}

impl<T> Lane<T> {
    pub fn new(now: Duration) -> Self {
        Self {
            items: VecDeque::new(),
            weight: 1.0,
            urgency: Urgency::Normal,
            max_wait: Duration::MAX,
            start_tag: 0.0,
            last_take: now,
            mean_gap: None,
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

    /// The mean time between takes of a backlogged row, for each entry that is ahead.
    #[expect(clippy::cast_precision_loss, reason = "queue bounds are far below 2^52")]
    pub fn expected_wait(&self) -> Duration {
        let gap = self.mean_gap.unwrap_or(0.0);
        Duration::try_from_secs_f64(gap * self.items.len() as f64).unwrap_or(Duration::MAX)
    }

    pub fn push(&mut self, item: T, now: Duration, virtual_time: f64) {
        if self.items.is_empty() {
            // A row that was idle starts at the present turn: it has saved up nothing and owes nothing.
            self.start_tag = self.start_tag.max(virtual_time);
            self.last_take = now;
        }
        self.items.push_back(Waiting { item, since: now });
    }

    pub fn pop(&mut self, now: Duration) -> Option<T> {
        let w = self.items.pop_front()?;
        self.start_tag += 1.0 / self.weight;
        let gap = now.saturating_sub(self.last_take).as_secs_f64();
        self.mean_gap = Some(self.mean_gap.map_or(gap, |m| m + SMOOTHING * (gap - m)));
        self.last_take = now;
        Some(w.item)
    }

    pub fn remove(&mut self, dead: impl Fn(&T) -> bool, out: &mut Vec<T>) {
        let (gone, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.items).into_iter().partition(|w| dead(&w.item));
        self.items = kept;
        out.extend(gone.into_iter().map(|w| w.item));
    }

    pub fn expire(&mut self, now: Duration) -> Vec<T> {
        let mut out = Vec::new();
        while self.items.front().is_some_and(|w| now.saturating_sub(w.since) > self.max_wait) {
            out.extend(self.items.pop_front().map(|w| w.item));
        }
        out
    }
}
