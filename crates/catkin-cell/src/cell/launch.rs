//! Starts of tasks whose room is set aside, once their places are durable and the tickets hold.

use super::Cell;
use crate::action::{Action, Start};
use crate::note::Note;
use crate::task::{StepRef, Task};
use crate::worker::{No, Phase, millis};
use catkin_types::WorkerId;
use std::sync::Arc;
use std::time::Duration;

impl Cell {
    /// Makes it durable that the step may run under `run` on `workers`. Returns whether it already is.
    fn intend(&mut self, r: StepRef, run: u32, workers: &[No]) -> bool {
        let Some(step) = self.step(r) else { return false };
        let missing: Vec<WorkerId> = workers
            .iter()
            .map(|no| &self.worker(*no).listed.id)
            .filter(|id| !step.on.contains(id))
            .cloned()
            .collect();
        if run > step.run || !missing.is_empty() {
            let version = self.mark(r.job);
            if let Some(step) = self.step_mut(r) {
                step.run = step.run.max(run);
                step.on.extend(missing);
                step.intent = version;
            }
        }
        self.step(r).is_some_and(|s| self.durable(r.job, s.intent))
    }

    /// Starts the tasks of a step that have room, once their places are durable and the tickets hold.
    pub(super) fn launch(&mut self, r: StepRef, now: Duration, out: &mut Vec<Action>) {
        let reserved = self.reserved_tasks(r);
        if reserved.is_empty() {
            self.reserved.remove(&r);
            return;
        }
        let run = reserved.iter().map(|(_, _, run)| *run).max().unwrap_or(1);
        let mut workers: Vec<No> = reserved.iter().map(|(_, no, _)| *no).collect();
        workers.sort_unstable();
        workers.dedup();
        let durable = self.intend(r, run, &workers);
        let tickets = !self.queue_advice(r) || self.tickets_hold(r, &workers, now, out);
        if !(durable && tickets) {
            return;
        }
        self.reserved.remove(&r);
        self.note_started(r, run, reserved.len(), workers.len(), now);
        if self.is_gang(r) {
            if let Some(step) = self.step_mut(r) {
                step.launched_at = Some(now);
            }
            self.assembling.insert(r);
        }
        for (task, no, run) in reserved {
            self.start(task, no, run, now, out);
        }
    }

    fn note_started(&mut self, r: StepRef, run: u32, tasks: usize, workers: usize, now: Duration) {
        let Some(j) = self.jobs.get(&r.job) else { return };
        let Some(step) = j.step(r) else { return };
        self.notes.push(Note::Started {
            step: r,
            run,
            tasks,
            workers,
            first: !j.steps.iter().any(|s| s.begun),
            age: now.saturating_sub(j.accepted),
            slack: j.due.saturating_sub(step.tail + now),
            advice: step.advice_took,
        });
    }

    fn reserved_tasks(&self, r: StepRef) -> Vec<(Task, No, u32)> {
        let Some(step) = self.step(r) else { return Vec::new() };
        let held = (0..).zip(&step.tasks).filter_map(|(i, t)| {
            let no = t.at?;
            let held = self.worker(no).held.get(&r.task(i))?;
            (held.phase == Phase::Reserved).then(|| (r.task(i), no, held.run))
        });
        held.collect()
    }

    /// Whether the tickets of all these workers last until an order arrives. Asks for new ones.
    fn tickets_hold(
        &mut self,
        r: StepRef,
        workers: &[No],
        now: Duration,
        out: &mut Vec<Action>,
    ) -> bool {
        let margin = self.opt.ticket_margin;
        let Some(good) = self.step(r).and_then(|s| s.good.as_ref()) else { return false };
        let holds = |no: &No| good.get(no).is_some_and(|t| t.valid_until > now + margin);
        let all = workers.iter().all(holds);
        if !all {
            self.ask(r, workers.to_vec(), now, out);
        }
        all
    }

    fn start(&mut self, task: Task, no: No, run: u32, now: Duration, out: &mut Vec<Action>) {
        let window = millis(self.opt.start_window);
        let gang = self.is_gang(task.step);
        let Some(j) = self.jobs.get_mut(&task.step.job) else { return };
        let spec = Arc::clone(&j.job.spec);
        let Some(step) = j.step_mut(task.step) else { return };
        step.begun = true;
        let ticket = step.good.as_ref().and_then(|g| g.get(&no)).map(|t| t.text.clone());
        let common = step.checkpoint.clone();
        let t = &mut step.tasks[task.index as usize];
        t.run = run;
        let checkpoint = if gang { common } else { t.checkpoint.clone() };
        let w = self.worker_mut(no);
        let start_by_ms = w.clock_about(now).unwrap_or(0) + window;
        w.lease_to_ms = w.lease_to_ms.max(start_by_ms);
        let born = w.listed.born;
        let Some(held) = w.held.get_mut(&task) else { return };
        held.phase = Phase::Starting;
        held.since = now;
        held.start_by_ms = start_by_ms;
        self.counts.starts += 1;
        let worker = no;
        out.push(Action::Start(Start {
            worker,
            born,
            task,
            run,
            spec,
            start_by_ms,
            ticket,
            checkpoint,
        }));
    }

    /// Gives up room that was set aside for too long.
    pub(super) fn drop_reservations(&mut self, now: Duration) {
        let steps: Vec<StepRef> = self.reserved.iter().copied().collect();
        for r in steps {
            let asking = self.step(r).is_some_and(|s| s.asking_since.is_some());
            let patience = self.opt.reservation * if asking { 3 } else { 1 };
            let old = self.step(r).is_none_or(|s| now.saturating_sub(s.reserved_at) > patience);
            let workers = self.reserved_tasks(r);
            let unusable = workers.iter().any(|(_, no, _)| !self.usable(*no, now));
            if !old && !unusable {
                continue;
            }
            self.reserved.remove(&r);
            for (task, no, _) in workers {
                self.worker_mut(no).release(&task);
                self.unplace(task);
            }
        }
    }
}
