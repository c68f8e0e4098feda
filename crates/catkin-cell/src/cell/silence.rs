//! Workers that do not answer: when nothing that an owner has started there can run any more.
//!
//! An owner requests no lease from a silent worker and starts nothing there, so everything on it ends. The owner row names
//! such workers, with the time that is left: a successor waits for no longer than that. An owner that has put a worker on
//! record does not use it before a row without it is written. Such a write fails once there is a successor.

use super::Cell;
use crate::event::Event;
use crate::worker::{Worker, WorkerIndex};
use catkin_types::WorkerId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a worker is silent before it is put on record. A single lost answer is not worth the pause that follows the
/// next one.
const RECORD_DELAY: Duration = Duration::from_millis(500);
/// Upper bound on the workers on record, for the size of the owner row. Successors wait longer for others.
const MAX_RECORDED: usize = 64;

/// Silent workers, as the owner row is to name them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SilentWorkers {
    /// Rises with each change in this term.
    pub version: u64,
    /// The time from which nothing runs that owners have started, by worker.
    pub idle_from: BTreeMap<WorkerId, Duration>,
}

/// The silent workers of a term.
#[derive(Debug, Default)]
pub(super) struct Silences {
    recorded: SilentWorkers,
    /// Workers that are no longer on record, and the first version without them. A row that names them may still be the
    /// newest one.
    withdrawn: BTreeMap<WorkerId, u64>,
    /// Whether workers of earlier owners that are no longer listed were put on record.
    unlisted_recorded: bool,
}

impl Silences {
    /// Returns whether the owner row may name the worker.
    fn is_bound(&self, id: &WorkerId) -> bool {
        self.recorded.idle_from.contains_key(id) || self.withdrawn.contains_key(id)
    }

    /// Returns whether nothing runs on the worker that owners have started.
    pub(super) fn is_idle(&self, id: &WorkerId, now: Duration) -> bool {
        self.recorded.idle_from.get(id).is_some_and(|from| now > *from)
    }

    /// Returns the workers on which nothing runs that owners have started.
    pub(super) fn idle(&self, now: Duration) -> impl Iterator<Item = &WorkerId> + '_ {
        self.recorded.idle_from.iter().filter(move |(_, from)| now > **from).map(|(id, _)| id)
    }

    /// Puts a worker on record. Returns whether there was room for it.
    fn record(&mut self, id: &WorkerId, idle_from: Duration) -> bool {
        if self.recorded.idle_from.len() >= MAX_RECORDED {
            return false;
        }
        self.recorded.version += 1;
        self.withdrawn.remove(id);
        self.recorded.idle_from.insert(id.clone(), idle_from);
        true
    }

    /// Takes a worker off the record. Returns the event if it was on it.
    pub(super) fn withdraw(&mut self, id: &WorkerId) -> Option<Event> {
        self.recorded.idle_from.remove(id)?;
        self.recorded.version += 1;
        self.withdrawn.insert(id.clone(), self.recorded.version);
        Some(Event::SilenceChanged { worker: id.clone(), idle_in: None })
    }
}

impl Cell {
    /// Takes over the silent workers that the row of the previous owner names, with times of this owner's clock.
    pub fn inherit_silent_workers(&mut self, silent: SilentWorkers) {
        self.silences.recorded = silent;
    }

    /// Returns the silent workers that the next owner row has to name.
    #[must_use]
    pub fn silent_workers(&self) -> &SilentWorkers {
        &self.silences.recorded
    }

    /// Handles that the owner row names the silent workers of `version` or a later one. Workers that are not among them
    /// can be used again.
    pub fn handle_silent_workers_written(&mut self, version: u64) {
        self.silences.withdrawn.retain(|_, without| *without > version);
    }

    /// Returns whether the owner row may name the worker as silent. A successor then takes it that nothing runs there after
    /// the time in the row.
    pub(super) fn is_recorded_silent(&self, idx: WorkerIndex) -> bool {
        self.silences.is_bound(&self.worker(idx).info.id)
    }

    /// Puts workers on record that have fallen silent.
    pub(super) fn record_silent_workers(&mut self, now: Duration) {
        let is_due = |w: &Worker| {
            let silent_since = w.silent_since.filter(|at| now >= *at + RECORD_DELAY)?;
            let idle_from = silent_since.max(self.earlier_owners_until) + self.max_run_time();
            let is_new = !self.silences.recorded.idle_from.contains_key(&w.info.id);
            (is_new && now <= idle_from && !w.replaced).then(|| (w.info.id.clone(), idle_from))
        };
        let due: Vec<(WorkerId, Duration)> = self.workers.iter().filter_map(is_due).collect();
        for (id, idle_from) in due {
            self.record_silence(id, idle_from, now);
        }
        if now >= self.started_at + RECORD_DELAY && !self.silences.unlisted_recorded {
            self.silences.unlisted_recorded = true;
            self.record_unlisted_workers(now);
        }
    }

    /// Puts workers on record that earlier owners have used and that are no longer listed.
    fn record_unlisted_workers(&mut self, now: Duration) {
        let idle_from = self.earlier_owners_until + self.max_run_time();
        let steps = self.jobs.values().flat_map(|j| &j.steps);
        let unlisted: BTreeSet<WorkerId> = steps
            .flat_map(|s| &s.unsettled)
            .filter(|id| !self.indices.contains_key(*id) && !self.silences.is_bound(id))
            .cloned()
            .collect();
        for id in unlisted {
            self.record_silence(id, idle_from, now);
        }
    }

    fn record_silence(&mut self, worker: WorkerId, idle_from: Duration, now: Duration) {
        if self.silences.record(&worker, idle_from) {
            let idle_in = Some(idle_from.saturating_sub(now));
            self.events.push(Event::SilenceChanged { worker, idle_in });
        }
    }
}
