//! Advice: which workers may run a step.

use super::Cell;
use crate::action::{Action, Ask};
use crate::step::Ticket;
use crate::task::StepRef;
use crate::worker::No;
use catkin_types::WorkerId;
use std::collections::HashMap;
use std::time::Duration;

/// One call names at most this many workers.
const MOST_NAMED: usize = 100;
/// How long the adviser is left alone about a step after it declined.
const ASK_AGAIN: Duration = Duration::from_millis(150);

/// What came of a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Advised {
    /// These may run the step, with their tickets.
    Good(Vec<(WorkerId, String)>),
    /// The adviser declined or did not answer.
    Nothing,
}

impl Cell {
    /// The answer to a question. It left the adviser at `answered` at the earliest.
    pub fn advised(&mut self, ask: &Ask, advised: Advised, answered: Duration, now: Duration) {
        let valid = self
            .jobs
            .get(&ask.step.job)
            .and_then(|j| self.queues.get(&j.job.queue)?.advice)
            .map_or(Duration::ZERO, |a| a.valid);
        let Self { jobs, numbers, .. } = self;
        let Some(step) = jobs.get_mut(&ask.step.job).and_then(|j| j.step_mut(ask.step)) else {
            return;
        };
        step.asking_since = None;
        let Advised::Good(rows) = advised else {
            step.ask_after = now + ASK_AGAIN;
            return;
        };
        ask.workers.iter().filter_map(|id| numbers.get(id)).for_each(|no| step.asked.insert(*no));
        let good = step.good.get_or_insert_with(HashMap::new);
        for (id, text) in rows {
            if let Some(no) = numbers.get(&id) {
                good.insert(*no, Ticket { text, valid_until: answered + valid });
            }
        }
    }

    /// Asks about workers, and names them as those on which the step may be started.
    pub(super) fn ask(
        &mut self,
        r: StepRef,
        workers: Vec<No>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(j) = self.jobs.get(&r.job) else { return };
        let Some(advice) = self.queues.get(&j.job.queue).and_then(|q| q.advice) else { return };
        let before = j.due.saturating_sub(j.step(r).map_or(Duration::ZERO, |s| s.tail));
        let named = |no: No| self.worker(no).listed.id.clone();
        let workers: Vec<WorkerId> = workers.into_iter().take(MOST_NAMED).map(named).collect();
        let cost = advice.cost(workers.len());
        let Some(step) = self.step_mut(r) else { return };
        if step.asking_since.is_some() || now < step.ask_after || workers.is_empty() {
            return;
        }
        step.asking_since = Some(now);
        out.push(Action::Ask(Ask { step: r, workers, cost, before }));
    }

    pub(super) fn drop_ticket(&mut self, r: StepRef, worker: No) {
        let ticket = self.step_mut(r).and_then(|s| s.good.as_mut()?.get_mut(&worker));
        if let Some(t) = ticket {
            t.valid_until = Duration::ZERO;
        }
    }
}
