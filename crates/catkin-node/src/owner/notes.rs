//! What the cell decided and saw, in logs and metrics.

use super::Running;
use crate::metrics;
use catkin_cell::cell::Cell;
use catkin_cell::worker::millis;
use catkin_cell::{Event, StepRef};
use catkin_types::id::format_job;
use std::time::Duration;

/// How often a line is logged on the cell as a whole.
const SUMMARY_EVERY: Duration = Duration::from_secs(1);

impl Running {
    /// Says how the cell as a whole is, now and then.
    pub(super) fn summarise(&mut self, now: Duration) {
        if now.saturating_sub(self.last_summary) < SUMMARY_EVERY {
            return;
        }
        self.last_summary = now;
        let c = self.cell.counts();
        let s = self.cell.summary(now);
        let asks_waiting = self.askers.waiting();
        self.cx.metrics.cell(metrics::Cell { summary: s, counts: c, asks_waiting });
        tracing::info!(
            epoch = self.cell.epoch(),
            jobs = s.jobs,
            steps_waiting = s.steps_waiting,
            steps_reserved = s.steps_reserved,
            steps_unsettled = s.steps_unsettled,
            tasks_held = s.tasks_held,
            workers = s.workers,
            workers_usable = s.workers_usable,
            cpu_used = s.cpu_used_milli,
            cpu_all = s.cpu_all_milli,
            asks_waiting,
            askers = self.askers.alive(now),
            starts = c.starts,
            done = c.done,
            failed = c.failed,
            lost = c.lost,
            declined = c.declined,
            gangs_given_up = c.gangs_given_up,
            "owner: cell"
        );
        if let Some(id) = self.cell.oldest_job() {
            let why = self.cell.explain(id).unwrap_or_default();
            tracing::info!(job = catkin_types::id::format_job(id), why, "owner: oldest job");
        }
    }

    /// Logs and counts what the cell noted since the last time.
    pub(super) fn tell(&mut self) {
        for note in self.cell.take_events() {
            if let Event::StepStarted { step, first: true, age, advice, .. } = &note {
                let queue = self.cell.queue_of(step.job).unwrap_or_default();
                self.cx.metrics.first_start(queue, *age, *advice);
            }
            log(&self.cell, &note);
        }
    }
}

fn log(cell: &Cell, note: &Event) {
    let job = |r: StepRef| format_job(r.job);
    match *note {
        Event::StepStarted { step, run, tasks, workers, first: _, age, slack, advice } => {
            tracing::info!(
                job = job(step),
                occurrence = step.occurrence,
                step = step.step,
                run,
                tasks,
                workers,
                age_ms = millis(age),
                slack_ms = millis(slack),
                advice_ms = millis(advice),
                "owner: step started"
            );
        }
        Event::TaskFailed { task, run, worker, times, attempts_allowed: most } => {
            tracing::info!(
                job = job(task.step),
                step = task.step.step,
                index = task.index,
                run,
                worker = cell.contact(worker).0,
                times,
                most,
                "owner: task failed"
            );
        }
        Event::TaskLost { task, worker } => {
            tracing::info!(
                job = job(task.step),
                step = task.step.step,
                index = task.index,
                worker = cell.contact(worker).0,
                "owner: task lost"
            );
        }
        Event::GangGivenUp(step) => {
            tracing::info!(job = job(step), step = step.step, "owner: gang given up");
        }
        Event::JobEnded { job, state, age, late } => {
            tracing::info!(
                job = format_job(job),
                state = %state,
                age_ms = millis(age),
                late,
                "owner: job ended"
            );
        }
        Event::QuarantineChanged { worker, quarantined: out } => {
            tracing::info!(worker = cell.contact(worker).0, out, "owner: worker left out");
        }
    }
}
