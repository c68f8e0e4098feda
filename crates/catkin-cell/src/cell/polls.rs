//! Answers of workers to polls: restarts, ends, and polls that got no answer.

use super::Cell;
use super::held::NEVER_DURABLE;
use super::workers::SentPoll;
use crate::action::Action;
use crate::event::Event;
use crate::job::State;
use crate::task::Task;
use crate::worker::{EndReason, TaskEnd, UnacknowledgedEnd, WorkerIndex, WorkerReport};
use catkin_types::JobId;
use std::time::Duration;

impl Cell {
    /// Handles a poll that got no answer.
    pub fn handle_missed_poll(&mut self, poll: &SentPoll, now: Duration) {
        // A process that was held up meanwhile may have sent the call only now.
        let was_held_up = now.saturating_sub(poll.sent) > self.opt.max_call_delay;
        let w = self.worker_mut(poll.worker);
        if poll.renews {
            w.record_lease_call(if was_held_up { now } else { poll.sent });
        }
        w.silent_since.get_or_insert(now);
        w.missed_polls = w.missed_polls.saturating_add(1);
    }

    /// Handles the report that answers a poll.
    pub fn handle_report(
        &mut self,
        poll: &SentPoll,
        report: &WorkerReport,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let SentPoll { worker: idx, sent, .. } = *poll;
        let w = self.worker_mut(idx);
        if report.incarnation != 0 && report.incarnation != w.info.incarnation {
            // Only a later incarnation can answer a poll that was sent after the known one was learned of. Its number may
            // be lower, since wall clocks can go back.
            let is_outdated = sent <= w.incarnation_known_at || !w.is_current(poll.token);
            if w.info.incarnation != 0 && is_outdated {
                return;
            }
            self.restart_worker(idx, report.incarnation, now);
            out.push(Action::Poll(idx));
        }
        let w = self.worker_mut(idx);
        // Answers that arrive over different connections may be out of order: ignores the older one.
        if w.current.clock_reading.is_some_and(|(clock, _)| clock > report.clock_ms) {
            return;
        }
        w.current.clock_reading = Some((report.clock_ms, now));
        w.missed_polls = 0;
        w.silent_since = None;
        w.current.answered_poll_sent_at = w.current.answered_poll_sent_at.max(Some(sent));
        w.forgotten = false;
        w.victims.clear();
        for end in &report.ended {
            self.process_end(idx, end, now, out);
        }
        // A call that was sent before the poll, with a lower token, may still start a task or renew the lease.
        if self.worker(idx).is_current(poll.token) {
            self.handle_current_report(poll, report, now, out);
        }
        self.acknowledge_worker(idx);
    }

    fn process_end(
        &mut self,
        idx: WorkerIndex,
        end: &TaskEnd,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let w = self.worker_mut(idx);
        if end.number <= w.current.newest_end {
            return;
        }
        w.current.newest_end = end.number;
        let was_assigned = w.assignments.get(&end.task).is_some_and(|h| h.run == end.run);
        if was_assigned {
            w.release(&end.task);
        }
        let required_version = self.apply_end(idx, end, was_assigned, now, out);
        let end = UnacknowledgedEnd { number: end.number, required_version };
        self.worker_mut(idx).current.unacknowledged.push_back(end);
    }

    /// Applies an end to its job. Returns the version of the job that has to be durable before the end may be
    /// acknowledged.
    fn apply_end(
        &mut self,
        idx: WorkerIndex,
        end: &TaskEnd,
        was_assigned: bool,
        now: Duration,
        out: &mut Vec<Action>,
    ) -> Option<(JobId, u64)> {
        let task = end.task;
        if self.is_held(task.step.job) {
            return Some((task.step.job, NEVER_DURABLE));
        }
        let j = self.jobs.get_mut(&task.step.job)?;
        j.has_started = true;
        let job_ended = j.outcome.is_some();
        let step_def = j.job.steps.get(task.step.step as usize)?.clone();
        let step = j.step_mut(task.step)?;
        let t = step.tasks.get_mut(task.index as usize)?;
        t.run = t.run.max(end.run);
        let assigned_here = t.assigned_to == Some(idx) && was_assigned;
        if !end.checkpoint.is_empty() && end.reason != EndReason::Done {
            t.checkpoint = Some(end.checkpoint.clone());
            if step_def.gang {
                step.gang_checkpoint = Some(end.checkpoint.clone());
            }
        }
        if assigned_here {
            self.clear_worker(task);
        }
        if job_ended {
            return Some((task.step.job, self.jobs.get(&task.step.job)?.version));
        }
        match end.reason {
            EndReason::Done if !step_def.long_running => {
                self.update_health(idx, task, true, now);
                Some(self.handle_done(task, end.run, step_def.gang, out))
            }
            EndReason::Failed if !step_def.long_running => {
                self.update_health(idx, task, false, now);
                Some(self.handle_failure(task, end.run, idx, step_def.gang, out))
            }
            EndReason::GangTimedOut => {
                self.counts.gangs_given_up += 1;
                self.events.push(Event::GangGivenUp(task.step));
                None
            }
            _ => None,
        }
    }

    fn update_health(&mut self, idx: WorkerIndex, task: Task, success: bool, now: Duration) {
        let Self { workers, fleet, .. } = self;
        fleet.record_end(&workers[idx.index()].info.id, task.step.job, success, now);
    }

    /// Returns the tasks on workers that the end of a run makes superfluous: runs that replaced it after it was
    /// considered lost. The other members of the same run of a gang end by themselves.
    fn replacements(&self, task: Task, run: u32, gang: bool) -> Vec<Task> {
        let Some(step) = self.step(task.step) else { return Vec::new() };
        let is_other_run = |(task, at): &(Task, WorkerIndex)| {
            let assignment = self.worker(*at).assignments.get(task);
            !gang || assignment.is_some_and(|h| h.run != run)
        };
        (0..)
            .zip(&step.tasks)
            .filter(|(i, _)| gang || *i == task.index)
            .filter_map(|(i, t)| Some((task.step.task(i), t.assigned_to?)))
            .filter(is_other_run)
            .map(|(task, _)| task)
            .collect()
    }

    /// Marks the task as done, or all tasks of its gang.
    fn handle_done(
        &mut self,
        task: Task,
        run: u32,
        gang: bool,
        out: &mut Vec<Action>,
    ) -> (JobId, u64) {
        let r = task.step;
        let already_done = self.step(r).is_some_and(|s| s.tasks[task.index as usize].done);
        if already_done {
            return (r.job, self.jobs.get(&r.job).map_or(0, |j| j.version));
        }
        let replaced = self.replacements(task, run, gang);
        if let Some(step) = self.step_mut(r) {
            let all = 0..u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
            let ended = if gang { all } else { task.index..task.index + 1 };
            for i in ended {
                let t = &mut step.tasks[i as usize];
                if !t.done {
                    t.done = true;
                    step.remaining -= 1;
                }
            }
        }
        self.counts.done += 1;
        for t in replaced {
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
        let attempts_allowed = self
            .jobs
            .get(&r.job)
            .and_then(|j| self.queues.get(&j.job.queue))
            .map_or(u32::MAX, |q| q.max_attempts.max(1));
        let version = self.mark_dirty(r.job);
        let mut failures = 0;
        if let Some(step) = self.step_mut(r) {
            let count = &mut step.tasks[if gang { 0 } else { task.index as usize }].failures;
            count.record(run);
            count.required_version = version;
            failures = count.times();
        }
        self.counts.failed += 1;
        self.events.push(Event::TaskFailed {
            task,
            run,
            worker,
            times: failures,
            attempts_allowed,
        });
        if failures >= attempts_allowed {
            self.end_job(r.job, State::Failed, out);
        }
        (r.job, version)
    }
}
