//! What has to be durable before something else may happen.

use super::Cell;
use crate::action::Write;
use crate::job::State;
use crate::step::JobState;
use crate::worker::{No, Worker};
use catkin_types::JobId;
use std::collections::HashMap;
use std::time::Duration;

impl Cell {
    /// Something of the job changed that has to be durable. Returns the version that holds it.
    pub(super) fn mark_dirty(&mut self, id: JobId) -> u64 {
        let Some(j) = self.jobs.get_mut(&id) else { return 0 };
        j.version += 1;
        self.dirty_jobs.insert(id);
        j.version
    }

    /// Whether `version` of the job is durable. Jobs at their durable end are.
    pub(super) fn is_durable(&self, id: JobId, version: u64) -> bool {
        self.jobs.get(&id).is_none_or(|j| j.durable_version >= version)
    }

    /// Takes what has to be written of at most `most` jobs for which `mine` holds. One such batch at a time is
    /// under way for the same jobs, until [`Cell::written`].
    pub fn take_writes(&mut self, mine: impl Fn(JobId) -> bool, most: usize) -> Vec<Write> {
        let ids: Vec<JobId> =
            self.dirty_jobs.iter().copied().filter(|id| mine(*id)).take(most).collect();
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

    /// A batch is durable.
    pub fn written(&mut self, batch: &[Write], now: Duration) {
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

    /// Lets the workers forget the ends that are durable.
    fn acknowledge(&mut self) {
        let Self { workers, jobs, .. } = self;
        for w in workers {
            acknowledge(w, jobs);
        }
    }

    /// Lets one worker forget the ends that are durable.
    pub(super) fn acknowledge_worker(&mut self, worker: No) {
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
