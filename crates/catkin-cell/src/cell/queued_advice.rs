//! What a queued request to the adviser asks at the moment when it can be sent.
//!
//! The needs of a step change while its request waits: tickets run out, and room on workers comes and goes. Room is
//! reserved for a step only once its request is sent, so that no capacity is idle for as long as requests wait.

use super::Cell;
use super::advice::MAX_WORKERS_PER_CALL;
use super::place::Pass;
use crate::action::AdviceRequest;
use crate::job::Step;
use crate::step::StepState;
use crate::task::StepRef;
use crate::worker::{WorkerIndex, WorkerSet};
use catkin_types::{Resources, WorkerId};
use std::collections::HashMap;
use std::time::Duration;

impl Cell {
    /// Returns the request to send in place of a queued one, or `None` if its step needs no advice now. One of several
    /// parallel requests about a step is sent as it was queued.
    pub fn request_to_send(
        &mut self,
        request: AdviceRequest,
        now: Duration,
    ) -> Option<AdviceRequest> {
        let r = request.step;
        if self.step(r)?.pending_requests > 1 {
            return Some(request);
        }
        let mut workers = self.reserve_and_list_workers(r, now);
        workers.truncate(MAX_WORKERS_PER_CALL);
        let Some(advice) = self.advice_settings(r).filter(|_| !workers.is_empty()) else {
            self.complete_request(r, now);
            return None;
        };
        let name = |idx: WorkerIndex| self.worker(idx).info.id.clone();
        let workers: Vec<WorkerId> = workers.into_iter().map(name).collect();
        Some(AdviceRequest { cost: advice.cost(workers.len()), workers, ..request })
    }

    /// Returns the workers to ask about now. If the step fits on workers that it is known to be eligible for, reserves
    /// the room: the answer comes soon.
    fn reserve_and_list_workers(&mut self, r: StepRef, now: Duration) -> Vec<WorkerIndex> {
        if self.reserved_steps.contains(&r) {
            return self.reserved_workers_to_ask(r, now);
        }
        if !self.waiting_steps.contains(&r) {
            return Vec::new();
        }
        let Some(j) = self.jobs.get(&r.job) else { return Vec::new() };
        let Some(step_def) = j.job.steps.get(r.step as usize) else { return Vec::new() };
        let Some(step) = j.step(r) else { return Vec::new() };
        if step_def.gang && step.any_assigned() {
            return Vec::new();
        }
        let mut pass = self.single_pass(self.room_kept_for_others(r, now), now);
        let eligible = self.eligible(r, step_def, &mut pass, now);
        if step.tickets.is_none() {
            return self.workers_to_ask(step, step_def, &eligible, &j.job.queue);
        }
        let startable = self.startable(r, step);
        if startable.is_trial() && !self.may_try(r, &pass, now) {
            return Vec::new();
        }
        let plan = self.plan_step(r, step_def, &startable, &eligible, &pass);
        if plan.len() < startable.len() {
            return self.workers_to_explore(r, step_def, step, &eligible, &pass, now);
        }
        let step_def = step_def.clone();
        let (_, stale) = self.split_by_ticket(r, plan.clone(), now);
        if stale.is_empty() {
            // The next pass starts the step.
            return stale;
        }
        self.reserve(r, &step_def, &startable, plan, now);
        self.reserved_workers_to_ask(r, now)
    }

    /// Returns the workers to ask about if those that are known to be eligible have too little room: further ones, and
    /// with them the known ones with room whose tickets have run out, which saves another call.
    fn workers_to_explore(
        &self,
        r: StepRef,
        step_def: &Step,
        step: &StepState,
        eligible: &WorkerSet,
        pass: &Pass,
        now: Duration,
    ) -> Vec<WorkerIndex> {
        let queue = self.jobs.get(&r.job).map_or("", |j| j.job.queue.as_str());
        let fresh = self.workers_to_ask(step, step_def, eligible, queue);
        let with_room = self.candidates(r, step_def, eligible, pass).into_iter().map(|c| c.idx);
        let stale: Vec<WorkerIndex> =
            with_room.filter(|idx| !self.has_valid_ticket(r, *idx, now)).collect();
        if step_def.gang && fresh.is_empty() {
            return fresh;
        }
        [fresh, stale].concat()
    }

    /// Returns the room that the last pass kept for gangs with a higher rank than `r` that still wait.
    fn room_kept_for_others(&self, r: StepRef, now: Duration) -> HashMap<WorkerIndex, Resources> {
        let mut room: HashMap<WorkerIndex, Resources> = HashMap::new();
        let rank = (self.rank(r, now), r);
        let is_before = |step: StepRef| {
            self.waiting_steps.contains(&step) && (self.rank(step, now), step) < rank
        };
        let before = self.kept_gangs.iter().filter(|kept| is_before(kept.step));
        for (idx, kept) in before.flat_map(|gang| &gang.room) {
            let sum = room.entry(*idx).or_default();
            *sum = sum.saturating_add(kept);
        }
        room
    }
}
