//! Placement: decides which steps get room and reserves it on workers.

use super::Cell;
use crate::action::Action;
use crate::job::Step;
use crate::step::StepState;
use crate::task::{StepRef, Task};
use crate::worker::{Assignment, Phase, Worker, WorkerIndex, WorkerSet};
use catkin_place::score::balanced_fit;
use catkin_types::Resources;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Task indices with the workers they are placed on.
type Plan = Vec<(u32, WorkerIndex)>;

/// A worker with room for at least one task of a step.
struct Candidate {
    no: WorkerIndex,
    free: Resources,
    /// How many more tasks of the step the worker may have.
    max_tasks: u32,
}

/// State that is shared by all steps of one scheduling pass.
#[derive(Default)]
pub(super) struct Pass {
    /// The usable workers, by service and required label.
    worker_sets: HashMap<(String, Option<String>), Arc<WorkerSet>>,
    /// Room that is kept free for gangs with a higher rank.
    gang_room: HashMap<WorkerIndex, Resources>,
    gang_count: usize,
    /// How many more steps may send requests to the adviser in this pass.
    advice_budget: usize,
}

/// Upper bound on the gangs for which room is kept at a time.
const MAX_KEPT_GANGS: usize = 6;

impl Cell {
    /// Reserves room for the waiting steps in order of rank, and starts the tasks that are ready.
    pub(super) fn schedule(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut order: Vec<_> = self
            .waiting_steps
            .iter()
            .filter(|r| {
                self.step(**r)
                    .is_some_and(|s| s.advice_pending_since.is_none() || s.tickets.is_some())
            })
            .map(|r| (self.rank(*r, now), *r))
            .collect();
        order.sort_unstable();
        let asking = self.waiting_steps.iter().filter(|r| self.is_advice_pending(**r)).count();
        let asks = self.opt.max_pending_advice.saturating_sub(asking);
        let mut pass = Pass { advice_budget: asks, ..Pass::default() };
        for (_, r) in order {
            self.schedule_step(r, &mut pass, now, out);
        }
        let reserved: Vec<StepRef> = self.reserved_steps.iter().copied().collect();
        for r in reserved {
            self.launch(r, now, out);
        }
    }

    fn schedule_step(&mut self, r: StepRef, pass: &mut Pass, now: Duration, out: &mut Vec<Action>) {
        if !self.settle(r, now) {
            return;
        }
        let Some(j) = self.jobs.get(&r.job) else { return };
        let Some(kind) = j.job.steps.get(r.step as usize) else { return };
        let Some(step) = j.step(r) else { return };
        if kind.gang && step.any_held() {
            return;
        }
        let eligible = self.eligible(r, kind, pass, now);
        let advised = self.needs_advice(r);
        if advised && step.tickets.is_none() {
            if pass.advice_budget > 0 {
                pass.advice_budget -= 1;
                let unknown = self.workers_to_ask(step, kind, &eligible, &j.job.queue);
                self.request_advice(r, unknown, now, out);
            }
            return;
        }
        let candidates = self.candidates(r, kind, &eligible, advised, pass);
        let waiting: Vec<u32> = step.waiting().collect();
        let plan = if kind.gang {
            self.plan_gang(kind, &waiting, &candidates)
        } else {
            self.plan_tasks(kind, &waiting, candidates)
        };
        let more = if advised && plan.len() < waiting.len() && pass.advice_budget > 0 {
            self.workers_to_ask(step, kind, &eligible, &j.job.queue)
        } else {
            Vec::new()
        };
        if !plan.is_empty() {
            let kind = kind.clone();
            self.reserve(r, &kind, plan, now);
        } else if kind.gang && pass.gang_count < MAX_KEPT_GANGS {
            pass.gang_count += 1;
            self.keep_gang_room(kind, step, &eligible, pass);
        }
        self.request_advice(r, more, now, out);
    }

    fn is_advice_pending(&self, r: StepRef) -> bool {
        self.step(r).is_some_and(|s| s.advice_pending_since.is_some())
    }

    /// Returns whether no task of the step can run unknown to this owner. A worker that an earlier owner may have used
    /// is settled once it answered in this term, or once that owner's autonomy and its last lease have run out.
    fn settle(&mut self, r: StepRef, now: Duration) -> bool {
        let over = self.opt.autonomy + self.opt.lease + self.opt.lease / 10;
        let over = now.saturating_sub(self.term_start) > over;
        let Self { jobs, settled_workers: settled, .. } = self;
        let Some(step) = jobs.get_mut(&r.job).and_then(|j| j.step_mut(r)) else { return false };
        step.unsettled.retain(|w| !over && !settled.contains(w));
        step.unsettled.is_empty()
    }

    pub(super) fn needs_advice(&self, r: StepRef) -> bool {
        let q = self.jobs.get(&r.job).and_then(|j| self.queues.get(&j.job.queue));
        q.is_some_and(|q| q.advice.is_some())
    }

    /// Returns the usable workers of the step's service that have the required label.
    fn eligible(&self, r: StepRef, kind: &Step, pass: &mut Pass, now: Duration) -> Arc<WorkerSet> {
        let Some(j) = self.jobs.get(&r.job) else { return Arc::default() };
        let service = self.queues.get(&j.job.queue).map_or(&j.job.service, |q| &q.service);
        let key = (service.clone(), kind.label.clone());
        if let Some(set) = pass.worker_sets.get(&key) {
            return Arc::clone(set);
        }
        let fits = |w: &Worker| {
            w.info.service == *service
                && kind.label.as_ref().is_none_or(|l| w.info.labels.contains(l))
        };
        let mut set = WorkerSet::default();
        self.worker_indices()
            .filter(|no| fits(self.worker(*no)) && self.is_usable(*no, now))
            .for_each(|no| set.insert(no));
        let set = Arc::new(set);
        pass.worker_sets.insert(key, Arc::clone(&set));
        set
    }

    fn candidates(
        &self,
        r: StepRef,
        kind: &Step,
        eligible: &WorkerSet,
        advised: bool,
        pass: &Pass,
    ) -> Vec<Candidate> {
        let Some(step) = self.step(r) else { return Vec::new() };
        let mut here: BTreeMap<WorkerIndex, u32> = BTreeMap::new();
        if kind.max_per_worker > 0 {
            for at in step.tasks.iter().filter_map(|t| t.worker) {
                *here.entry(at).or_default() += 1;
            }
        }
        let cap = if kind.max_per_worker > 0 { kind.max_per_worker } else { u32::MAX };
        let room = kind.demand();
        let kept = self.urgent_headroom(r, kind);
        let candidate = |no: WorkerIndex| {
            let most = cap.saturating_sub(here.get(&no).copied().unwrap_or(0));
            let gangs = pass.gang_room.get(&no).copied().unwrap_or_default();
            let free = self.worker(no).free().saturating_sub(&kept).saturating_sub(&gangs);
            (most > 0 && room.fits(&free)).then_some(Candidate { no, free, max_tasks: most })
        };
        match (&step.tickets, advised) {
            (Some(good), true) => {
                let mut good: Vec<WorkerIndex> =
                    good.keys().copied().filter(|no| eligible.contains(*no)).collect();
                good.sort_unstable();
                good.into_iter().filter_map(candidate).collect()
            }
            (None, true) => Vec::new(),
            (_, false) => eligible.iter().filter_map(candidate).collect(),
        }
    }

    /// Keeps room for a gang on those eligible workers that will have it first, by the expected ends of their tasks.
    fn keep_gang_room(&self, kind: &Step, step: &StepState, eligible: &WorkerSet, pass: &mut Pass) {
        let room = kind.demand();
        let Some(good) = &step.tickets else { return };
        // The times at which each worker can take one more member: at once for its free room, then as its tasks end.
        let mut slots: Vec<(Duration, WorkerIndex)> = Vec::new();
        for no in good.keys().copied().filter(|no| eligible.contains(*no)) {
            let w = self.worker(no);
            let taken = pass.gang_room.get(&no).copied().unwrap_or_default();
            let mut free = w.free().saturating_sub(&taken);
            let mut ends: Vec<_> =
                w.assignments.values().map(|h| (h.expected_end, h.demand)).collect();
            ends.sort_unstable_by_key(|(at, _)| *at);
            let mut have = fit_count(&free, &room);
            slots.extend((0..have).map(|_| (Duration::ZERO, no)));
            for (at, size) in ends {
                free = free.saturating_add(&size);
                let now_have = fit_count(&free, &room);
                slots.extend((have..now_have).map(|_| (at, no)));
                have = have.max(now_have);
            }
        }
        let count = step.waiting().count();
        if slots.len() < count {
            return;
        }
        slots.sort_unstable();
        for (_, no) in slots.into_iter().take(count) {
            let kept = pass.gang_room.entry(no).or_default();
            *kept = kept.saturating_add(&room);
        }
    }

    /// Returns the room that a task of a non-urgent step must leave free on a worker for urgent tasks; gangs leave
    /// none.
    fn urgent_headroom(&self, r: StepRef, kind: &Step) -> Resources {
        let queue = self.jobs.get(&r.job).and_then(|j| self.queues.get(&j.job.queue));
        let urgent = queue.is_none_or(|q| q.priority == 0);
        if urgent || kind.gang { Resources::default() } else { self.urgent_size }
    }

    fn is_on_other_rack(&self, kind: &Step, no: WorkerIndex) -> bool {
        kind.near.as_ref().is_some_and(|rack| *rack != self.worker(no).info.rack)
    }

    fn plan_tasks(&self, kind: &Step, waiting: &[u32], mut candidates: Vec<Candidate>) -> Plan {
        let room = kind.demand();
        let score = |c: &Candidate| balanced_fit(&self.worker(c.no).host, &c.free, &room);
        let mut scores: Vec<(bool, f64)> =
            candidates.iter().map(|c| (self.is_on_other_rack(kind, c.no), score(c))).collect();
        let mut plan = Plan::new();
        for i in waiting {
            let open = (0..candidates.len())
                .filter(|n| candidates[*n].max_tasks > 0 && room.fits(&candidates[*n].free));
            let best = open.min_by(|a, b| {
                let ((far_a, a), (far_b, b)) = (scores[*a], scores[*b]);
                far_a.cmp(&far_b).then(a.total_cmp(&b))
            });
            let Some(best) = best else { break };
            let c = &mut candidates[best];
            c.free = c.free.saturating_sub(&room);
            c.max_tasks -= 1;
            scores[best].1 = score(&candidates[best]);
            plan.push((*i, candidates[best].no));
        }
        plan
    }

    /// Returns a placement of all members, or an empty plan.
    fn plan_gang(&self, kind: &Step, waiting: &[u32], candidates: &[Candidate]) -> Plan {
        if kind.same_rack {
            let mut racks: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
            for c in candidates {
                racks.entry(&self.worker(c.no).info.rack).or_default().push(c);
            }
            let plans = racks.into_values().map(|c| self.pack(kind, waiting, c));
            if let Some(plan) = plans.into_iter().find(|p| !p.is_empty()) {
                return plan;
            }
        }
        self.pack(kind, waiting, candidates.iter().collect())
    }

    /// Places all tasks on as few workers as possible, or returns an empty plan.
    fn pack(&self, kind: &Step, waiting: &[u32], candidates: Vec<&Candidate>) -> Plan {
        let room = kind.demand();
        let many = |c: &Candidate| fit_count(&c.free, &room).min(u64::from(c.max_tasks));
        let mut order: Vec<(bool, Reverse<u64>, WorkerIndex)> = candidates
            .into_iter()
            .map(|c| (self.is_on_other_rack(kind, c.no), Reverse(many(c)), c.no))
            .collect();
        order.sort_unstable();
        let total: u64 = order.iter().map(|(_, n, _)| n.0).sum();
        if total < waiting.len() as u64 {
            return Plan::new();
        }
        let places = order.iter().flat_map(|(_, n, no)| {
            std::iter::repeat_n(*no, usize::try_from(n.0).unwrap_or(usize::MAX))
        });
        waiting.iter().copied().zip(places).collect()
    }

    /// Reserves the room of a plan.
    fn reserve(&mut self, r: StepRef, kind: &Step, plan: Plan, now: Duration) {
        let expected = Duration::from_millis(kind.estimate_ms);
        if let Some(step) = self.step_mut(r).filter(|s| !s.any_held()) {
            // No task of the step is on a worker: the workers of earlier starts no longer have to be recorded.
            step.start_workers.clear();
        }
        for (i, no) in plan {
            let task = r.task(i);
            let Some(step) = self.step_mut(r) else { return };
            let t = &mut step.tasks[i as usize];
            t.worker = Some(no);
            let run = t.run + 1;
            step.reserved_at = now;
            let held = Assignment {
                run,
                demand: kind.demand(),
                phase: Phase::Reserved,
                since: now,
                start_by_ms: 0,
                reported: false,
                stop_acked_at: None,
                expected_end: now + expected,
            };
            self.worker_mut(no).assign(task, held);
        }
        if kind.gang {
            self.align_runs(r);
        }
        self.reserved_steps.insert(r);
        self.update_waiting(r);
    }

    /// Assigns the same run number to all members of a gang.
    fn align_runs(&mut self, r: StepRef) {
        let Some(step) = self.step_mut(r) else { return };
        let run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let held: Vec<(WorkerIndex, Task)> =
            (0..).zip(&step.tasks).filter_map(|(i, t)| Some((t.worker?, r.task(i)))).collect();
        for (no, task) in held {
            if let Some(h) = self.worker_mut(no).assignments.get_mut(&task) {
                h.run = run;
            }
        }
    }
}

/// Returns how many times `size` fits into `room`.
pub(super) fn fit_count(room: &Resources, size: &Resources) -> u64 {
    let pairs = room.as_array().into_iter().zip(size.as_array());
    pairs.filter(|(_, s)| *s > 0).map(|(r, s)| r / s).min().unwrap_or(u64::from(u32::MAX))
}
