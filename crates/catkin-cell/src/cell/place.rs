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
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Task indices with the workers they are placed on.
type Plan = Vec<(u32, WorkerIndex)>;

/// A worker with room for at least one task of a step.
struct Candidate {
    idx: WorkerIndex,
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
    /// The services that have so little free room that some is kept for urgent tasks and for gangs.
    scarce_services: HashSet<String>,
    /// How many more steps may send requests to the adviser in this pass.
    advice_budget: usize,
}

/// Upper bound on the gangs for which room is kept at a time.
const MAX_KEPT_GANGS: usize = 6;
/// Room is kept free once this fraction of a service's capacity is reserved.
const SCARCE_FRACTION: f64 = 0.5;

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
        let pending = self.waiting_steps.iter().filter(|r| self.is_advice_pending(**r)).count();
        let advice_budget = self.opt.max_pending_advice.saturating_sub(pending);
        let scarce_services = self.scarce_services(now);
        let mut pass = Pass { scarce_services, advice_budget, ..Pass::default() };
        for (_, r) in order {
            self.schedule_step(r, &mut pass, now, out);
        }
        self.cpu_kept_milli = pass.gang_room.values().map(|kept| kept.cpu_milli).sum();
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
        let Some(step_def) = j.job.steps.get(r.step as usize) else { return };
        let Some(step) = j.step(r) else { return };
        if step_def.gang && step.any_assigned() {
            return;
        }
        let eligible = self.eligible(r, step_def, pass, now);
        let advice_required = self.needs_advice(r);
        if advice_required && step.tickets.is_none() {
            if pass.advice_budget > 0 {
                pass.advice_budget -= 1;
                let to_ask = self.workers_to_ask(step, step_def, &eligible, &j.job.queue);
                self.request_advice(r, to_ask, now, out);
            }
            return;
        }
        let candidates = self.candidates(r, step_def, &eligible, advice_required, pass);
        let waiting: Vec<u32> = step.waiting().collect();
        let plan = if step_def.gang {
            self.plan_gang(step_def, &waiting, &candidates)
        } else {
            self.plan_tasks(step_def, &waiting, candidates)
        };
        let more_workers =
            if advice_required && plan.len() < waiting.len() && pass.advice_budget > 0 {
                self.workers_to_ask(step, step_def, &eligible, &j.job.queue)
            } else {
                Vec::new()
            };
        if !plan.is_empty() {
            let step_def = step_def.clone();
            self.reserve(r, &step_def, plan, now);
        } else if step_def.gang && pass.gang_count < MAX_KEPT_GANGS && self.is_scarce(r, pass) {
            pass.gang_count += 1;
            self.keep_gang_room(step_def, step, &eligible, pass);
        }
        self.request_advice(r, more_workers, now, out);
    }

    fn is_advice_pending(&self, r: StepRef) -> bool {
        self.step(r).is_some_and(|s| s.advice_pending_since.is_some())
    }

    /// Returns whether no task of the step can run unknown to this owner. A worker that an earlier owner may have used
    /// is settled once it answered in this term, or once that owner's autonomy and its last lease have run out.
    fn settle(&mut self, r: StepRef, now: Duration) -> bool {
        let wait = self.opt.autonomy + self.opt.lease + self.opt.lease / 10;
        let wait_over = now.saturating_sub(self.term_start) > wait;
        let Self { jobs, settled_workers, .. } = self;
        let Some(step) = jobs.get_mut(&r.job).and_then(|j| j.step_mut(r)) else { return false };
        step.unsettled.retain(|w| !wait_over && !settled_workers.contains(w));
        step.unsettled.is_empty()
    }

    pub(super) fn needs_advice(&self, r: StepRef) -> bool {
        let q = self.jobs.get(&r.job).and_then(|j| self.queues.get(&j.job.queue));
        q.is_some_and(|q| q.advice.is_some())
    }

    fn service(&self, r: StepRef) -> Option<&String> {
        let j = self.jobs.get(&r.job)?;
        Some(self.queues.get(&j.job.queue).map_or(&j.job.service, |q| &q.service))
    }

    fn is_scarce(&self, r: StepRef, pass: &Pass) -> bool {
        self.service(r).is_some_and(|s| pass.scarce_services.contains(s))
    }

    /// Returns the services of whose usable workers a large part is reserved.
    fn scarce_services(&self, now: Duration) -> HashSet<String> {
        let mut sums: BTreeMap<&String, (Resources, Resources)> = BTreeMap::new();
        for idx in self.worker_indices().filter(|idx| self.is_usable(*idx, now)) {
            let w = self.worker(idx);
            let (used, all) = sums.entry(&w.info.service).or_default();
            *used = used.saturating_add(&w.host.declared);
            *all = all.saturating_add(&w.host.capacity);
        }
        let scarce =
            |(used, all): &(Resources, Resources)| used.dominant_fraction(all) >= SCARCE_FRACTION;
        sums.into_iter()
            .filter(|(_, sum)| scarce(sum))
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Returns the usable workers of the step's service that have the required label.
    fn eligible(
        &self,
        r: StepRef,
        step_def: &Step,
        pass: &mut Pass,
        now: Duration,
    ) -> Arc<WorkerSet> {
        let Some(service) = self.service(r) else { return Arc::default() };
        let key = (service.clone(), step_def.label.clone());
        if let Some(set) = pass.worker_sets.get(&key) {
            return Arc::clone(set);
        }
        let fits = |w: &Worker| {
            w.info.service == *service
                && step_def.label.as_ref().is_none_or(|l| w.info.labels.contains(l))
        };
        let mut set = WorkerSet::default();
        self.worker_indices()
            .filter(|idx| fits(self.worker(*idx)) && self.is_usable(*idx, now))
            .for_each(|idx| set.insert(idx));
        let set = Arc::new(set);
        pass.worker_sets.insert(key, Arc::clone(&set));
        set
    }

    fn candidates(
        &self,
        r: StepRef,
        step_def: &Step,
        eligible: &WorkerSet,
        advice_required: bool,
        pass: &Pass,
    ) -> Vec<Candidate> {
        let Some(step) = self.step(r) else { return Vec::new() };
        let mut assigned: BTreeMap<WorkerIndex, u32> = BTreeMap::new();
        if step_def.max_per_worker > 0 {
            for at in step.tasks.iter().filter_map(|t| t.assigned_to) {
                *assigned.entry(at).or_default() += 1;
            }
        }
        let cap = if step_def.max_per_worker > 0 { step_def.max_per_worker } else { u32::MAX };
        let demand = step_def.demand();
        let headroom = if self.is_scarce(r, pass) {
            self.urgent_headroom(r, step_def)
        } else {
            Resources::default()
        };
        let candidate = |idx: WorkerIndex| {
            let max_tasks = cap.saturating_sub(assigned.get(&idx).copied().unwrap_or(0));
            let kept_for_gangs = pass.gang_room.get(&idx).copied().unwrap_or_default();
            let w = self.worker(idx);
            // A task may always have an empty worker, whatever the room for urgent tasks.
            let headroom = headroom.min(&w.host.capacity.saturating_sub(&demand));
            let free = w.free().saturating_sub(&headroom).saturating_sub(&kept_for_gangs);
            (max_tasks > 0 && demand.fits(&free)).then_some(Candidate { idx, free, max_tasks })
        };
        match (&step.tickets, advice_required) {
            (Some(tickets), true) => {
                let mut advised: Vec<WorkerIndex> =
                    tickets.keys().copied().filter(|idx| eligible.contains(*idx)).collect();
                advised.sort_unstable();
                advised.into_iter().filter_map(candidate).collect()
            }
            (None, true) => Vec::new(),
            (_, false) => eligible.iter().filter_map(candidate).collect(),
        }
    }

    /// Keeps room for a gang on those eligible workers that will have it first, by the expected ends of their tasks.
    fn keep_gang_room(
        &self,
        step_def: &Step,
        step: &StepState,
        eligible: &WorkerSet,
        pass: &mut Pass,
    ) {
        let demand = step_def.demand();
        let Some(tickets) = &step.tickets else { return };
        // The times at which each worker can take one more member: at once for its free room, then as its tasks end.
        let mut slots: Vec<(Duration, WorkerIndex)> = Vec::new();
        for idx in tickets.keys().copied().filter(|idx| eligible.contains(*idx)) {
            let w = self.worker(idx);
            let kept_room = pass.gang_room.get(&idx).copied().unwrap_or_default();
            let mut free = w.free().saturating_sub(&kept_room);
            let mut ends: Vec<_> =
                w.assignments.values().map(|h| (h.expected_end, h.demand)).collect();
            ends.sort_unstable_by_key(|(at, _)| *at);
            let mut fitting = fit_count(&free, &demand);
            slots.extend((0..fitting).map(|_| (Duration::ZERO, idx)));
            for (at, size) in ends {
                free = free.saturating_add(&size);
                let fitting_then = fit_count(&free, &demand);
                slots.extend((fitting..fitting_then).map(|_| (at, idx)));
                fitting = fitting.max(fitting_then);
            }
        }
        let count = step.waiting().count();
        if slots.len() < count {
            return;
        }
        slots.sort_unstable();
        for (_, idx) in slots.into_iter().take(count) {
            let reserved_room = pass.gang_room.entry(idx).or_default();
            *reserved_room = reserved_room.saturating_add(&demand);
        }
    }

    /// Returns the room that a task of a non-urgent step must leave free on a worker for urgent tasks; gangs leave
    /// none.
    fn urgent_headroom(&self, r: StepRef, step_def: &Step) -> Resources {
        let queue = self.jobs.get(&r.job).and_then(|j| self.queues.get(&j.job.queue));
        let urgent = queue.is_none_or(|q| q.priority == 0);
        if urgent || step_def.gang { Resources::default() } else { self.urgent_size }
    }

    fn is_on_other_rack(&self, step_def: &Step, idx: WorkerIndex) -> bool {
        step_def.near.as_ref().is_some_and(|rack| *rack != self.worker(idx).info.rack)
    }

    fn plan_tasks(&self, step_def: &Step, waiting: &[u32], mut candidates: Vec<Candidate>) -> Plan {
        let demand = step_def.demand();
        let score = |c: &Candidate| balanced_fit(&self.worker(c.idx).host, &c.free, &demand);
        let mut scores: Vec<(bool, f64)> =
            candidates.iter().map(|c| (self.is_on_other_rack(step_def, c.idx), score(c))).collect();
        let mut plan = Plan::new();
        for i in waiting {
            let open = (0..candidates.len())
                .filter(|n| candidates[*n].max_tasks > 0 && demand.fits(&candidates[*n].free));
            let best = open.min_by(|a, b| {
                let ((far_a, a), (far_b, b)) = (scores[*a], scores[*b]);
                far_a.cmp(&far_b).then(a.total_cmp(&b))
            });
            let Some(best) = best else { break };
            let c = &mut candidates[best];
            c.free = c.free.saturating_sub(&demand);
            c.max_tasks -= 1;
            scores[best].1 = score(&candidates[best]);
            plan.push((*i, candidates[best].idx));
        }
        plan
    }

    /// Returns a placement of all members, or an empty plan.
    fn plan_gang(&self, step_def: &Step, waiting: &[u32], candidates: &[Candidate]) -> Plan {
        if step_def.same_rack {
            let mut racks: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
            for c in candidates {
                racks.entry(&self.worker(c.idx).info.rack).or_default().push(c);
            }
            let plans = racks.into_values().map(|c| self.pack(step_def, waiting, c));
            if let Some(plan) = plans.into_iter().find(|p| !p.is_empty()) {
                return plan;
            }
        }
        self.pack(step_def, waiting, candidates.iter().collect())
    }

    /// Places all tasks on as few workers as possible, or returns an empty plan.
    fn pack(&self, step_def: &Step, waiting: &[u32], candidates: Vec<&Candidate>) -> Plan {
        let demand = step_def.demand();
        let max_fit = |c: &Candidate| fit_count(&c.free, &demand).min(u64::from(c.max_tasks));
        let mut order: Vec<(bool, Reverse<u64>, WorkerIndex)> = candidates
            .into_iter()
            .map(|c| (self.is_on_other_rack(step_def, c.idx), Reverse(max_fit(c)), c.idx))
            .collect();
        order.sort_unstable();
        let total: u64 = order.iter().map(|(_, n, _)| n.0).sum();
        if total < waiting.len() as u64 {
            return Plan::new();
        }
        let places = order.iter().flat_map(|(_, n, idx)| {
            std::iter::repeat_n(*idx, usize::try_from(n.0).unwrap_or(usize::MAX))
        });
        waiting.iter().copied().zip(places).collect()
    }

    /// Reserves the room of a plan.
    fn reserve(&mut self, r: StepRef, step_def: &Step, plan: Plan, now: Duration) {
        let expected = Duration::from_millis(step_def.estimate_ms);
        if let Some(step) = self.step_mut(r).filter(|s| !s.any_assigned()) {
            // No task of the step is on a worker: the workers of earlier starts no longer have to be recorded.
            step.start_workers.clear();
        }
        for (i, idx) in plan {
            let task = r.task(i);
            let Some(step) = self.step_mut(r) else { return };
            let t = &mut step.tasks[i as usize];
            t.assigned_to = Some(idx);
            let run = t.run + 1;
            step.reserved_at = now;
            let assignment = Assignment {
                run,
                demand: step_def.demand(),
                phase: Phase::Reserved,
                since: now,
                start_by_ms: 0,
                reported: false,
                stop_acked_at: None,
                expected_end: now + expected,
            };
            self.worker_mut(idx).assign(task, assignment);
        }
        if step_def.gang {
            self.align_runs(r);
        }
        self.reserved_steps.insert(r);
        self.update_waiting(r);
    }

    /// Assigns the same run number to all members of a gang.
    fn align_runs(&mut self, r: StepRef) {
        let Some(step) = self.step_mut(r) else { return };
        let run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let members: Vec<(WorkerIndex, Task)> =
            (0..).zip(&step.tasks).filter_map(|(i, t)| Some((t.assigned_to?, r.task(i)))).collect();
        for (idx, task) in members {
            if let Some(h) = self.worker_mut(idx).assignments.get_mut(&task) {
                h.run = run;
            }
        }
    }
}

/// Returns how many times `size` fits into `available`.
pub(super) fn fit_count(available: &Resources, size: &Resources) -> u64 {
    let pairs = available.as_array().into_iter().zip(size.as_array());
    pairs.filter(|(_, s)| *s > 0).map(|(r, s)| r / s).min().unwrap_or(u64::from(u32::MAX))
}
