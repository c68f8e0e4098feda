//! Durability: which changes are written, and what may only happen after the write.

use super::Cell;
use crate::action::Write;
use crate::job::State;
use crate::step::{Hold, JobState};
use crate::task::{StepRef, Task};
use crate::worker::{Phase, Worker, WorkerIndex};
use catkin_types::JobId;
use std::collections::HashMap;
use std::time::Duration;

/// The entries of a transaction that the progress of a job takes.
const PROGRESS_ENTRIES: usize = 1;
/// The entries that the end of a job takes: its end is written, its job and its progress are removed.
const END_ENTRIES: usize = 3;

impl Cell {
    /// Marks the job as changed, so that its progress is written. Returns the version that includes the change.
    pub(super) fn mark_dirty(&mut self, id: JobId) -> u64 {
        let Some(j) = self.jobs.get_mut(&id) else { return 0 };
        j.version += 1;
        if !std::mem::replace(&mut j.dirty, true) {
            self.dirty_jobs.push_back(id);
        }
        j.version
    }

    /// Returns whether `version` of the job is durable. A job that is no longer tracked ended durably.
    pub(super) fn is_durable(&self, id: JobId, version: u64) -> bool {
        self.jobs.get(&id).is_none_or(|j| j.durable_version >= version)
    }

    /// Returns the rows to write for changed jobs for which `owned` holds, those that have waited longest first, with at
    /// most `max_entries` entries of a transaction together. The caller has at most one such batch in flight for the
    /// same jobs, until [`Cell::handle_written`].
    pub fn take_writes(&mut self, owned: impl Fn(JobId) -> bool, max_entries: usize) -> Vec<Write> {
        let mut writes = Vec::new();
        let mut entries = 0;
        let Self { dirty_jobs, jobs, .. } = self;
        dirty_jobs.retain(|id| {
            if !owned(*id) {
                return true;
            }
            let Some(j) = jobs.get_mut(id) else { return false };
            let count = if j.outcome.is_some() { END_ENTRIES } else { PROGRESS_ENTRIES };
            if entries + count > max_entries {
                return true;
            }
            entries += count;
            j.dirty = false;
            j.writing_version = Some(j.version);
            writes.push(match j.outcome {
                Some(state) => Write::Ended(*id, state),
                None => Write::Progress(*id, j.to_progress()),
            });
            false
        });
        writes
    }

    /// Handles a batch that became durable.
    pub fn handle_written(&mut self, batch: &[Write], now: Duration) {
        for w in batch {
            match w {
                Write::Progress(id, _) => self.record_durable_progress(*id),
                Write::Ended(id, state) => self.record_durable_end(*id, *state, now),
            }
        }
        self.acknowledge();
    }

    /// Handles rows that the table service refuses for good. Each is written again only after its job has changed. Until
    /// then the job holds no reservations and starts no tasks, because no start can become durable.
    pub fn handle_refused(&mut self, writes: &[Write]) {
        for w in writes {
            let (Write::Progress(id, _) | Write::Ended(id, _)) = w;
            let Some(j) = self.jobs.get_mut(id) else { continue };
            j.writing_version = None;
            j.hold = j.hold.or(Some(Hold::WriteRefused));
            for r in j.step_refs(*id) {
                self.release_reservations(r);
                self.update_waiting(r);
            }
        }
    }

    /// Releases the room that is reserved for tasks of a step that were not ordered to start.
    fn release_reservations(&mut self, r: StepRef) {
        self.reserved_steps.remove(&r);
        let Some(step) = self.step(r) else { return };
        let assigned =
            (0..).zip(&step.tasks).filter_map(|(i, t)| Some((r.task(i), t.assigned_to?)));
        let is_reserved = |(task, at): &(Task, WorkerIndex)| {
            let assignment = self.worker(*at).assignments.get(task);
            assignment.is_some_and(|a| a.phase == Phase::Reserved)
        };
        let reserved: Vec<(Task, WorkerIndex)> = assigned.filter(is_reserved).collect();
        for (task, at) in reserved {
            self.worker_mut(at).release(&task);
            self.clear_worker(task);
        }
    }

    fn record_durable_progress(&mut self, id: JobId) {
        let Some(j) = self.jobs.get_mut(&id) else { return };
        j.durable_version = j.writing_version.take().unwrap_or(j.durable_version);
        if j.hold == Some(Hold::WriteRefused) {
            j.hold = None;
            for r in j.step_refs(id) {
                self.update_waiting(r);
            }
        }
    }

    fn record_durable_end(&mut self, id: JobId, state: State, now: Duration) {
        self.jobs.remove(&id);
        self.ended.insert(id, (state, now));
    }

    /// Advances the acknowledgements of all workers past the ends that are durable.
    fn acknowledge(&mut self) {
        let Self { workers, jobs, .. } = self;
        for w in workers {
            acknowledge(w, jobs);
        }
    }

    /// Advances the acknowledgement of one worker past the ends that are durable.
    pub(super) fn acknowledge_worker(&mut self, worker: WorkerIndex) {
        let Self { workers, jobs, .. } = self;
        acknowledge(&mut workers[worker.index()], jobs);
    }
}

fn acknowledge(w: &mut Worker, jobs: &HashMap<JobId, JobState>) {
    let durable =
        |(id, version): (JobId, u64)| jobs.get(&id).is_none_or(|j| j.durable_version >= version);
    while let Some(end) = w.current.unacknowledged.front() {
        if !end.required_version.is_none_or(durable) {
            break;
        }
        w.current.acknowledged = end.number;
        w.current.unacknowledged.pop_front();
    }
}
