//! Answers of workers to polls: ends, running tasks, and tasks that are missing from the report.

use super::Cell;
use crate::action::{Action, Stop};
use crate::event::Event;
use crate::job::State;
use crate::task::{StepRef, Task};
use crate::worker::{
    Assignment, EndReason, Phase, RunningTask, TaskEnd, UnacknowledgedEnd, WorkerIndex,
    WorkerReport,
};
use catkin_types::JobId;
use std::collections::HashSet;
use std::time::Duration;

/// Upper bound on the ends that a worker lists in one report. A report with this many may omit others.
const MAX_LISTED_ENDS: usize = 500;

impl Cell {
    /// Handles a poll of `idx` that got no answer.
    pub fn handle_missed_poll(&mut self, no: WorkerIndex) {
        let w = self.worker_mut(no);
        w.missed_polls = w.missed_polls.saturating_add(1);
    }

    /// Handles the report of `idx` that answers a poll sent at `sent`.
    pub fn handle_report(
        &mut self,
        no: WorkerIndex,
        sent: Duration,
        seen: &WorkerReport,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let w = self.worker_mut(no);
        if seen.incarnation != 0 && seen.incarnation != w.info.incarnation {
            if w.info.incarnation > seen.incarnation {
                return;
            }
            self.restart_worker(no, seen.incarnation);
        }
        let w = self.worker_mut(no);
        // Answers that arrive over different connections may be out of order: ignores the older one.
        if w.clock_reading.is_some_and(|(clock, _)| clock > seen.clock_ms) {
            return;
        }
        w.clock_reading = Some((seen.clock_ms, now));
        w.missed_polls = 0;
        w.confirmed = true;
        if !self.settled_workers.contains(&self.worker(no).info.id) {
            self.settled_workers.insert(self.worker(no).info.id.clone());
        }
        for end in &seen.ended {
            self.record_end(no, end, now, out);
        }
        for r in &seen.running {
            self.handle_running(no, r, now, out);
        }
        if seen.ended.len() < MAX_LISTED_ENDS {
            self.handle_unlisted(no, sent, seen, out);
        }
        self.acknowledge_worker(no);
    }

    fn record_end(&mut self, no: WorkerIndex, end: &TaskEnd, now: Duration, out: &mut Vec<Action>) {
        let w = self.worker_mut(no);
        if end.number <= w.newest_end {
            return;
        }
        w.newest_end = end.number;
        let held = w.assignments.get(&end.task).is_some_and(|h| h.run == end.run);
        if held {
            w.release(&end.task);
        }
        let needs = self.apply_end(no, end, held, now, out);
        let end = UnacknowledgedEnd { number: end.number, required_version: needs };
        self.worker_mut(no).unacknowledged.push_back(end);
    }

    /// Applies an end to its job. Returns the version of the job that has to be durable before the end may be
    /// acknowledged.
    fn apply_end(
        &mut self,
        no: WorkerIndex,
        end: &TaskEnd,
        held: bool,
        now: Duration,
        out: &mut Vec<Action>,
    ) -> Option<(JobId, u64)> {
        let task = end.task;
        let j = self.jobs.get_mut(&task.step.job)?;
        j.has_started = true;
        let concluded = j.outcome.is_some();
        let kind = j.job.steps.get(task.step.step as usize)?.clone();
        let step = j.step_mut(task.step)?;
        let t = step.tasks.get_mut(task.index as usize)?;
        t.run = t.run.max(end.run);
        let here = t.worker == Some(no) && held;
        if !end.checkpoint.is_empty() && end.reason != EndReason::Done {
            t.checkpoint = Some(end.checkpoint.clone());
            if kind.gang {
                step.gang_checkpoint = Some(end.checkpoint.clone());
            }
        }
        if here {
            self.clear_worker(task);
        }
        if concluded {
            return Some((task.step.job, self.jobs.get(&task.step.job)?.version));
        }
        match end.reason {
            EndReason::Done if !kind.long_running => {
                self.update_health(no, task, true, now);
                Some(self.handle_done(task, kind.gang, out))
            }
            EndReason::Failed if !kind.long_running => {
                self.update_health(no, task, false, now);
                Some(self.handle_failure(task, end.run, no, kind.gang, out))
            }
            EndReason::GangTimedOut => {
                self.counts.gangs_given_up += 1;
                self.events.push(Event::GangGivenUp(task.step));
                None
            }
            _ => None,
        }
    }

    fn update_health(&mut self, no: WorkerIndex, task: Task, well: bool, now: Duration) {
        let Self { workers, fleet, .. } = self;
        fleet.record_end(&workers[no.index()].info.id, task.step.job, well, now);
    }

    /// Marks the task as done, or all tasks of its gang.
    fn handle_done(&mut self, task: Task, gang: bool, out: &mut Vec<Action>) -> (JobId, u64) {
        let r = task.step;
        let known = self.step(r).is_some_and(|s| s.tasks[task.index as usize].done);
        if known {
            return (r.job, self.jobs.get(&r.job).map_or(0, |j| j.version));
        }
        let mut elsewhere = Vec::new();
        if let Some(step) = self.step_mut(r) {
            let all = 0..u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
            let ended = if gang { all } else { task.index..task.index + 1 };
            for i in ended {
                let t = &mut step.tasks[i as usize];
                if !t.done {
                    t.done = true;
                    step.remaining -= 1;
                }
                if t.worker.is_some() && !gang {
                    elsewhere.push(r.task(i));
                }
            }
        }
        self.counts.done += 1;
        // Stops a run that replaced this one after it was considered lost.
        for t in elsewhere {
            self.stop_task(t, out);
        }
        let version = self.mark_dirty(r.job);
        if self.step(r).is_some_and(|s| s.remaining == 0) {
            self.reserved_steps.remove(&r);
            self.assembling_gangs.remove(&r);
            self.handle_step_end(r, out);
        }
        self.update_waiting(r);
        (r.job, version)
    }

    fn handle_failure(
        &mut self,
        task: Task,
        run: u32,
        worker: WorkerIndex,
        gang: bool,
        out: &mut Vec<Action>,
    ) -> (JobId, u64) {
        let r = task.step;
        let most = self
            .jobs
            .get(&r.job)
            .and_then(|j| self.queues.get(&j.job.queue))
            .map_or(u32::MAX, |q| q.max_attempts.max(1));
        let mut failures = 0;
        if let Some(step) = self.step_mut(r) {
            let t = &mut step.tasks[if gang { 0 } else { task.index as usize }];
            // Several members of one run of a gang may fail, which counts as one failure of the gang. An earlier owner
            // may have counted a failure that it did not acknowledge.
            if t.last_failed_run < run {
                t.last_failed_run = run;
                t.failure_count += 1;
            }
            failures = t.failure_count;
        }
        self.counts.failed += 1;
        self.events.push(Event::TaskFailed {
            task,
            run,
            worker,
            times: failures,
            attempts_allowed: most,
        });
        let version = self.mark_dirty(r.job);
        if failures >= most {
            self.end_job(r.job, State::Failed, out);
        }
        (r.job, version)
    }

    fn handle_running(
        &mut self,
        no: WorkerIndex,
        r: &RunningTask,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let w = self.worker_mut(no);
        let born = w.info.incarnation;
        let Some(held) = w.assignments.get_mut(&r.task) else {
            self.adopt(no, r, now, out);
            return;
        };
        if held.run != r.run {
            out.push(Action::Stop(Stop {
                worker: no,
                incarnation: born,
                task: r.task,
                run: r.run,
            }));
            return;
        }
        held.reported = true;
        if matches!(held.phase, Phase::Starting | Phase::Unknown) {
            held.phase = Phase::Running;
            held.since = now;
        }
        self.record_checkpoint(r);
        self.mark_started(r.task.step);
    }

    fn record_checkpoint(&mut self, r: &RunningTask) {
        if r.checkpoint.is_empty() {
            return;
        }
        let Some(j) = self.jobs.get_mut(&r.task.step.job) else { return };
        let gang = j.job.steps.get(r.task.step.step as usize).is_some_and(|s| s.gang);
        let Some(step) = j.step_mut(r.task.step) else { return };
        if gang {
            step.gang_checkpoint = Some(r.checkpoint.clone());
        } else if let Some(t) = step.tasks.get_mut(r.task.index as usize) {
            t.checkpoint = Some(r.checkpoint.clone());
        }
    }

    pub(super) fn mark_started(&mut self, r: StepRef) {
        if let Some(j) = self.jobs.get_mut(&r.job) {
            j.has_started = true;
        }
    }

    /// Takes over a running task that this owner did not start if the task is still needed, and stops it otherwise.
    fn adopt(&mut self, no: WorkerIndex, r: &RunningTask, now: Duration, out: &mut Vec<Action>) {
        let wanted = self.jobs.get(&r.task.step.job).is_some_and(|j| {
            let t = j.step(r.task.step).and_then(|s| s.tasks.get(r.task.index as usize));
            j.outcome.is_none() && t.is_some_and(|t| !t.done && t.worker.is_none())
        });
        let room = self
            .jobs
            .get(&r.task.step.job)
            .and_then(|j| Some(j.job.steps.get(r.task.step.step as usize)?.demand()));
        let w = self.worker_mut(no);
        let born = w.info.incarnation;
        let held = Assignment {
            run: r.run,
            // The size of a task of an unknown job is unknown: reserves the whole worker, so that nothing else is
            // placed there.
            demand: room.unwrap_or(w.host.capacity),
            phase: if wanted { Phase::Running } else { Phase::Stopping },
            since: now,
            start_by_ms: 0,
            reported: true,
            stop_acked_at: None,
            expected_end: now,
        };
        w.assign(r.task, held);
        if wanted {
            if let Some(t) =
                self.step_mut(r.task.step).and_then(|s| s.tasks.get_mut(r.task.index as usize))
            {
                t.worker = Some(no);
                t.run = t.run.max(r.run);
            }
            self.record_checkpoint(r);
            self.mark_started(r.task.step);
            self.update_waiting(r.task.step);
        } else {
            out.push(Action::Stop(Stop {
                worker: no,
                incarnation: born,
                task: r.task,
                run: r.run,
            }));
        }
    }

    /// Resolves assignments that the worker listed neither as running nor as ended.
    fn handle_unlisted(
        &mut self,
        no: WorkerIndex,
        sent: Duration,
        seen: &WorkerReport,
        out: &mut Vec<Action>,
    ) {
        let w = self.worker_mut(no);
        let listed: HashSet<(Task, u32)> = seen.running.iter().map(|r| (r.task, r.run)).collect();
        let born = w.info.incarnation;
        let mut gone = Vec::new();
        for (task, held) in &mut w.assignments {
            if listed.contains(&(*task, held.run)) {
                continue;
            }
            match held.phase {
                Phase::Running if held.since < sent => gone.push(*task),
                Phase::Reserved | Phase::Starting | Phase::Running => {}
                Phase::Stopping => {
                    if held.stop_acked_at.is_some_and(|at| at < sent) {
                        gone.push(*task);
                    }
                }
                Phase::Unknown => {
                    if held.since >= sent {
                        continue;
                    }
                    if seen.clock_ms > held.start_by_ms {
                        gone.push(*task);
                    } else {
                        held.phase = Phase::Stopping;
                        held.since = sent;
                        let run = held.run;
                        out.push(Action::Stop(Stop {
                            worker: no,
                            incarnation: born,
                            task: *task,
                            run,
                        }));
                    }
                }
            }
        }
        for task in gone {
            self.worker_mut(no).release(&task);
            self.mark_lost(task, no);
        }
    }
}
