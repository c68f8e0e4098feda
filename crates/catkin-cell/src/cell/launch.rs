//! Starts tasks with reserved room once their workers are durably recorded and the tickets are valid.

use super::Cell;
use super::plan::distinct_workers;
use crate::action::{Action, Start};
use crate::event::Event;
use crate::task::{StepRef, Task};
use crate::worker::{Phase, WorkerIndex, millis};
use catkin_types::WorkerId;
use std::sync::Arc;
use std::time::Duration;

impl Cell {
    /// Marks it to be written that the step may run on `workers` with runs up to `run`. Returns whether that is durable
    /// already.
    pub(super) fn record_intent(&mut self, r: StepRef, run: u32, workers: &[WorkerIndex]) -> bool {
        let Some(step) = self.step(r) else { return false };
        let missing: Vec<WorkerId> = workers
            .iter()
            .map(|idx| &self.worker(*idx).info.id)
            .filter(|id| !step.start_workers.contains(id))
            .cloned()
            .collect();
        if run > step.max_run || !missing.is_empty() {
            let version = self.mark_dirty(r.job);
            if let Some(step) = self.step_mut(r) {
                step.max_run = step.max_run.max(run);
                step.start_workers.extend(missing);
                step.intent_version = version;
            }
        }
        self.step(r).is_some_and(|s| self.is_durable(r.job, s.intent_version))
    }

    /// Starts the reserved tasks of a step if their workers are durably recorded and the tickets are valid.
    pub(super) fn launch(&mut self, r: StepRef, now: Duration, out: &mut Vec<Action>) {
        let reserved = self.reserved_tasks(r);
        if reserved.is_empty() {
            self.reserved_steps.remove(&r);
            return;
        }
        let run = reserved.iter().map(|(_, _, run)| *run).max().unwrap_or(1);
        let workers = distinct_workers(reserved.iter().map(|(_, idx, _)| *idx));
        let durable =
            self.record_intent(r, run, &workers) && self.are_failures_durable(r, &reserved);
        let has_tickets = !self.needs_advice(r) || self.tickets_valid(r, &workers, now, out);
        if !(durable && has_tickets && self.may_launch(r, &workers, now, out)) {
            return;
        }
        self.reserved_steps.remove(&r);
        self.push_started_event(r, run, reserved.len(), workers.len(), now);
        if self.is_gang(r) {
            if let Some(step) = self.step_mut(r) {
                step.launched_at = Some(now);
            }
            self.assembling_gangs.insert(r);
        }
        for (task, idx, run) in reserved {
            self.start_task(task, idx, run, now, out);
        }
    }

    /// Returns whether the failures of these tasks of a step, and of its gang, are durable. Otherwise an owner that takes
    /// over could hear of two failures of a task in any order, or of one whose successor has started.
    fn are_failures_durable(&self, r: StepRef, tasks: &[(Task, WorkerIndex, u32)]) -> bool {
        let Some(step) = self.step(r) else { return false };
        let of_gang = step.tasks.first().filter(|_| self.is_gang(r));
        let of_tasks = tasks.iter().filter_map(|(task, ..)| step.tasks.get(task.index as usize));
        let is_durable = |v| self.is_durable(r.job, v);
        of_tasks.chain(of_gang).all(|t| is_durable(t.failures.required_version))
    }

    fn push_started_event(
        &mut self,
        r: StepRef,
        run: u32,
        tasks: usize,
        workers: usize,
        now: Duration,
    ) {
        let Some(j) = self.jobs.get(&r.job) else { return };
        let Some(step) = j.step(r) else { return };
        self.events.push(Event::StepStarted {
            step: r,
            run,
            tasks,
            workers,
            first: !j.steps.iter().any(|s| s.has_started),
            age: now.saturating_sub(j.accepted_at),
            slack: j.deadline.saturating_sub(step.critical_path.saturating_add(now)),
            advice: step.advice_time,
        });
    }

    fn reserved_tasks(&self, r: StepRef) -> Vec<(Task, WorkerIndex, u32)> {
        let Some(step) = self.step(r) else { return Vec::new() };
        let found = (0..).zip(&step.tasks).filter_map(|(i, t)| {
            let idx = t.assigned_to?;
            let assignment = self.worker(idx).assignments.get(&r.task(i))?;
            (assignment.phase == Phase::Reserved).then(|| (r.task(i), idx, assignment.run))
        });
        found.collect()
    }

    /// Returns whether the tickets of all `workers` stay valid until an order arrives there. Requests new ones
    /// otherwise.
    fn tickets_valid(
        &mut self,
        r: StepRef,
        workers: &[WorkerIndex],
        now: Duration,
        out: &mut Vec<Action>,
    ) -> bool {
        let all = workers.iter().all(|idx| self.has_valid_ticket(r, *idx, now));
        if !all {
            self.request_advice(r, workers.to_vec(), now, out);
        }
        all
    }

    /// Returns whether the ticket of a worker stays valid until an order arrives there.
    pub(super) fn has_valid_ticket(&self, r: StepRef, idx: WorkerIndex, now: Duration) -> bool {
        let ticket = self.step(r).and_then(|s| s.tickets.as_ref()?.get(&idx));
        ticket.is_some_and(|t| t.valid_until > now + self.opt.ticket_margin)
    }

    /// Returns the workers with reserved room for a step if any of their tickets has to be renewed.
    pub(super) fn reserved_workers_to_ask(&self, r: StepRef, now: Duration) -> Vec<WorkerIndex> {
        let mut workers =
            distinct_workers(self.reserved_tasks(r).into_iter().map(|(_, idx, _)| idx));
        if workers.iter().all(|idx| self.has_valid_ticket(r, *idx, now)) {
            workers.clear();
        }
        workers
    }

    fn start_task(
        &mut self,
        task: Task,
        idx: WorkerIndex,
        run: u32,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let window = millis(self.opt.start_window);
        let max_call_delay = self.opt.max_call_delay;
        let gang = self.is_gang(task.step);
        let Some(j) = self.jobs.get_mut(&task.step.job) else { return };
        let spec = Arc::clone(&j.job.spec);
        let Some(step) = j.step_mut(task.step) else { return };
        step.has_started = true;
        let ticket = step.tickets.as_ref().and_then(|g| g.get(&idx)).map(|t| t.text.clone());
        let shared_checkpoint = step.gang_checkpoint.clone();
        let t = &mut step.tasks[task.index as usize];
        t.run = run;
        let checkpoint = if gang { shared_checkpoint } else { t.checkpoint.clone() };
        let w = self.worker_mut(idx);
        // A poll that is on its way could acknowledge the end of this run at an incarnation that is not known.
        if w.has_acknowledged {
            w.raise_token();
        }
        let start_by_ms = w.estimated_clock_ms(now).unwrap_or(0).saturating_add(window);
        w.current.lease_to_ms = w.current.lease_to_ms.max(start_by_ms);
        w.start_sent_at = Some(now);
        w.record_lease_call(now);
        let token = w.token;
        let Some(assignment) = w.assignments.get_mut(&task) else { return };
        assignment.phase = Phase::Starting;
        assignment.since = now;
        assignment.started_at = Some(now);
        assignment.start_by_ms = start_by_ms;
        assignment.settled_at = now + max_call_delay;
        self.counts.starts += 1;
        let worker = idx;
        out.push(Action::Start(Start {
            worker,
            token,
            task,
            run,
            spec,
            start_by_ms,
            ticket,
            checkpoint,
        }));
    }

    /// Releases reservations that are too old, or are on workers that became unusable or whose capacity has shrunk.
    pub(super) fn expire_reservations(&mut self, now: Duration) {
        let steps: Vec<StepRef> = self.reserved_steps.iter().copied().collect();
        for r in steps {
            let advice_pending = self.step(r).is_some_and(|s| s.advice_pending_since.is_some());
            let timeout = self.opt.reservation_timeout * if advice_pending { 3 } else { 1 };
            let too_old = self.step(r).is_none_or(|s| now.saturating_sub(s.reserved_at) > timeout);
            let workers = self.reserved_tasks(r);
            let unusable = workers.iter().any(|(_, idx, _)| !self.is_usable(*idx, now));
            let overbooked = workers.iter().any(|(_, idx, _)| self.worker(*idx).is_overbooked());
            if !too_old && !unusable && !overbooked {
                continue;
            }
            self.reserved_steps.remove(&r);
            self.counts.reservations_expired += 1;
            for (task, idx, _) in workers {
                self.worker_mut(idx).release(&task);
                self.clear_worker(task);
            }
        }
    }
}
