//! Durability: which changes are written, and what may only happen after the write.

use super::Cell;
use crate::action::Write;
use crate::job::State;
use crate::step::JobState;
use crate::worker::{Worker, WorkerIndex};
use catkin_types::JobId;
use std::collections::HashMap;
use std::time::Duration;

impl Cell {
    /// Marks the job as changed, so that its progress is written. Returns the version that includes the change.
    pub(super) fn mark_dirty(&mut self, id: JobId) -> u64 {
        let Some(j) = self.jobs.get_mut(&id) else { return 0 };
        j.version += 1;
        self.dirty_jobs.insert(id);
        j.version
    }

    /// Returns whether `version` of the job is durable. A job that is no longer tracked ended durably.
    pub(super) fn is_durable(&self, id: JobId, version: u64) -> bool {
        self.jobs.get(&id).is_none_or(|j| j.durable_version >= version)
    }

    /// Returns the rows to write for at most `max_jobs` changed jobs for which `owned` holds. The caller has at most
    /// one such batch in flight for the same jobs, until [`Cell::handle_written`].
    pub fn take_writes(&mut self, owned: impl Fn(JobId) -> bool, max_jobs: usize) -> Vec<Write> {
        let ids: Vec<JobId> =
            self.dirty_jobs.iter().copied().filter(|id| owned(*id)).take(max_jobs).collect();
        let mut writes = Vec::with_capacity(ids.len());
        for id in ids {
            self.dirty_jobs.remove(&id);
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            j.writing_version = Some(j.version);
            writes.push(match j.outcome {
                Some(state) => Write::Ended(id, state),
                None => Write::Progress(id, j.to_progress()),
            });
        }
        writes
    }

    /// Handles a batch that became durable.
    pub fn handle_written(&mut self, batch: &[Write], now: Duration) {
        for w in batch {
            match w {
                Write::Progress(id, _) => {
                    if let Some(j) = self.jobs.get_mut(id) {
                        j.durable_version = j.writing_version.take().unwrap_or(j.durable_version);
                    }
                }
                Write::Ended(id, state) => self.record_durable_end(*id, *state, now),
            }
        }
        self.acknowledge();
    }

    fn record_durable_end(&mut self, id: JobId, state: State, now: Duration) {
        self.jobs.remove(&id);
        self.dirty_jobs.remove(&id);
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
    while let Some(end) = w.unacknowledged.front() {
        if !end.required_version.is_none_or(durable) {
            break;
        }
        w.acknowledged = end.number;
        w.unacknowledged.pop_front();
    }
}
