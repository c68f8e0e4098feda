//! The state of a job and its steps at their owner.

mod failures;

use crate::job::{Job, State};
use crate::progress::{self, CrashCount, Crashes, MAX_PROGRESS_BYTES, Progress, StepProgress};
use crate::task::StepRef;
use crate::worker::{WorkerIndex, WorkerSet};
use catkin_types::WorkerId;
use failures::FailureCount;
use std::collections::HashMap;
use std::time::Duration;

/// A ticket of the adviser for one worker.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub text: String,
    pub valid_until: Duration,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    /// The worker that the task is assigned to.
    pub assigned_to: Option<WorkerIndex>,
    /// The highest run that was ordered.
    pub run: u32,
    /// The failures of the task; of the gang, at its first task.
    pub failures: FailureCount,
    pub done: bool,
    /// The workers that crashed under the task.
    pub crashes: CrashCount,
    /// Whether the task may have caused such a crash and has not been tried since.
    pub suspect: bool,
    pub checkpoint: Option<String>,
}

impl TaskState {
    pub(crate) fn is_waiting(&self) -> bool {
        !self.done && self.assigned_to.is_none()
    }
}

/// The state of a step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepState {
    pub tasks: Vec<TaskState>,
    pub remaining: usize,
    /// The workers that may run the step and their tickets; absent until the adviser has answered.
    pub tickets: Option<HashMap<WorkerIndex, Ticket>>,
    /// The workers that the adviser was asked about.
    pub advised_on: WorkerSet,
    /// The number of requests to the adviser without an answer.
    pub pending_requests: usize,
    /// When the oldest pending request was sent.
    pub advice_pending_since: Option<Duration>,
    /// The total time for which requests to the adviser were pending.
    pub advice_time: Duration,
    /// The adviser is not asked again before this time.
    pub advice_retry_at: Duration,
    /// The highest run that `intent_version` records.
    pub max_run: u32,
    /// The workers on which starts are recorded by `intent_version`.
    pub start_workers: Vec<WorkerId>,
    /// The version of the job that records `max_run` and `start_workers`. Starts wait until it is durable.
    pub intent_version: u64,
    /// Workers on which an earlier owner may have started tasks that have not been reported yet.
    pub unsettled: Vec<WorkerId>,
    /// When tasks were last found to be lost.
    pub lost_at: Option<Duration>,
    /// The newest checkpoint of the gang.
    pub gang_checkpoint: Option<String>,
    /// When room was reserved.
    pub reserved_at: Duration,
    /// When the starts of the gang were sent.
    pub launched_at: Option<Duration>,
    /// The longest estimated chain of steps from the start of this step to the end of the job.
    pub critical_path: Duration,
    /// Whether a task was ever started.
    pub has_started: bool,
}

impl StepState {
    /// Restores the state from stored progress.
    pub(crate) fn new(count: u32, stored: StepProgress) -> Self {
        let mut tasks = vec![TaskState { run: stored.run, ..TaskState::default() }; count as usize];
        for i in &stored.done {
            if let Some(t) = tasks.get_mut(*i as usize) {
                t.done = true;
            }
        }
        for f in &stored.failed {
            if let Some(t) = tasks.get_mut(f.index as usize) {
                t.failures = FailureCount::new(*f);
            }
        }
        for c in &stored.crashed {
            if let Some(t) = tasks.get_mut(c.index as usize) {
                t.crashes = c.count;
                t.suspect = true;
            }
        }
        if stored.complete {
            for t in &mut tasks {
                t.done = true;
            }
        }
        let remaining = tasks.iter().filter(|t| !t.done).count();
        let has_started = stored.run > 0 && remaining < count as usize;
        let unsettled = stored.on.clone();
        Self {
            tasks,
            remaining,
            max_run: stored.run,
            start_workers: stored.on,
            unsettled,
            has_started,
            ..Self::default()
        }
    }

    pub(crate) fn to_progress(&self) -> StepProgress {
        let indexed = || (0..).zip(&self.tasks);
        let done = indexed().filter(|(_, t)| t.done).map(|(i, _)| i).collect();
        if self.remaining == 0 {
            return StepProgress { complete: true, done, ..StepProgress::default() };
        }
        StepProgress {
            complete: false,
            done,
            failed: indexed().filter_map(|(i, t)| t.failures.to_progress(i)).collect(),
            crashed: indexed()
                .filter(|(_, t)| t.crashes.total() > 0 && !t.done)
                .map(crashes)
                .collect(),
            run: self.max_run,
            on: self.start_workers.clone(),
        }
    }

    pub(crate) fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        (0..).zip(&self.tasks).filter(|(_, t)| t.is_waiting()).map(|(i, _)| i)
    }

    pub(crate) fn any_assigned(&self) -> bool {
        self.tasks.iter().any(|t| t.assigned_to.is_some())
    }
}

fn crashes((index, t): (u32, &TaskState)) -> Crashes {
    Crashes { index, count: t.crashes }
}

/// Why a job starts no task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hold {
    /// The newest write was refused for good. A later one that is durable ends the hold.
    WriteRefused,
    /// The stored state of the job can't be read. The job has no steps here.
    Unreadable,
}

/// A job whose end is not durable yet.
#[derive(Clone, Debug)]
pub(crate) struct JobState {
    pub job: Job,
    /// Ordered by occurrence, then by step.
    pub steps: Vec<StepState>,
    pub outcome: Option<State>,
    /// Rises with each change that has to become durable.
    pub version: u64,
    pub durable_version: u64,
    /// Whether there are changes that have not been handed out to be written.
    pub dirty: bool,
    /// The version that is being written.
    pub writing_version: Option<u64>,
    /// Why the job starts no task; absent if it may.
    pub hold: Option<Hold>,
    /// When the job was accepted, on the owner's clock.
    pub accepted_at: Duration,
    /// The job is late from this time on, on the owner's clock.
    pub deadline: Duration,
    pub has_started: bool,
    /// Whether a worker ever crashed under a task of the job.
    pub has_suspects: bool,
}

impl JobState {
    /// Returns the state of a job without steps that was accepted at the zero of the clock.
    pub(crate) fn new(job: Job) -> Self {
        Self {
            job,
            steps: Vec::new(),
            outcome: None,
            version: 0,
            durable_version: 0,
            dirty: false,
            writing_version: None,
            hold: None,
            accepted_at: Duration::ZERO,
            deadline: Duration::ZERO,
            has_started: false,
            has_suspects: false,
        }
    }

    pub(crate) fn occurrences(&self) -> usize {
        self.steps.len().checked_div(self.job.steps.len()).unwrap_or(0)
    }

    fn step_index(&self, r: StepRef) -> usize {
        r.occurrence as usize * self.job.steps.len() + r.step as usize
    }

    pub(crate) fn step(&self, r: StepRef) -> Option<&StepState> {
        if r.step as usize >= self.job.steps.len() {
            return None;
        }
        self.steps.get(self.step_index(r))
    }

    pub(crate) fn step_mut(&mut self, r: StepRef) -> Option<&mut StepState> {
        if r.step as usize >= self.job.steps.len() {
            return None;
        }
        let i = self.step_index(r);
        self.steps.get_mut(i)
    }

    /// Returns whether the steps that this one depends on have ended.
    pub(crate) fn is_ready(&self, r: StepRef) -> bool {
        let Some(step) = self.job.steps.get(r.step as usize) else { return false };
        let ended =
            |s: &u32| self.step(StepRef { step: *s, ..r }).is_some_and(|s| s.remaining == 0);
        step.after.iter().all(ended)
    }

    /// Returns whether the job's row certainly holds the progress of one more occurrence.
    pub(crate) fn may_begin_occurrence(&self) -> bool {
        let open = self.job.steps.iter().cycle().zip(&self.steps).filter(|(_, s)| s.remaining > 0);
        let open_steps = open.map(|(step, _)| step).chain(&self.job.steps);
        progress::max_bytes(open_steps) <= MAX_PROGRESS_BYTES
    }

    pub(crate) fn to_progress(&self) -> Progress {
        Progress { steps: self.steps.iter().map(StepState::to_progress).collect() }
    }

    /// Returns every step of the occurrences that have begun.
    pub(crate) fn step_refs(&self, id: catkin_types::JobId) -> Vec<StepRef> {
        let width = u32::try_from(self.job.steps.len()).unwrap_or(u32::MAX);
        let occurrences = u32::try_from(self.occurrences()).unwrap_or(u32::MAX);
        let each = |occurrence| (0..width).map(move |step| StepRef { job: id, occurrence, step });
        (0..occurrences).flat_map(each).collect()
    }
}
