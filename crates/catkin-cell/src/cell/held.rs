//! Jobs that are held: their stored state can't be read, so that it is not known which tasks have run.
//!
//! A held job starts nothing, what runs of it is not stopped, and its ends are not acknowledged: an owner that can read
//! the rows finds them at the workers. It can be cancelled.

use super::Cell;
use crate::action::{Action, Stop};
use crate::job::{Job, State};
use crate::step::{Hold, JobState};
use crate::worker::Phase;
use catkin_types::JobId;
use std::time::Duration;

/// A version of a held job that never becomes durable.
pub(super) const NEVER_DURABLE: u64 = u64::MAX;

impl Cell {
    /// Adds a job and holds it, unless it was cancelled: then it ends. `job` is the default one if its row can't be read.
    pub fn hold(&mut self, id: JobId, job: Job, age: Duration, now: Duration) {
        if self.is_known(id) {
            return;
        }
        let (cancelled, accepted_at) = (job.cancelled, now.saturating_sub(age));
        let state = JobState {
            accepted_at,
            deadline: accepted_at,
            has_started: true,
            hold: Some(Hold::Unreadable),
            ..JobState::new(job)
        };
        self.jobs.insert(id, state);
        if cancelled {
            self.end_job(id, State::Cancelled, &mut Vec::new());
        }
    }

    /// Returns whether the state of the job can't be read, and the job has not ended.
    pub(super) fn is_held(&self, id: JobId) -> bool {
        let unreadable = |j: &JobState| j.hold == Some(Hold::Unreadable) && j.outcome.is_none();
        self.jobs.get(&id).is_some_and(unreadable)
    }

    /// Stops everything that workers run of a job.
    pub(super) fn stop_runs(&mut self, id: JobId, out: &mut Vec<Action>) {
        for idx in self.worker_indices() {
            let w = self.worker_mut(idx);
            let token = w.token;
            for (task, assignment) in &mut w.assignments {
                if task.step.job != id || assignment.phase == Phase::Stopping {
                    continue;
                }
                assignment.phase = Phase::Stopping;
                assignment.stop_acked_at = None;
                assignment.since = Duration::ZERO;
                let run = assignment.run;
                out.push(Action::Stop(Stop { worker: idx, token, task: *task, run }));
            }
        }
    }
}
