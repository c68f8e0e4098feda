//! Workers that crash, and the tasks that were on them.

use super::Cell;
use crate::event::Event;
use crate::task::Task;
use crate::worker::{Phase, WorkerIndex};

impl Cell {
    /// Counts the crash of a worker for each task that may have run on it.
    pub(super) fn record_crash(&mut self, idx: WorkerIndex) {
        let may_have_run = self.worker(idx).assignments.iter();
        let may_have_run = may_have_run.filter(|(_, a)| a.phase != Phase::Reserved);
        let tasks: Vec<(Task, u32)> = may_have_run.map(|(task, a)| (*task, a.run)).collect();
        for (task, run) in tasks {
            let Some(step) = self.step_mut(task.step) else { continue };
            let Some(t) = step.tasks.get_mut(task.index as usize) else { continue };
            t.crashes = t.crashes.saturating_add(1);
            let crashes = t.crashes;
            self.events.push(Event::CrashedUnderTask { task, run, worker: idx, crashes });
        }
    }
}
