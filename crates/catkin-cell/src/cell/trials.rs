//! Trials of tasks that may have crashed a worker.
//!
//! A suspect is tried on a worker that was heard just now and that starts nothing else meanwhile. If the worker crashes
//! again, the suspect is to blame, and nothing that has just started is lost with it.

use super::Cell;
use super::crashes::{MAX_CRASHES_IF_BLAMED, MAX_SILENCE, SUSPICION_PERIOD};
use super::plan::Plan;
use crate::action::Action;
use crate::step::{JobState, StepState, TaskState};
use crate::task::{StepRef, Task};
use crate::worker::{Assignment, Phase, WorkerIndex};
use catkin_types::JobId;
use std::time::Duration;

/// How long the trial of a task lasts under which many workers have crashed. It may crash them late in its run.
const LONG_TRIAL: Duration = Duration::from_secs(5);
/// The number of crashes under a task after which its trials are long.
const CRASHES_FOR_LONG_TRIAL: u32 = 3;
/// At most one usable worker out of this many is kept for a trial while capacity is scarce.
const WORKERS_PER_TRIAL: usize = 3;

/// The waiting tasks of a step that may be placed now.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Startable {
    /// Tasks that may run beside others.
    Tasks(Vec<u32>),
    /// Tasks to be tried on workers that start nothing else meanwhile.
    Trial(Vec<u32>),
}

impl Startable {
    /// Returns the number of tasks.
    pub(super) fn len(&self) -> usize {
        let (Self::Tasks(tasks) | Self::Trial(tasks)) = self;
        tasks.len()
    }

    pub(super) fn is_trial(&self) -> bool {
        matches!(self, Self::Trial(_))
    }
}

impl Cell {
    /// Returns the waiting tasks of a step that may be placed now. As long as no task of a job has shown that not all of
    /// them crash their workers, its suspects are tried one at a time, and the others wait.
    pub(super) fn startable(&self, r: StepRef, step: &StepState) -> Startable {
        let waiting = || step.waiting().collect();
        let Some(j) = self.jobs.get(&r.job).filter(|j| j.has_suspects) else {
            return Startable::Tasks(waiting());
        };
        if self.is_gang(r) {
            let suspect = step.tasks.iter().any(|t| t.suspect);
            return if suspect { Startable::Trial(waiting()) } else { Startable::Tasks(waiting()) };
        }
        let is_harmless = self.is_harmless(r.job, j);
        let needs_trial = |t: &TaskState| {
            t.suspect && !t.done && (!is_harmless || t.crashes.total() >= MAX_CRASHES_IF_BLAMED)
        };
        let (suspects, others): (Vec<u32>, Vec<u32>) =
            step.waiting().partition(|i| needs_trial(&step.tasks[*i as usize]));
        let mut open_suspects = j.steps.iter().flat_map(|s| &s.tasks).filter(|t| needs_trial(t));
        if is_harmless && !others.is_empty() || open_suspects.clone().next().is_none() {
            return Startable::Tasks(others);
        }
        if is_harmless || open_suspects.all(TaskState::is_waiting) {
            return Startable::Trial(suspects.into_iter().take(1).collect());
        }
        Startable::Tasks(Vec::new())
    }

    /// Returns whether a task of the job has ended successfully or has survived its start.
    fn is_harmless(&self, id: JobId, j: &JobState) -> bool {
        let has_survived = |task: Task, t: &TaskState| {
            let w = t.assigned_to.map(|at| self.worker(at));
            w.is_some_and(|w| w.has_run_for(&task, self.suspicion_period(task.step)))
        };
        j.step_refs(id).into_iter().zip(&j.steps).any(|(r, s)| {
            let mut tasks = (0..).zip(&s.tasks);
            tasks.any(|(i, t)| t.done || !t.suspect && has_survived(r.task(i), t))
        })
    }

    /// Returns how many more workers may be kept for trials while capacity is scarce.
    pub(super) fn trials_left(&self, now: Duration) -> usize {
        let usable = || self.worker_indices().filter(|idx| self.is_usable(*idx, now));
        let trials = usable().filter(|idx| self.worker(*idx).trial.is_some()).count();
        (usable().count() / WORKERS_PER_TRIAL).max(1).saturating_sub(trials)
    }

    /// Keeps other tasks from the workers of a plan until the tasks that are tried there have passed or ended.
    pub(super) fn keep_for_trial(&mut self, r: StepRef, plan: &Plan) {
        for (_, idx) in plan {
            self.worker_mut(*idx).trial = Some(r);
        }
    }

    /// Returns when a task other than those of the step was last started on the worker, [`Duration::MAX`] if one is about
    /// to start.
    pub(super) fn last_start_beside(&self, r: StepRef, idx: WorkerIndex) -> Duration {
        let others = self.worker(idx).assignments.iter().filter(|(task, _)| task.step != r);
        let start = |a: &Assignment| match a.phase {
            Phase::Reserved => Some(Duration::MAX),
            _ => a.started_at,
        };
        others.filter_map(|(_, a)| start(a)).max().unwrap_or(Duration::ZERO)
    }

    /// Returns whether the tasks of a trial may start on their workers: each was heard just now, and every other task on
    /// it has run for so long that it would not be suspected of a crash. Polls those that were not heard.
    pub(super) fn may_launch(
        &mut self,
        r: StepRef,
        workers: &[WorkerIndex],
        now: Duration,
        out: &mut Vec<Action>,
    ) -> bool {
        let on_trial = workers.iter().copied().filter(|idx| self.worker(*idx).trial == Some(r));
        let on_trial: Vec<WorkerIndex> = on_trial.collect();
        let mut may_launch = true;
        for idx in on_trial {
            may_launch &= now.saturating_sub(self.last_start_beside(r, idx)) >= SUSPICION_PERIOD;
            let w = self.worker_mut(idx);
            if w.heard_at().is_some_and(|at| now.saturating_sub(at) < MAX_SILENCE) {
                continue;
            }
            may_launch = false;
            if now.saturating_sub(w.probed_at) >= MAX_SILENCE {
                w.probed_at = now;
                out.push(Action::Poll(idx));
            }
        }
        may_launch
    }

    /// Ends the trials of tasks that have run for long enough: their workers may get other tasks again.
    pub(super) fn end_trials(&mut self, now: Duration) {
        let on_trial = |idx: WorkerIndex| Some((idx, self.worker(idx).trial?));
        let trials: Vec<_> = self.worker_indices().filter_map(on_trial).collect();
        for (idx, r) in trials {
            let tasks: Vec<Task> = self.worker(idx).tasks_of(r).map(|(task, _)| *task).collect();
            if self.worker(idx).missed_polls > 0 || !self.has_passed(idx, r, &tasks, now) {
                continue;
            }
            self.worker_mut(idx).trial = None;
            for task in tasks {
                if let Some(t) = self.task_mut(task) {
                    t.suspect = false;
                }
            }
        }
    }

    /// Returns whether the tasks of a trial have run for so long that their worker can get others again.
    fn has_passed(&self, idx: WorkerIndex, r: StepRef, tasks: &[Task], now: Duration) -> bool {
        let period = self.suspicion_period(r);
        tasks.iter().all(|task| {
            let crashes = self.task(*task).map_or(0, |t| t.crashes.total());
            let period = if crashes >= CRASHES_FOR_LONG_TRIAL { LONG_TRIAL } else { period };
            let a = self.worker(idx).assignments.get(task);
            a.is_some_and(|a| a.has_run && a.started_at.is_some_and(|at| now >= at + period))
        })
    }
}
