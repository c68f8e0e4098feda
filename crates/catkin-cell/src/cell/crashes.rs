//! Workers that crash, and the tasks that were on them: which of them are suspects, how these are tried again, and when
//! a job is given up.
//!
//! A worker can only be crashed by a task that runs on it, and mostly by one that has just started. Such tasks are
//! suspects: each is tried on a worker that starts nothing else meanwhile, so that the next crash tells whether it was
//! the cause, and takes nothing with it that has just started.

use super::Cell;
use super::plan::{Plan, distinct_workers};
use crate::action::Action;
use crate::event::Event;
use crate::job::State;
use crate::step::{JobState, StepState, TaskState};
use crate::task::{StepRef, Task};
use crate::worker::{Assignment, Phase, Receipt, Victim, WorkerIndex};
use std::time::Duration;

/// A task is a suspect if its worker crashed within this time after its start.
const SUSPICION_PERIOD: Duration = Duration::from_millis(500);
/// How long a task is kept apart under which this many workers have crashed.
const LONG_TRIAL: Duration = Duration::from_secs(5);
const CRASHES_FOR_LONG_TRIAL: u32 = 3;
/// A crash does not count for a task that ran for this long before.
const CLEARING_PERIOD: Duration = Duration::from_secs(30);
/// A job is given up after this many crashes for which one of its tasks is to blame, if nothing else can have caused the
/// last one.
const MAX_CRASHES_IF_BLAMED: u32 = 2;
/// A job is given up after this many crashes under one of its tasks in any case.
const MAX_CRASHES: u32 = 5;
/// A worker that was heard this long ago has probably not crashed since.
const MAX_SILENCE: Duration = Duration::from_millis(200);
/// At most one usable worker out of this many is kept for a trial.
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
    /// Counts the crash of a worker for each task that may have run on it, or on the worker as it was before it fell
    /// silent.
    pub(super) fn record_crash(&mut self, idx: WorkerIndex) {
        self.suspect_tasks(idx);
        let victims = std::mem::take(&mut self.worker_mut(idx).victims);
        for v in &victims {
            let is_only_fresh = v.is_fresh && self.is_only_fresh(v, &victims);
            let is_likely = v.receipt == Receipt::Probable && (v.on_trial || is_only_fresh);
            if !(v.receipt == Receipt::Certain || is_likely) {
                continue;
            }
            let is_blamed = v.on_trial || v.is_fresh;
            let Some(t) = self.task_mut(v.task).filter(|t| !t.done) else { continue };
            if is_blamed {
                t.crashes.blamed = t.crashes.blamed.saturating_add(1);
            } else {
                t.crashes.beside = t.crashes.beside.saturating_add(1);
            }
            t.suspect |= t.crashes.total() >= MAX_CRASHES_IF_BLAMED;
            let crashes = t.crashes;
            let is_proven = v.on_trial || is_only_fresh;
            let given_up = is_proven && crashes.blamed >= MAX_CRASHES_IF_BLAMED
                || crashes.total() >= MAX_CRASHES;
            if given_up {
                self.jobs_to_give_up.push(v.task.step.job);
            }
            self.require_record(v.task.step);
            let (task, run, worker, crashes) = (v.task, v.run, idx, crashes.total());
            self.events.push(Event::CrashedUnderTask { task, run, worker, crashes, given_up });
        }
    }

    /// Records the tasks that may run on a worker that is lost. Those that have just started are suspects. A worker that
    /// has fallen silent may have been cut off: its crash is counted once it is known to have restarted.
    pub(super) fn suspect_tasks(&mut self, idx: WorkerIndex) {
        let w = self.worker(idx);
        let heard_at = w.clock_reading.map_or(Duration::ZERO, |(_, at)| at);
        let victim = |(task, a): (&Task, &Assignment)| {
            let ran_for = heard_at.saturating_sub(a.started_at?);
            if ran_for >= CLEARING_PERIOD {
                return None;
            }
            let receipt = if a.has_run {
                Receipt::Certain
            } else if a.started_at? <= heard_at + MAX_SILENCE {
                Receipt::Probable
            } else {
                Receipt::Doubtful
            };
            let is_fresh = ran_for < self.suspicion_period(task.step);
            let on_trial = w.trial == Some(task.step);
            Some(Victim { task: *task, run: a.run, receipt, is_fresh, on_trial })
        };
        let victims: Vec<Victim> = w.assignments.iter().filter_map(victim).collect();
        for v in victims.iter().filter(|v| v.is_fresh) {
            if let Some(j) = self.jobs.get_mut(&v.task.step.job) {
                j.has_suspects = true;
            }
            if let Some(t) = self.task_mut(v.task) {
                t.suspect = true;
            }
        }
        self.worker_mut(idx).victims.extend(victims);
    }

    /// Returns whether no other task that was lost had just started. Members of a gang count as one.
    fn is_only_fresh(&self, victim: &Victim, victims: &[Victim]) -> bool {
        let gang = self.is_gang(victim.task.step);
        let is_same = |v: &Victim| v.task == victim.task || gang && v.task.step == victim.task.step;
        victims.iter().filter(|v| v.is_fresh).all(is_same)
    }

    /// Makes the next start of the step wait until the crashes under its tasks are durable.
    fn require_record(&mut self, r: StepRef) {
        let version = self.mark_dirty(r.job);
        if let Some(j) = self.jobs.get_mut(&r.job) {
            j.has_suspects = true;
        }
        if let Some(step) = self.step_mut(r) {
            step.intent_version = version;
        }
    }

    /// Ends the jobs that are given up.
    pub(super) fn give_up_jobs(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.jobs_to_give_up) {
            if self.is_open(id) {
                self.counts.jobs_given_up += 1;
                self.end_job(id, State::Failed, out);
            }
        }
    }

    /// Returns how long after its start a task is suspected of a crash. The members of a gang begin to work once all
    /// of them are there.
    pub(super) fn suspicion_period(&self, r: StepRef) -> Duration {
        let assembly = if self.is_gang(r) { self.assembly_timeout() } else { Duration::ZERO };
        SUSPICION_PERIOD + assembly
    }

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
        let is_proven = self.is_proven(r, j);
        let needs_trial = |t: &TaskState| {
            t.suspect && !t.done && (!is_proven || t.crashes.total() >= MAX_CRASHES_IF_BLAMED)
        };
        let (suspects, others): (Vec<u32>, Vec<u32>) =
            step.waiting().partition(|i| needs_trial(&step.tasks[*i as usize]));
        let mut open_suspects = j.steps.iter().flat_map(|s| &s.tasks).filter(|t| needs_trial(t));
        if is_proven && !others.is_empty() || open_suspects.clone().next().is_none() {
            return Startable::Tasks(others);
        }
        if is_proven || open_suspects.all(TaskState::is_waiting) {
            return Startable::Trial(suspects.into_iter().take(1).collect());
        }
        Startable::Tasks(Vec::new())
    }

    /// Returns whether a task of the job has ended successfully or has survived its start.
    fn is_proven(&self, r: StepRef, j: &JobState) -> bool {
        let has_survived = |task: Task, t: &TaskState| {
            let w = t.assigned_to.map(|at| self.worker(at));
            w.is_some_and(|w| w.has_run_for(&task, self.suspicion_period(task.step)))
        };
        j.step_refs(r.job).into_iter().zip(&j.steps).any(|(r, s)| {
            let mut tasks = (0..).zip(&s.tasks);
            tasks.any(|(i, t)| t.done || !t.suspect && has_survived(r.task(i), t))
        })
    }

    /// Returns how many more workers may be kept for trials.
    pub(super) fn trials_left(&self, now: Duration) -> usize {
        let usable = || self.worker_indices().filter(|idx| self.is_usable(*idx, now));
        let trials = usable().filter(|idx| self.worker(*idx).trial.is_some()).count();
        (usable().count() / WORKERS_PER_TRIAL).max(1).saturating_sub(trials)
    }

    /// Keeps other tasks from the workers of a plan until the tasks that are tried there have passed or ended. Returns the
    /// number of workers.
    pub(super) fn keep_for_trial(&mut self, r: StepRef, plan: &Plan) -> usize {
        let workers = distinct_workers(plan.iter().map(|(_, idx)| *idx));
        for idx in &workers {
            self.worker_mut(*idx).trial = Some(r);
        }
        workers.len()
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
            if w.clock_reading.is_some_and(|(_, at)| now.saturating_sub(at) < MAX_SILENCE) {
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

    fn task(&self, task: Task) -> Option<&TaskState> {
        self.step(task.step)?.tasks.get(task.index as usize)
    }

    fn task_mut(&mut self, task: Task) -> Option<&mut TaskState> {
        self.step_mut(task.step)?.tasks.get_mut(task.index as usize)
    }
}
