//! Requests to the adviser, which says which workers may run a step.

use super::Cell;
use super::plan::fit_count;
use crate::action::{Action, AdviceRequest};
use crate::job::Step;
use crate::queue::AdviceSettings;
use crate::step::{StepState, Ticket};
use crate::task::StepRef;
use crate::worker::{WorkerIndex, WorkerSet};
use catkin_types::WorkerId;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Upper bound on the workers in one call. Longer requests are split into calls that several daemons make in parallel.
pub(super) const MAX_WORKERS_PER_CALL: usize = 75;
/// Upper bound on the workers in all parallel calls about one step.
const MAX_WORKERS_AT_ONCE: usize = 300;
/// Lower bound on the workers in the first call about a step, if that many are available.
const MIN_FIRST_WORKERS: usize = 100;
/// The eligible workers are expected to have this many times the room that a step needs.
const ROOM_FACTOR: f64 = 2.0;
/// The share of workers assumed to be eligible for the steps of a queue until answers are known.
const DEFAULT_ELIGIBLE_SHARE: f64 = 0.25;
/// The eligible share is an exponential average over about this many recent answers.
const SHARE_SAMPLES: f64 = 8.0;
/// How long a step waits after a declined request before the adviser is asked again.
const ADVICE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The result of a request to the adviser.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceAnswer {
    /// The workers that may run the step, with their tickets.
    Eligible(Vec<(WorkerId, String)>),
    /// The adviser declined the request or did not answer.
    Unavailable,
}

impl Cell {
    /// Handles the answer to a request. The adviser sent it at `earliest_sent` or later, so the lifetime of the tickets
    /// is counted from then.
    pub fn handle_advice(
        &mut self,
        request: &AdviceRequest,
        answer: AdviceAnswer,
        earliest_sent: Duration,
        now: Duration,
    ) {
        let advice = self.advice_settings(request.step);
        let ticket_lifetime = advice.map_or(Duration::ZERO, |a| a.ticket_lifetime);
        self.complete_request(request.step, now);
        let Self { jobs, indices, .. } = self;
        let Some(step) = jobs.get_mut(&request.step.job).and_then(|j| j.step_mut(request.step))
        else {
            return;
        };
        let AdviceAnswer::Eligible(rows) = answer else {
            step.advice_retry_at = now + ADVICE_RETRY_DELAY;
            return;
        };
        let indices_asked = || request.workers.iter().filter_map(|id| indices.get(id));
        let (fresh, found) =
            (indices_asked().filter(|idx| !step.advised_on.contains(**idx)).count(), rows.len());
        indices_asked().for_each(|idx| step.advised_on.insert(*idx));
        let tickets = step.tickets.get_or_insert_with(HashMap::new);
        let valid_until = earliest_sent.saturating_add(ticket_lifetime);
        for (id, text) in rows {
            if let Some(idx) = indices.get(&id) {
                tickets.insert(*idx, Ticket { text, valid_until });
            }
        }
        if fresh == request.workers.len() {
            self.update_eligible_share(request.step, found, fresh);
        }
    }

    pub(super) fn advice_settings(&self, r: StepRef) -> Option<AdviceSettings> {
        let j = self.jobs.get(&r.job)?;
        self.queues.get(&j.job.queue)?.advice
    }

    /// Records that a request about a step is no longer pending.
    pub(super) fn complete_request(&mut self, r: StepRef, now: Duration) {
        let Some(step) = self.step_mut(r) else { return };
        step.pending_requests = step.pending_requests.saturating_sub(1);
        if step.pending_requests == 0 {
            let asked_at = step.advice_pending_since.take();
            step.advice_time += asked_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        }
    }

    /// Updates the average share of workers that may run the steps of a queue.
    fn update_eligible_share(&mut self, r: StepRef, eligible_count: usize, asked: usize) {
        let Some(j) = self.jobs.get(&r.job).filter(|_| asked > 0) else { return };
        let share =
            self.eligible_shares.entry(j.job.queue.clone()).or_insert(DEFAULT_ELIGIBLE_SHARE);
        let observed = as_f64(eligible_count as u64) / as_f64(asked as u64);
        *share += (observed - *share) / SHARE_SAMPLES;
    }

    /// Returns the workers to ask about next: those with the most room, as many as are likely to include enough
    /// eligible room for the step. After the first answer, only workers that have room now are included.
    pub(super) fn workers_to_ask(
        &self,
        step: &StepState,
        step_def: &Step,
        eligible: &WorkerSet,
        queue: &str,
    ) -> Vec<WorkerIndex> {
        let demand = step_def.demand();
        let cap = u64::from(step_def.task_limit());
        let free = |idx: WorkerIndex| {
            let w = self.worker(idx);
            if w.trial.is_some() { 0 } else { fit_count(&w.free(), &demand).min(cap) }
        };
        let advised = step.tickets.iter().flat_map(HashMap::keys).copied();
        let known = advised.filter(|idx| eligible.contains(*idx)).map(free);
        let known = known.fold(0, u64::saturating_add);
        let mut needed = as_f64(step.remaining as u64) * ROOM_FACTOR - as_f64(known);
        let first = step.tickets.is_none();
        let fresh = eligible.iter().filter(|idx| !step.advised_on.contains(*idx));
        let mut fresh: Vec<(u64, WorkerIndex)> = fresh.map(|idx| (free(idx), idx)).collect();
        fresh.retain(|(free, _)| first || *free > 0);
        let most = fresh.iter().fold(known, |sum, (free, _)| sum.saturating_add(*free));
        if step_def.gang && !first && most < step.remaining as u64 {
            // The gang has no room, even if all of them may run it.
            return Vec::new();
        }
        fresh.sort_by_key(|(free, idx)| (Reverse(*free), *idx));
        let share = self.eligible_shares.get(queue).copied().unwrap_or(DEFAULT_ELIGIBLE_SHARE);
        let mut selected = Vec::new();
        for (free, idx) in fresh {
            let enough = needed <= 0.0 && (!first || selected.len() >= MIN_FIRST_WORKERS);
            if enough || selected.len() >= MAX_WORKERS_AT_ONCE {
                break;
            }
            needed -= as_f64(free) * share;
            selected.push(idx);
        }
        selected
    }

    /// Sends requests to the adviser about `workers`, unless a request about the step is pending or was declined just
    /// before.
    pub(super) fn request_advice(
        &mut self,
        r: StepRef,
        workers: Vec<WorkerIndex>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(advice) = self.advice_settings(r) else { return };
        let Some(j) = self.jobs.get(&r.job) else { return };
        let latest_start =
            j.deadline.saturating_sub(j.step(r).map_or(Duration::ZERO, |s| s.critical_path));
        let name = |idx: WorkerIndex| self.worker(idx).info.id.clone();
        let workers: Vec<WorkerId> = workers.into_iter().map(name).collect();
        let Some(step) = self.step_mut(r) else { return };
        if step.advice_pending_since.is_some() || now < step.advice_retry_at || workers.is_empty() {
            return;
        }
        step.advice_pending_since = Some(now);
        let calls = workers.len().div_ceil(MAX_WORKERS_PER_CALL);
        step.pending_requests = calls;
        for workers in workers.chunks(workers.len().div_ceil(calls)) {
            let cost = advice.cost(workers.len());
            out.push(Action::RequestAdvice(AdviceRequest {
                step: r,
                workers: workers.to_vec(),
                cost,
                latest_start,
            }));
        }
    }

    pub(super) fn expire_ticket(&mut self, r: StepRef, worker: WorkerIndex) {
        let ticket = self.step_mut(r).and_then(|s| s.tickets.as_mut()?.get_mut(&worker));
        if let Some(t) = ticket {
            t.valid_until = Duration::ZERO;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of workers and tasks")]
fn as_f64(n: u64) -> f64 {
    n as f64
}
