//! Reports the state and events of the cell in logs and metrics.

use super::OwnerState;
use crate::metrics;
use catkin_cell::cell::Cell;
use catkin_cell::worker::millis;
use catkin_cell::{Event, StepRef};
use catkin_types::id::format_job;
use std::time::Duration;

/// The minimum interval between two summary log lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

impl OwnerState {
    /// Logs a summary of the cell and updates its metrics, at most once in each [`SUMMARY_INTERVAL`].
    pub(super) fn log_summary(&mut self, now: Duration) {
        if now.saturating_sub(self.last_summary) < SUMMARY_INTERVAL {
            return;
        }
        self.last_summary = now;
        let totals = self.cell.counts();
        let overview = self.cell.summary(now);
        let asks_waiting = self.dispatcher.waiting();
        let longest_ask_wait = self.dispatcher.longest_wait(now);
        self.cx.metrics.set_cell(metrics::CellSnapshot {
            summary: overview,
            counts: totals,
            asks_waiting,
            longest_ask_wait,
        });
        tracing::info!(
            epoch = self.cell.epoch(),
            jobs = overview.jobs,
            jobs_held = overview.jobs_held,
            steps_waiting = overview.steps_waiting,
            gangs_waiting = overview.gangs_waiting,
            steps_unadvised = overview.steps_unadvised,
            steps_reserved = overview.steps_reserved,
            steps_unsettled = overview.steps_unsettled,
            tasks_held = overview.tasks_held,
            workers = overview.workers,
            workers_usable = overview.workers_usable,
            workers_on_trial = overview.workers_on_trial,
            cpu_used = overview.cpu_used_milli,
            cpu_all = overview.cpu_all_milli,
            cpu_kept = overview.cpu_kept_milli,
            memory_used = overview.memory_used_mib,
            memory_all = overview.memory_all_mib,
            asks_waiting,
            longest_ask_wait_ms = millis(longest_ask_wait),
            askers = self.dispatcher.alive(now),
            starts = totals.starts,
            done = totals.done,
            failed = totals.failed,
            lost = totals.lost,
            declined = totals.declined,
            jobs_given_up = totals.jobs_given_up,
            gangs_given_up = totals.gangs_given_up,
            reservations_expired = totals.reservations_expired,
            "owner: cell"
        );
        if let Some(id) = self.cell.oldest_job() {
            let why = self.cell.explain(id).unwrap_or_default();
            tracing::info!(job = catkin_types::id::format_job(id), why, "owner: oldest job");
        }
    }

    /// Logs the events that the cell recorded since the last call, and records first starts in the metrics.
    pub(super) fn report_events(&mut self) {
        for event in self.cell.take_events() {
            if let Event::StepStarted { step, first: true, age, advice, .. } = &event {
                let queue = self.cell.queue_of(step.job).unwrap_or_default();
                self.cx.metrics.record_first_start(queue, *age, *advice);
            }
            log(&self.cell, &event);
        }
    }
}

fn log(cell: &Cell, event: &Event) {
    let job = |r: StepRef| format_job(r.job);
    match *event {
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
        Event::TaskLost { task, run, worker, cause } => {
            tracing::info!(
                job = job(task.step),
                step = task.step.step,
                index = task.index,
                run,
                worker = cell.contact(worker).0,
                %cause,
                "owner: task lost"
            );
        }
        Event::IncarnationHeard { worker, incarnation, token, clock_ms } => {
            let worker = cell.contact(worker).0;
            tracing::info!(worker, incarnation, token, clock_ms, "owner: first answer of a worker");
        }
        Event::WorkerRestarted { worker, incarnation, planned, lost, held } => {
            let worker = cell.contact(worker).0;
            tracing::info!(worker, incarnation, planned, lost, held, "owner: worker restarted");
        }
        Event::CrashedUnderTask { task, run, worker, crashes, given_up } => {
            tracing::info!(
                job = job(task.step),
                step = task.step.step,
                index = task.index,
                run,
                worker = cell.contact(worker).0,
                crashes,
                given_up,
                "owner: worker crashed under task"
            );
        }
        Event::CrashRetracted { task, worker, crashes } => {
            tracing::info!(
                job = job(task.step),
                step = task.step.step,
                index = task.index,
                worker = cell.contact(worker).0,
                crashes,
                "owner: the exit of a worker was planned, no crash"
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
        Event::SilenceChanged { ref worker, idle_in } => {
            let idle_in_ms = idle_in.map(millis);
            tracing::info!(worker, idle_in_ms, "owner: record of silent workers changed");
        }
        Event::QuarantineChanged { worker, quarantined: out } => {
            tracing::info!(worker = cell.contact(worker).0, out, "owner: worker left out");
        }
    }
}
