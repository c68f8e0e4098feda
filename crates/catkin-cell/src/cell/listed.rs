//! What a worker lists in an answer to a poll with a token of its known incarnation: its tasks, and how far its lease can
//! reach.

use super::Cell;
use super::workers::SentPoll;
use crate::action::{Action, Stop};
use crate::event::{Event, LossCause};
use crate::task::{StepRef, Task};
use crate::worker::{Assignment, Phase, RunningTask, WorkerIndex, WorkerReport, millis};
use std::collections::HashSet;
use std::time::Duration;

/// Upper bound on the ends that a worker lists in one report. A report with this many may omit others.
const MAX_LISTED_ENDS: usize = 500;

impl Cell {
    /// Handles the report that answers a poll with a token of the known incarnation: calls with tokens of earlier ones are
    /// not carried out any more.
    pub(super) fn handle_current_report(
        &mut self,
        poll: &SentPoll,
        report: &WorkerReport,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let idx = poll.worker;
        self.confirm_worker(idx, report.clock_ms, now);
        let Self { workers, silences, settled_workers, events, .. } = self;
        let id = &workers[idx.index()].info.id;
        events.extend(silences.withdraw(id));
        // Ends that are not listed yet may be of tasks that would be started again.
        let lists_all_ends = report.ended.len() < MAX_LISTED_ENDS;
        if lists_all_ends && !settled_workers.contains(id) {
            settled_workers.insert(id.clone());
        }
        for r in &report.running {
            self.handle_running(idx, r, now, out);
        }
        if lists_all_ends {
            self.handle_unlisted(idx, poll.sent, report, out);
        }
    }

    /// Records that the tasks of the worker's incarnation are known from now on, and how far its lease can reach.
    fn confirm_worker(&mut self, idx: WorkerIndex, clock_ms: u64, now: Duration) {
        let longest_lease = millis(self.opt.max_lease);
        let w = self.worker_mut(idx);
        w.current.confirmed = true;
        if w.current.granted_to_ms.is_some() {
            return;
        }
        w.current.granted_to_ms = Some(clock_ms.saturating_add(longest_lease));
        w.record_lease_call(now);
        let (incarnation, token) = (w.info.incarnation, w.token);
        self.events.push(Event::IncarnationHeard { worker: idx, incarnation, token, clock_ms });
    }

    fn handle_running(
        &mut self,
        idx: WorkerIndex,
        r: &RunningTask,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let w = self.worker_mut(idx);
        let token = w.token;
        let Some(assignment) = w.assignments.get_mut(&r.task) else {
            self.adopt(idx, r, now, out);
            return;
        };
        if assignment.run != r.run {
            out.push(Action::Stop(Stop { worker: idx, token, task: r.task, run: r.run }));
            return;
        }
        assignment.reported = true;
        assignment.has_run = true;
        if matches!(assignment.phase, Phase::Starting | Phase::Unknown) {
            assignment.phase = Phase::Running;
            assignment.since = now;
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

    /// Takes over a running task that this owner did not start if the task is still needed, and stops it otherwise. A
    /// task of a held job runs on, because it is not known whether it is needed.
    fn adopt(&mut self, idx: WorkerIndex, r: &RunningTask, now: Duration, out: &mut Vec<Action>) {
        let wanted = self.jobs.get(&r.task.step.job).is_some_and(|j| {
            let t = j.step(r.task.step).and_then(|s| s.tasks.get(r.task.index as usize));
            j.outcome.is_none() && t.is_some_and(|t| !t.done && t.assigned_to.is_none())
        });
        let demand = self
            .jobs
            .get(&r.task.step.job)
            .and_then(|j| Some(j.job.steps.get(r.task.step.step as usize)?.demand()));
        let held = self.is_held(r.task.step.job);
        let suspicion_period = self.suspicion_period(r.task.step);
        let w = self.worker_mut(idx);
        let token = w.token;
        let assignment = Assignment {
            run: r.run,
            // The size of a task of an unknown job is unknown: reserves the whole worker, so that nothing else is
            // placed there.
            demand: demand.unwrap_or(w.host.capacity),
            phase: if wanted || held { Phase::Running } else { Phase::Stopping },
            since: now,
            start_by_ms: w.current.clock_reading.map_or(0, |(clock, _)| clock),
            settled_at: Duration::ZERO,
            reported: true,
            has_run: true,
            // It has survived its start.
            started_at: Some(now.saturating_sub(suspicion_period)),
            stop_acked_at: None,
            expected_end: now,
        };
        w.assign(r.task, assignment);
        if wanted {
            if let Some(t) = self.task_mut(r.task) {
                t.assigned_to = Some(idx);
                t.run = t.run.max(r.run);
            }
            self.record_intent(r.task.step, r.run, &[idx]);
            self.record_checkpoint(r);
            self.mark_started(r.task.step);
            self.update_waiting(r.task.step);
        } else if !held {
            out.push(Action::Stop(Stop { worker: idx, token, task: r.task, run: r.run }));
        }
    }

    /// Resolves assignments that the worker listed neither as running nor as ended.
    fn handle_unlisted(
        &mut self,
        idx: WorkerIndex,
        sent: Duration,
        report: &WorkerReport,
        out: &mut Vec<Action>,
    ) {
        let w = self.worker_mut(idx);
        let listed: HashSet<(Task, u32)> = report.running.iter().map(|r| (r.task, r.run)).collect();
        let token = w.token;
        let mut lost_tasks = Vec::new();
        for (task, assignment) in &mut w.assignments {
            // The order may still arrive at an incarnation that is not known.
            let is_on_way = assignment.settled_at > sent;
            if is_on_way || listed.contains(&(*task, assignment.run)) {
                continue;
            }
            // A run that is not there after the last time at which it could start will never be.
            let never_starts = report.clock_ms > assignment.start_by_ms;
            match assignment.phase {
                Phase::Running if assignment.since < sent => lost_tasks.push(*task),
                Phase::Starting | Phase::Unknown | Phase::Stopping if never_starts => {
                    lost_tasks.push(*task);
                }
                Phase::Reserved | Phase::Running | Phase::Starting => {}
                Phase::Stopping => {
                    if assignment.stop_acked_at.is_some_and(|at| at < sent) {
                        lost_tasks.push(*task);
                    }
                }
                Phase::Unknown => {
                    if assignment.since >= sent {
                        continue;
                    }
                    assignment.phase = Phase::Stopping;
                    assignment.since = sent;
                    let run = assignment.run;
                    out.push(Action::Stop(Stop { worker: idx, token, task: *task, run }));
                }
            }
        }
        for task in lost_tasks {
            self.lose_task(task, idx, LossCause::NotListed);
        }
    }
}
