//! A job and its steps as their owner sees them.

use crate::job::{Job, State};
use crate::progress::{Failures, Progress, StepProgress};
use crate::task::StepRef;
use crate::worker::{No, Set};
use catkin_types::WorkerId;
use std::collections::HashMap;
use std::time::Duration;

/// What the adviser said of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub text: String,
    pub valid_until: Duration,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    /// The worker that holds it.
    pub at: Option<No>,
    /// The highest run that was ordered.
    pub run: u32,
    pub failed: u32,
    /// The newest run whose failure was counted.
    pub failed_run: u32,
    pub done: bool,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
}

impl TaskState {
    pub(crate) fn waits(&self) -> bool {
        !self.done && self.at.is_none()
    }
}

/// A step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepState {
    pub tasks: Vec<TaskState>,
    pub undone: usize,
    /// The workers that may run it and their tickets, once the adviser has said.
    pub good: Option<HashMap<No, Ticket>>,
    /// The workers that the adviser was asked about.
    pub asked: Set,
    /// How many questions are not answered.
    pub asking: usize,
    /// Since when the adviser has been asked.
    pub asking_since: Option<Duration>,
    /// For how long the adviser was asked so far.
    pub advice_took: Duration,
    /// When the adviser may be asked again.
    pub ask_after: Duration,
    /// No run above this is durable.
    pub run: u32,
    /// The workers on which starts are durable.
    pub on: Vec<WorkerId>,
    /// The version of the job that holds `run` and `on`.
    pub intent: u64,
    /// Workers on which an earlier owner may have started tasks that nobody has reported yet.
    pub unsettled: Vec<WorkerId>,
    /// The gang's newest checkpoint.
    pub checkpoint: Option<String>,
    /// When the room was set aside.
    pub reserved_at: Duration,
    /// When the starts of the gang were sent.
    pub launched_at: Option<Duration>,
    /// The longest chain from the start of this step to the end of the job, as estimated.
    pub tail: Duration,
    /// Whether a task was ever started.
    pub begun: bool,
}

impl StepState {
    /// The state after what is kept of it.
    pub(crate) fn new(count: u32, kept: StepProgress) -> Self {
        let mut tasks = vec![TaskState { run: kept.run, ..TaskState::default() }; count as usize];
        for i in &kept.done {
            if let Some(t) = tasks.get_mut(*i as usize) {
                t.done = true;
            }
        }
        for f in &kept.failed {
            if let Some(t) = tasks.get_mut(f.index as usize) {
                t.failed = f.times;
                t.failed_run = f.run;
            }
        }
        let undone = tasks.iter().filter(|t| !t.done).count();
        let begun = kept.run > 0 && undone < count as usize;
        let unsettled = kept.on.clone();
        Self { tasks, undone, run: kept.run, on: kept.on, unsettled, begun, ..Self::default() }
    }

    pub(crate) fn keep(&self) -> StepProgress {
        let indexed = || (0..).zip(&self.tasks);
        if self.undone == 0 {
            let done = indexed().map(|(i, _)| i).collect();
            return StepProgress { done, ..StepProgress::default() };
        }
        StepProgress {
            done: indexed().filter(|(_, t)| t.done).map(|(i, _)| i).collect(),
            failed: indexed().filter(|(_, t)| t.failed > 0).map(failures).collect(),
            run: self.run,
            on: self.on.clone(),
        }
    }

    pub(crate) fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        (0..).zip(&self.tasks).filter(|(_, t)| t.waits()).map(|(i, _)| i)
    }

    pub(crate) fn any_held(&self) -> bool {
        self.tasks.iter().any(|t| t.at.is_some())
    }
}

fn failures((index, t): (u32, &TaskState)) -> Failures {
    Failures { index, times: t.failed, run: t.failed_run }
}

/// A job that is not at its durable end.
#[derive(Clone, Debug)]
pub(crate) struct JobState {
    pub job: Job,
    /// Occurrence by occurrence, step by step.
    pub steps: Vec<StepState>,
    pub outcome: Option<State>,
    /// Grows with each change that has to be durable.
    pub version: u64,
    pub saved: u64,
    /// The version that is being written.
    pub writing: Option<u64>,
    /// When it was accepted, on the owner's clock.
    pub accepted: Duration,
    /// When it is late.
    pub due: Duration,
    pub begun: bool,
}

impl JobState {
    pub(crate) fn occurrences(&self) -> usize {
        self.steps.len().checked_div(self.job.steps.len()).unwrap_or(0)
    }

    fn place(&self, r: StepRef) -> usize {
        r.occurrence as usize * self.job.steps.len() + r.step as usize
    }

    pub(crate) fn step(&self, r: StepRef) -> Option<&StepState> {
        if r.step as usize >= self.job.steps.len() {
            return None;
        }
        self.steps.get(self.place(r))
    }

    pub(crate) fn step_mut(&mut self, r: StepRef) -> Option<&mut StepState> {
        if r.step as usize >= self.job.steps.len() {
            return None;
        }
        let i = self.place(r);
        self.steps.get_mut(i)
    }

    /// Whether the steps that come before have ended.
    pub(crate) fn ready(&self, r: StepRef) -> bool {
        let Some(step) = self.job.steps.get(r.step as usize) else { return false };
        let ended = |s: &u32| self.step(StepRef { step: *s, ..r }).is_some_and(|s| s.undone == 0);
        step.after.iter().all(ended)
    }

    pub(crate) fn keep(&self) -> Progress {
        Progress { steps: self.steps.iter().map(StepState::keep).collect() }
    }

    /// Every step of the occurrences that have begun.
    pub(crate) fn refs(&self, id: catkin_types::JobId) -> Vec<StepRef> {
        let width = u32::try_from(self.job.steps.len()).unwrap_or(u32::MAX);
        let occurrences = u32::try_from(self.occurrences()).unwrap_or(u32::MAX);
        let each = |occurrence| (0..width).map(move |step| StepRef { job: id, occurrence, step });
        (0..occurrences).flat_map(each).collect()
    }
}
