//! Answers of workers to orders.

use super::Cell;
use crate::action::{Action, Start, Stop};
use crate::task::{StepRef, Task};
use crate::worker::{Phase, Reply, WorkerIndex};
use catkin_types::FencingToken;
use std::time::Duration;

impl Cell {
    /// Handles the answer to an order to start.
    pub fn handle_start_reply(
        &mut self,
        s: &Start,
        reply: Reply,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let w = self.worker_mut(s.worker);
        if let Some(a) = w.assignments.get_mut(&s.task).filter(|a| a.run == s.run) {
            a.settled_at = a.settled_at.min(now);
        }
        if reply == Reply::Fenced && !self.handle_fenced(s.worker, s.token, out) {
            return;
        }
        let w = self.worker_mut(s.worker);
        if matches!(reply, Reply::Done | Reply::Unknown) {
            w.record_lease_call(now);
        }
        let current =
            w.assignments.get(&s.task).is_some_and(|h| h.run == s.run) && w.is_current(s.token);
        if !current {
            return;
        }
        match reply {
            Reply::Done => {
                self.worker_mut(s.worker).pauses = 0;
                self.mark_running(s.worker, s.task, now);
            }
            Reply::Unknown => {
                self.mark_unknown(s.worker, s.task, now);
                out.push(Action::Poll(s.worker));
            }
            Reply::OtherLife => {
                self.handle_declined(s.worker, s.task, out);
                self.retire_worker(s.worker, now);
            }
            Reply::Late => {
                self.handle_declined(s.worker, s.task, out);
                out.push(Action::Poll(s.worker));
            }
            Reply::Ticket => {
                self.expire_ticket(s.task.step, s.worker);
                self.handle_declined(s.worker, s.task, out);
            }
            Reply::Full | Reply::NotRun => {
                let pause = self.opt.decline_pause;
                self.worker_mut(s.worker).pause(pause, now);
                self.handle_declined(s.worker, s.task, out);
            }
            Reply::Old | Reply::Fenced => self.handle_declined(s.worker, s.task, out),
        }
    }

    /// Handles that the worker has seen a higher token than `token`: one of this owner, or else one of a later owner.
    /// Returns whether it can be one of this owner.
    pub fn handle_fenced(
        &self,
        worker: WorkerIndex,
        token: FencingToken,
        out: &mut Vec<Action>,
    ) -> bool {
        let is_own = token < self.worker(worker).token;
        if !is_own {
            out.push(Action::StepDown);
        }
        is_own
    }

    fn mark_running(&mut self, worker: WorkerIndex, task: Task, now: Duration) {
        let Some(assignment) = self.worker_mut(worker).assignments.get_mut(&task) else { return };
        if matches!(assignment.phase, Phase::Starting | Phase::Unknown) {
            assignment.phase = Phase::Running;
            assignment.has_run = true;
            assignment.since = now;
        }
        self.mark_started(task.step);
    }

    fn mark_unknown(&mut self, worker: WorkerIndex, task: Task, now: Duration) {
        let w = self.worker_mut(worker);
        if let Some(assignment) =
            w.assignments.get_mut(&task).filter(|h| h.phase == Phase::Starting)
        {
            assignment.phase = Phase::Unknown;
            assignment.since = now;
        }
    }

    /// Handles a start that the worker did not carry out and will not carry out later.
    fn handle_declined(&mut self, worker: WorkerIndex, task: Task, out: &mut Vec<Action>) {
        self.counts.declined += 1;
        self.worker_mut(worker).release(&task);
        self.clear_worker(task);
        if self.is_gang(task.step) {
            self.give_up_gang(task.step, out);
        }
    }

    /// Handles the answer to an order to stop.
    pub fn handle_stop_reply(
        &mut self,
        s: &Stop,
        reply: Reply,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        match reply {
            Reply::Fenced => {
                self.handle_fenced(s.worker, s.token, out);
            }
            Reply::OtherLife => {
                if self.worker(s.worker).is_current(s.token) {
                    self.retire_worker(s.worker, now);
                }
            }
            Reply::Unknown | Reply::NotRun => {}
            _ => {
                let w = self.worker_mut(s.worker);
                let is_current = w.is_current(s.token);
                if let Some(assignment) = w.assignments.get_mut(&s.task)
                    && is_current
                    && assignment.run == s.run
                    && assignment.phase == Phase::Stopping
                {
                    assignment.stop_acked_at.get_or_insert(now);
                }
                out.push(Action::Poll(s.worker));
            }
        }
    }

    /// Sends orders to stop again if they got no answer within the resend interval.
    pub(super) fn resend_stops(&mut self, now: Duration, out: &mut Vec<Action>) {
        let interval = self.opt.stop_resend_interval;
        for (idx, w) in (0..).map(WorkerIndex).zip(&mut self.workers) {
            for (task, assignment) in &mut w.assignments {
                if assignment.phase != Phase::Stopping || assignment.stop_acked_at.is_some() {
                    continue;
                }
                if assignment.since == Duration::ZERO {
                    assignment.since = now;
                } else if now.saturating_sub(assignment.since) >= interval {
                    assignment.since = now;
                    let token = w.token;
                    out.push(Action::Stop(Stop {
                        worker: idx,
                        token,
                        task: *task,
                        run: assignment.run,
                    }));
                }
            }
        }
    }

    pub(super) fn is_gang(&self, r: StepRef) -> bool {
        let step_def = self.jobs.get(&r.job).and_then(|j| j.job.steps.get(r.step as usize));
        step_def.is_some_and(|k| k.gang)
    }
}
