//! Invariants that are checked at each start and end.

use super::{MAX_ATTEMPTS, World};
use crate::worker::Fact;
use catkin_cell::worker::EndReason;
use catkin_cell::{State, Task};
use catkin_types::JobId;
use std::collections::BTreeSet;

impl World {
    /// Returns all violations, including those that depend on ends that were acknowledged later.
    pub fn all_violations(&mut self) -> Vec<String> {
        let counts = |task: Task, run: u32| {
            self.acknowledged.contains(&(task, run)) && !self.voided.contains(&(task, run))
        };
        let is_violation = |(task, runs, most, _): &&(Task, BTreeSet<u32>, usize, String)| {
            runs.iter().filter(|run| counts(*task, **run)).count() >= *most
        };
        let confirmed: Vec<String> =
            self.suspect_starts.iter().filter(is_violation).map(|(.., why)| why.clone()).collect();
        self.violations.extend(confirmed);
        self.violations.clone()
    }

    pub(super) fn record_facts(&mut self, n: usize, facts: Vec<Fact>) {
        for fact in facts {
            match fact {
                Fact::Started(task, run) => self.check_start(n, task, run),
                Fact::Ended(task, run, reason) => self.check_end(task, run, reason),
                Fact::EndAcknowledged(task, run) => {
                    self.acknowledged.insert((task, run));
                }
                Fact::EndVoided(task, run) => {
                    if !self.acknowledged.contains(&(task, run)) {
                        self.voided.insert((task, run));
                    }
                }
            }
        }
    }

    pub(super) fn is_gang_task(&self, task: Task) -> bool {
        self.accepted[&task.step.job].steps[task.step.step as usize].gang
    }

    fn check_start(&mut self, n: usize, task: Task, run: u32) {
        self.starts += 1;
        self.note_deadly_start(n, task);
        let mut errors = Vec::new();
        let w = &self.workers[n];
        if !w.used().fits(&w.info.capacity) {
            errors.push(format!(
                "{} runs tasks of size {}, beyond its capacity",
                w.info.id,
                w.used()
            ));
        }
        let elsewhere =
            self.workers.iter().enumerate().any(|(m, w)| m != n && w.running.contains_key(&task));
        if elsewhere {
            errors.push(format!("{task:?} runs on two workers"));
        }
        let at = self.now;
        if let Some(done) = self.done_runs.get(&task) {
            let why = format!("{at:?}: {task:?} starts with run {run} after it is done");
            self.suspect_starts.push((task, BTreeSet::from([*done]), 1, why));
        }
        if let Some(runs) = self.failed.get(&task).filter(|r| r.len() >= MAX_ATTEMPTS as usize) {
            let why = format!("{at:?}: {task:?} starts with run {run} after failures {runs:?}");
            self.suspect_starts.push((task, runs.clone(), MAX_ATTEMPTS as usize, why));
        }
        let job = &self.accepted[&task.step.job];
        for before in &job.steps[task.step.step as usize].after {
            let r = catkin_cell::StepRef { step: *before, ..task.step };
            let all =
                (0..job.steps[*before as usize].count).all(|i| self.done.contains(&r.task(i)));
            if !all {
                errors.push(format!("{task:?} starts before step {before} has ended"));
            }
        }
        self.violations.extend(errors.into_iter().map(|w| format!("{at:?}: {w}, run {run}")));
    }

    fn check_end(&mut self, task: Task, run: u32, reason: EndReason) {
        let gang = self.is_gang_task(task);
        match reason {
            EndReason::Done if gang => {
                let count = self.accepted[&task.step.job].steps[task.step.step as usize].count;
                self.done.extend((0..count).map(|i| task.step.task(i)));
                self.done_runs.insert(task, run);
            }
            EndReason::Done => {
                self.done.insert(task);
                self.done_runs.insert(task, run);
            }
            EndReason::Failed => {
                self.failed.entry(task).or_default().insert(run);
            }
            _ => {}
        }
        if gang {
            let others = if reason == EndReason::Done {
                EndReason::Done
            } else {
                EndReason::GangMemberEnded
            };
            for n in 0..self.workers.len() {
                let members: Vec<Task> = self.workers[n]
                    .running
                    .keys()
                    .filter(|t| t.step == task.step)
                    .copied()
                    .collect();
                let mut facts = Vec::new();
                for t in members {
                    self.workers[n].end_gang_member(t, run, others, &mut facts);
                }
                // The end of the gang is recorded above; the ends of its other members add nothing.
                self.record_facts(
                    n,
                    facts.into_iter().filter(|f| !matches!(f, Fact::Ended(..))).collect(),
                );
            }
        }
    }

    pub(super) fn end_job(&mut self, id: JobId, state: State) {
        self.jobs.remove(&id);
        self.progress.remove(&id);
        self.ended.insert(id, state);
        let job = &self.accepted[&id];
        let tasks: Vec<Task> = (0u32..)
            .zip(&job.steps)
            .flat_map(|(step, s)| {
                let r = catkin_cell::StepRef { job: id, occurrence: 0, step };
                (0..s.count).map(move |i| r.task(i))
            })
            .collect();
        let failures = tasks.iter().filter_map(|t| self.failed.get(t)).map(BTreeSet::len).max();
        let valid = match state {
            State::Completed => tasks.iter().all(|t| self.done.contains(t)),
            State::Failed => {
                failures.unwrap_or(0) >= MAX_ATTEMPTS as usize
                    || self.may_give_up(&tasks)
                    || tasks.iter().any(|t| self.is_gang_task(*t))
            }
            State::Cancelled => self.cancelled.contains(&id),
            State::Queued | State::Running => false,
        };
        if !valid {
            let at = self.now;
            self.violations.push(format!(
                "{at:?}: job {id} is recorded as {state}, which contradicts its tasks"
            ));
        }
    }
}
