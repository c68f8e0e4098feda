//! Workers that crash: which of the tasks on them are suspects, how many crashes each is blamed for, and when a job is
//! given up.
//!
//! A worker can only be crashed by a task that runs on it, and mostly by one that has just started. Such tasks are
//! suspects, which [`super::trials`] tries apart from others.

use super::Cell;
use crate::action::Action;
use crate::event::Event;
use crate::job::State;
use crate::task::{StepRef, Task};
use crate::worker::{Assignment, CountedCrash, Receipt, Victim, WorkerIndex};
use std::time::Duration;

/// A task is a suspect if its worker crashed within this time after its start.
pub(super) const SUSPICION_PERIOD: Duration = Duration::from_millis(500);
/// A crash does not count for a task that ran for this long before.
const CLEARING_PERIOD: Duration = Duration::from_secs(30);
/// A job is given up after this many crashes for which one of its tasks is to blame, if nothing else can have caused the
/// last one.
pub(super) const MAX_CRASHES_IF_BLAMED: u32 = 2;
/// A job is given up after this many crashes under one of its tasks in any case.
const MAX_CRASHES: u32 = 5;
/// A worker that was heard this long ago has probably not crashed since.
pub(super) const MAX_SILENCE: Duration = Duration::from_millis(200);

impl Cell {
    /// Counts the crash of a worker for each task that may have run on it, or on the worker as it was before it fell
    /// silent.
    pub(super) fn record_crash(&mut self, idx: WorkerIndex) {
        self.suspect_tasks(idx, |_| true);
        let victims = std::mem::take(&mut self.worker_mut(idx).victims);
        let mut counted = Vec::new();
        for v in &victims {
            let is_only_fresh = v.is_fresh && self.is_only_fresh(v, &victims);
            let is_likely = v.receipt == Receipt::Probable && (v.on_trial || is_only_fresh);
            if !(v.receipt == Receipt::Certain || is_likely) {
                continue;
            }
            let Some(t) = self.task_mut(v.task).filter(|t| !t.done) else { continue };
            counted.push(*v);
            if v.is_blamed() {
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
        let w = self.worker_mut(idx);
        let incarnation = w.info.incarnation;
        w.counted_crash = Some(CountedCrash { incarnation, victims: counted });
    }

    /// Handles that the last crash of a worker was a planned exit. A job that was given up for it stays so.
    pub(super) fn retract_crash(&mut self, idx: WorkerIndex) {
        let counted = self.worker_mut(idx).counted_crash.take();
        for v in counted.into_iter().flat_map(|c| c.victims) {
            let Some(t) = self.task_mut(v.task).filter(|t| !t.done) else { continue };
            let count = &mut t.crashes;
            let kind = if v.is_blamed() { &mut count.blamed } else { &mut count.beside };
            *kind = kind.saturating_sub(1);
            let crashes = count.total();
            t.suspect &= crashes > 0;
            self.mark_dirty(v.task.step.job);
            self.events.push(Event::CrashRetracted { task: v.task, worker: idx, crashes });
        }
    }

    /// Records those of the `lost` tasks that may run on a worker that is lost. Those that have just started are suspects. A
    /// worker that has fallen silent may have been cut off: its crash is counted once it is known to have restarted.
    pub(super) fn suspect_tasks(&mut self, idx: WorkerIndex, lost: impl Fn(&Assignment) -> bool) {
        let w = self.worker(idx);
        let heard_at = w.heard_at().unwrap_or_default();
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
            let on_trial = w.trial == Some(task.step) && self.is_tried(*task);
            Some(Victim { task: *task, run: a.run, receipt, is_fresh, on_trial })
        };
        let victims: Vec<Victim> =
            w.assignments.iter().filter(|(_, a)| lost(a)).filter_map(victim).collect();
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

    /// Returns whether a task of a step that is tried has not passed its trial: another task of the step may be tried on a
    /// worker where it runs on, beside tasks that were started since.
    fn is_tried(&self, task: Task) -> bool {
        self.is_gang(task.step) || self.task(task).is_some_and(|t| t.suspect)
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
}
