//! Placement: decides which steps get room and reserves it on workers.

use super::Cell;
use super::plan::{Candidate, Plan, distinct_workers, fit_count};
use super::trials::Startable;
use crate::action::Action;
use crate::job::Step;
use crate::step::StepState;
use crate::task::{StepRef, Task};
use crate::worker::{Assignment, Phase, Worker, WorkerIndex, WorkerSet};
use catkin_types::Resources;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// State that is shared by all steps of one scheduling pass.
#[derive(Default)]
pub(super) struct Pass {
    /// The usable workers, by service and required label.
    worker_sets: HashMap<(String, Option<String>), Arc<WorkerSet>>,
    /// Room that is kept free for gangs with a higher rank.
    gang_room: HashMap<WorkerIndex, Resources>,
    /// The gangs for which room is kept.
    kept_gangs: Vec<KeptGang>,
    /// The services that have so little free room that some is kept for urgent tasks and for gangs.
    scarce_services: HashSet<String>,
    /// How many more steps may send requests to the adviser in this pass.
    advice_budget: usize,
}

/// A waiting gang for which room is kept.
#[derive(Debug)]
pub(super) struct KeptGang {
    pub step: StepRef,
    /// The workers, with the room on each of them that is free now or once tasks end.
    pub room: Vec<(WorkerIndex, Resources)>,
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
        self.settle_steps(now);
        let scarce_services = self.scarce_services(now);
        let mut pass = Pass { scarce_services, advice_budget, ..Pass::default() };
        for (_, r) in order {
            self.schedule_step(r, &mut pass, now, out);
        }
        let kept = pass.gang_room.values().map(|kept| kept.cpu_milli);
        self.cpu_kept_milli = kept.fold(0, u64::saturating_add);
        self.kept_gangs = pass.kept_gangs;
        let reserved: Vec<StepRef> = self.reserved_steps.iter().copied().collect();
        for r in reserved {
            self.launch(r, now, out);
        }
    }

    fn schedule_step(&mut self, r: StepRef, pass: &mut Pass, now: Duration, out: &mut Vec<Action>) {
        if !self.is_settled(r) {
            return;
        }
        let Some(j) = self.jobs.get(&r.job) else { return };
        let Some(step_def) = j.job.steps.get(r.step as usize) else { return };
        let Some(step) = j.step(r) else { return };
        if step_def.gang && step.any_assigned() {
            return;
        }
        let eligible = self.eligible(r, step_def, pass, now);
        if self.needs_advice(r) && step.tickets.is_none() {
            if pass.advice_budget > 0 {
                pass.advice_budget -= 1;
                let to_ask = self.workers_to_ask(step, step_def, &eligible, &j.job.queue);
                self.request_advice(r, to_ask, now, out);
            }
            return;
        }
        let startable = self.startable(r, step);
        if startable.is_trial() && !self.may_try(r, pass, now) {
            return;
        }
        let plan = self.plan_step(r, step_def, &startable, &eligible, pass);
        let planned = plan.len();
        let (ready, stale) = self.split_by_ticket(r, plan, now);
        let to_ask = if pass.advice_budget == 0 {
            Vec::new()
        } else if !stale.is_empty() {
            stale
        } else if self.needs_advice(r) && planned < startable.len() {
            self.workers_to_ask(step, step_def, &eligible, &j.job.queue)
        } else {
            Vec::new()
        };
        if !ready.is_empty() {
            let step_def = step_def.clone();
            self.reserve(r, &step_def, &startable, ready, now);
        } else if step_def.gang && pass.kept_gangs.len() < MAX_KEPT_GANGS && self.is_scarce(r, pass)
        {
            self.keep_gang_room(r, step_def, step, &eligible, pass);
        }
        self.request_advice(r, to_ask, now, out);
    }

    /// Plans the waiting tasks of a step on the workers with room that may run it.
    pub(super) fn plan_step(
        &self,
        r: StepRef,
        step_def: &Step,
        startable: &Startable,
        eligible: &WorkerSet,
        pass: &Pass,
    ) -> Plan {
        let candidates = self.candidates(r, step_def, eligible, pass);
        match startable {
            Startable::Trial(tasks) | Startable::Tasks(tasks) if step_def.gang => {
                self.plan_gang(step_def, tasks, &candidates)
            }
            Startable::Trial(tasks) => self.plan_trial(r, step_def, tasks, &candidates),
            Startable::Tasks(tasks) => self.plan_tasks(step_def, tasks, candidates),
        }
    }

    /// Splits a plan into the tasks that can start with the tickets that are known and the workers for whose tickets the
    /// adviser has to be asked again. A gang can start with all tickets only.
    pub(super) fn split_by_ticket(
        &self,
        r: StepRef,
        plan: Plan,
        now: Duration,
    ) -> (Plan, Vec<WorkerIndex>) {
        let lacks_ticket =
            |idx: WorkerIndex| self.needs_advice(r) && !self.has_valid_ticket(r, idx, now);
        let stale =
            distinct_workers(plan.iter().map(|(_, idx)| *idx).filter(|idx| lacks_ticket(*idx)));
        let mut ready = plan;
        if self.is_gang(r) && !stale.is_empty() {
            ready.clear();
        }
        ready.retain(|(_, idx)| stale.binary_search(idx).is_err());
        (ready, stale)
    }

    /// Returns a pass about one step, for which the last full pass has kept `gang_room` from that step.
    pub(super) fn single_pass(
        &self,
        gang_room: HashMap<WorkerIndex, Resources>,
        now: Duration,
    ) -> Pass {
        Pass { gang_room, scarce_services: self.scarce_services(now), ..Pass::default() }
    }

    fn is_advice_pending(&self, r: StepRef) -> bool {
        self.step(r).is_some_and(|s| s.advice_pending_since.is_some())
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

    /// Returns whether a worker may be kept for a trial of the step.
    pub(super) fn may_try(&self, r: StepRef, pass: &Pass, now: Duration) -> bool {
        !self.is_scarce(r, pass) || self.trials_left(now) > 0
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
    pub(super) fn eligible(
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

    pub(super) fn candidates(
        &self,
        r: StepRef,
        step_def: &Step,
        eligible: &WorkerSet,
        pass: &Pass,
    ) -> Vec<Candidate> {
        let Some(step) = self.step(r) else { return Vec::new() };
        let mut assigned: BTreeMap<WorkerIndex, u32> = BTreeMap::new();
        if step_def.max_per_worker > 0 {
            for at in step.tasks.iter().filter_map(|t| t.assigned_to) {
                *assigned.entry(at).or_default() += 1;
            }
        }
        let cap = step_def.task_limit();
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
            let may_use = max_tasks > 0 && w.trial.is_none();
            (may_use && demand.fits(&free)).then_some(Candidate { idx, free, max_tasks })
        };
        match (&step.tickets, self.needs_advice(r)) {
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
        r: StepRef,
        step_def: &Step,
        step: &StepState,
        eligible: &WorkerSet,
        pass: &mut Pass,
    ) {
        let demand = step_def.demand();
        let count = step.waiting().count();
        // A gang that needs no resources fits any number of times.
        let most = u64::from(step_def.task_limit()).min(count as u64);
        let max_fit = |free: &Resources| fit_count(free, &demand).min(most);
        let Some(tickets) = &step.tickets else { return };
        // The times at which each worker can take one more member: at once for its free room, then as its tasks end.
        let mut slots: Vec<(Duration, WorkerIndex)> = Vec::new();
        for idx in tickets.keys().copied().filter(|idx| eligible.contains(*idx)) {
            let w = self.worker(idx);
            let kept_room = pass.gang_room.get(&idx).copied().unwrap_or_default();
            let mut used = w.host.declared;
            // A worker whose capacity has shrunk below what it runs has no room for the first tasks that end.
            let room = |used: &Resources| {
                max_fit(&w.host.capacity.saturating_sub(used).saturating_sub(&kept_room))
            };
            let mut ends: Vec<_> =
                w.assignments.values().map(|h| (h.expected_end, h.demand)).collect();
            ends.sort_unstable_by_key(|(at, _)| *at);
            let mut fitting = room(&used);
            slots.extend((0..fitting).map(|_| (Duration::ZERO, idx)));
            for (at, size) in ends {
                used = used.saturating_sub(&size);
                let fitting_then = room(&used);
                slots.extend((fitting..fitting_then).map(|_| (at, idx)));
                fitting = fitting.max(fitting_then);
            }
        }
        if slots.len() < count {
            return;
        }
        slots.sort_unstable();
        slots.truncate(count);
        for (_, idx) in &slots {
            let reserved_room = pass.gang_room.entry(*idx).or_default();
            *reserved_room = reserved_room.saturating_add(&demand);
        }
        let room = slots.into_iter().map(|(_, idx)| (idx, demand)).collect();
        pass.kept_gangs.push(KeptGang { step: r, room });
    }

    /// Returns the room that a task of a non-urgent step must leave free on a worker for urgent tasks, if the worker
    /// is large enough for both; gangs leave none.
    fn urgent_headroom(&self, r: StepRef, step_def: &Step) -> Resources {
        let queue = self.jobs.get(&r.job).and_then(|j| self.queues.get(&j.job.queue));
        let urgent = queue.is_none_or(|q| q.priority == 0);
        if urgent || step_def.gang { Resources::default() } else { self.urgent_size }
    }

    /// Reserves the room of a plan for the tasks that it was made for.
    pub(super) fn reserve(
        &mut self,
        r: StepRef,
        step_def: &Step,
        startable: &Startable,
        plan: Plan,
        now: Duration,
    ) {
        if startable.is_trial() {
            self.keep_for_trial(r, &plan);
        }
        let expected = Duration::from_millis(step_def.estimate_ms);
        for (i, idx) in plan {
            let task = r.task(i);
            let Some(step) = self.step_mut(r) else { return };
            let t = &mut step.tasks[i as usize];
            t.assigned_to = Some(idx);
            let run = t.run.saturating_add(1);
            step.reserved_at = now;
            let assignment = Assignment {
                run,
                demand: step_def.demand(),
                phase: Phase::Reserved,
                since: now,
                start_by_ms: 0,
                settled_at: Duration::ZERO,
                reported: false,
                has_run: false,
                started_at: None,
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
        let run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0).saturating_add(1);
        let members: Vec<(WorkerIndex, Task)> =
            (0..).zip(&step.tasks).filter_map(|(i, t)| Some((t.assigned_to?, r.task(i)))).collect();
        for (idx, task) in members {
            if let Some(h) = self.worker_mut(idx).assignments.get_mut(&task) {
                h.run = run;
            }
        }
    }
}
