//! Placement: room is set aside, then what has to be durable and the tickets are seen to, then tasks start.

use super::Cell;
use crate::action::{Action, Start};
use crate::job::Step;
use crate::task::{StepRef, Task};
use crate::worker::{Held, Phase, millis};
use catkin_place::score::balanced_fit;
use catkin_types::{Resources, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Where the tasks of a step would go.
type Plan = Vec<(u32, WorkerId)>;

/// A worker with room for a step.
struct Candidate {
    id: WorkerId,
    rack: String,
    free: Resources,
    /// How many more tasks of the step it may have.
    most: u32,
}

impl Cell {
    /// Gives room to the steps that wait, in their order, and starts what can start.
    pub(super) fn schedule(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut order: Vec<_> = self.open.iter().map(|r| (self.rank(*r, now), *r)).collect();
        order.sort();
        for (_, r) in order {
            self.consider(r, now, out);
        }
        let reserved: Vec<StepRef> = self.reserved.iter().copied().collect();
        for r in reserved {
            self.launch(r, now, out);
        }
    }

    fn consider(&mut self, r: StepRef, now: Duration, out: &mut Vec<Action>) {
        let Some(j) = self.jobs.get(&r.job) else { return };
        let Some(kind) = j.job.steps.get(r.step as usize).cloned() else { return };
        if !self.settle(r, now) {
            return;
        }
        let Some(step) = self.step(r) else { return };
        if kind.gang && step.any_held() {
            return;
        }
        let Some(eligible) = self.eligible(r, &kind, now) else { return };
        let advised = self.queue_advice(r);
        if advised && !self.advice_known(r, &eligible, now, out) {
            return;
        }
        let candidates = self.candidates(r, &kind, &eligible, advised);
        let Some(step) = self.step(r) else { return };
        let waiting: Vec<u32> = step.waiting().collect();
        let plan = if kind.gang {
            plan_gang(&kind, &waiting, candidates)
        } else {
            self.plan_tasks(&kind, &waiting, candidates)
        };
        if !plan.is_empty() {
            self.reserve(r, &kind, plan, now);
        }
    }

    /// Whether nothing of the step can run unknown to this owner.
    fn settle(&mut self, r: StepRef, now: Duration) -> bool {
        let over = self.opt.autonomy + self.opt.lease + self.opt.lease / 10;
        let over = now.saturating_sub(self.started) > over;
        let settled = std::mem::take(&mut self.settled);
        let free = self.step_mut(r).is_some_and(|s| {
            s.unsettled.retain(|w| !over && !settled.contains(w));
            s.unsettled.is_empty()
        });
        self.settled = settled;
        free
    }

    fn queue_advice(&self, r: StepRef) -> bool {
        let q = self.jobs.get(&r.job).and_then(|j| self.queues.get(&j.job.queue));
        q.is_some_and(|q| q.advice.is_some())
    }

    /// The workers of the step's service that have the label and may get work.
    fn eligible(&self, r: StepRef, kind: &Step, now: Duration) -> Option<Vec<WorkerId>> {
        let j = self.jobs.get(&r.job)?;
        let service = self.queues.get(&j.job.queue).map_or(&j.job.service, |q| &q.service);
        let fits = |w: &crate::worker::Worker| {
            w.listed.service == *service
                && kind.label.as_ref().is_none_or(|l| w.listed.labels.contains(l))
                && kind.room().fits(&w.host.capacity)
        };
        let usable = |id: &&WorkerId| self.usable(id, now);
        let all = self.workers.iter().filter(|(_, w)| fits(w)).map(|(id, _)| id);
        Some(all.filter(usable).cloned().collect())
    }

    /// Whether it is known which of the workers may run the step. Asks about those of which it is not.
    fn advice_known(
        &mut self,
        r: StepRef,
        eligible: &[WorkerId],
        now: Duration,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(step) = self.step(r) else { return false };
        let known = step.good.is_some();
        let fresh: Vec<WorkerId> =
            eligible.iter().filter(|w| !step.asked.contains(w)).cloned().collect();
        if !fresh.is_empty() {
            self.ask(r, fresh.clone(), now, out);
            self.intend(r, 1, &fresh);
        }
        known
    }

    fn candidates(
        &self,
        r: StepRef,
        kind: &Step,
        eligible: &[WorkerId],
        advised: bool,
    ) -> Vec<Candidate> {
        let Some(step) = self.step(r) else { return Vec::new() };
        let mut here: BTreeMap<&str, u32> = BTreeMap::new();
        if kind.max_per_worker > 0 {
            for at in step.tasks.iter().filter_map(|t| t.at.as_deref()) {
                *here.entry(at).or_default() += 1;
            }
        }
        let good = |id: &WorkerId| {
            !advised || step.good.as_ref().is_some_and(|good| good.contains_key(id))
        };
        let candidate = |id: &WorkerId| {
            let w = self.workers.get(id)?;
            let cap = if kind.max_per_worker > 0 { kind.max_per_worker } else { u32::MAX };
            let most = cap.saturating_sub(here.get(id.as_str()).copied().unwrap_or(0));
            let free = w.free();
            (most > 0 && kind.room().fits(&free)).then(|| Candidate {
                id: id.clone(),
                rack: w.listed.rack.clone(),
                free,
                most,
            })
        };
        eligible.iter().filter(|id| good(id)).filter_map(candidate).collect()
    }

    fn plan_tasks(&self, kind: &Step, waiting: &[u32], mut candidates: Vec<Candidate>) -> Plan {
        let room = kind.room();
        let mut plan = Plan::new();
        for i in waiting {
            let score = |c: &Candidate| {
                let host = self.workers.get(&c.id).map(|w| balanced_fit(&w.host, &c.free, &room));
                let far = kind.near.as_ref().is_some_and(|rack| *rack != c.rack);
                (far, host.unwrap_or(f64::MAX))
            };
            let open = candidates.iter_mut().filter(|c| c.most > 0 && room.fits(&c.free));
            let best = open.min_by(|a, b| {
                let ((far_a, a), (far_b, b)) = (score(a), score(b));
                far_a.cmp(&far_b).then(a.total_cmp(&b))
            });
            let Some(best) = best else { break };
            best.free = best.free.saturating_sub(&room);
            best.most -= 1;
            plan.push((*i, best.id.clone()));
        }
        plan
    }

    /// Sets the room of a plan aside.
    fn reserve(&mut self, r: StepRef, kind: &Step, plan: Plan, now: Duration) {
        let expected = Duration::from_millis(kind.estimate_ms);
        for (i, id) in plan {
            let task = r.task(i);
            let Some(step) = self.step_mut(r) else { return };
            let t = &mut step.tasks[i as usize];
            t.at = Some(id.clone());
            let run = t.run + 1;
            step.reserved_at = now;
            let held = Held {
                run,
                room: kind.room(),
                phase: Phase::Reserved,
                since: now,
                until_ms: 0,
                stop_answered: None,
                expected_end: now + expected,
            };
            if let Some(w) = self.workers.get_mut(&id) {
                w.hold(task, held);
            }
        }
        if kind.gang {
            self.align_runs(r);
        }
        self.reserved.insert(r);
        self.refresh(r);
    }

    /// Gives all members of a gang the same run.
    fn align_runs(&mut self, r: StepRef) {
        let Some(step) = self.step_mut(r) else { return };
        let run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let held: Vec<(WorkerId, Task)> = (0..)
            .zip(&step.tasks)
            .filter_map(|(i, t)| Some((t.at.clone()?, r.task(i))))
            .collect();
        for (id, task) in held {
            if let Some(h) = self.workers.get_mut(&id).and_then(|w| w.held.get_mut(&task)) {
                h.run = run;
            }
        }
    }

    /// Makes it durable that the step may run under `run` on `workers`. Returns whether it already is.
    fn intend(&mut self, r: StepRef, run: u32, workers: &[WorkerId]) -> bool {
        let Some(step) = self.step(r) else { return false };
        let missing: Vec<WorkerId> =
            workers.iter().filter(|w| !step.on.contains(w)).cloned().collect();
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
    fn launch(&mut self, r: StepRef, now: Duration, out: &mut Vec<Action>) {
        let reserved = self.reserved_tasks(r);
        if reserved.is_empty() {
            self.reserved.remove(&r);
            return;
        }
        let run = reserved.iter().map(|(_, _, run)| *run).max().unwrap_or(1);
        let workers: BTreeSet<&WorkerId> = reserved.iter().map(|(_, id, _)| id).collect();
        let workers: Vec<WorkerId> = workers.into_iter().cloned().collect();
        let durable = self.intend(r, run, &workers);
        let tickets = !self.queue_advice(r) || self.tickets_hold(r, &workers, now, out);
        if !(durable && tickets) {
            return;
        }
        self.reserved.remove(&r);
        if self.is_gang(r) {
            if let Some(step) = self.step_mut(r) {
                step.launched_at = Some(now);
            }
            self.assembling.insert(r);
        }
        for (task, id, run) in reserved {
            self.start(task, &id, run, now, out);
        }
    }

    fn reserved_tasks(&self, r: StepRef) -> Vec<(Task, WorkerId, u32)> {
        let Some(step) = self.step(r) else { return Vec::new() };
        let held = (0..).zip(&step.tasks).filter_map(|(i, t)| {
            let id = t.at.as_ref()?;
            let held = self.workers.get(id)?.held.get(&r.task(i))?;
            (held.phase == Phase::Reserved).then(|| (r.task(i), id.clone(), held.run))
        });
        held.collect()
    }

    /// Whether the tickets of all these workers last until an order arrives. Asks for new ones.
    fn tickets_hold(
        &mut self,
        r: StepRef,
        workers: &[WorkerId],
        now: Duration,
        out: &mut Vec<Action>,
    ) -> bool {
        let margin = self.opt.ticket_margin;
        let Some(good) = self.step(r).and_then(|s| s.good.as_ref()) else { return false };
        let holds = |id: &WorkerId| good.get(id).is_some_and(|t| t.valid_until > now + margin);
        let all = workers.iter().all(holds);
        if !all {
            self.ask(r, workers.to_vec(), now, out);
        }
        all
    }

    fn start(&mut self, task: Task, id: &str, run: u32, now: Duration, out: &mut Vec<Action>) {
        let window = millis(self.opt.start_window);
        let gang = self.is_gang(task.step);
        let Some(j) = self.jobs.get_mut(&task.step.job) else { return };
        let spec = j.job.spec.clone();
        let Some(step) = j.step_mut(task.step) else { return };
        step.begun = true;
        let ticket = step.good.as_ref().and_then(|g| g.get(id)).map(|t| t.text.clone());
        let common = step.checkpoint.clone();
        let t = &mut step.tasks[task.index as usize];
        t.run = run;
        let checkpoint = if gang { common } else { t.checkpoint.clone() };
        let Some(w) = self.workers.get_mut(id) else { return };
        let until_ms = w.clock_about(now).unwrap_or(0) + window;
        w.lease_to_ms = w.lease_to_ms.max(until_ms);
        let born = w.listed.born;
        let Some(held) = w.held.get_mut(&task) else { return };
        held.phase = Phase::Starting;
        held.since = now;
        held.until_ms = until_ms;
        self.counts.starts += 1;
        let worker = id.to_owned();
        out.push(Action::Start(Start { worker, born, task, run, spec, until_ms, ticket, checkpoint }));
    }

    /// Gives up room that was set aside for too long.
    pub(super) fn drop_reservations(&mut self, now: Duration) {
        let steps: Vec<StepRef> = self.reserved.iter().copied().collect();
        for r in steps {
            let asking = self.step(r).is_some_and(|s| s.asking_since.is_some());
            let patience = self.opt.reservation * if asking { 3 } else { 1 };
            let old = self.step(r).is_none_or(|s| now.saturating_sub(s.reserved_at) > patience);
            let workers = self.reserved_tasks(r);
            let unusable = workers.iter().any(|(_, id, _)| !self.usable(id, now));
            if !old && !unusable {
                continue;
            }
            self.reserved.remove(&r);
            for (task, id, _) in workers {
                if let Some(w) = self.workers.get_mut(&id) {
                    w.release(&task);
                }
                self.unplace(task);
            }
        }
    }
}

/// A plan for all members, or none.
fn plan_gang(kind: &Step, waiting: &[u32], candidates: Vec<Candidate>) -> Plan {
    if kind.same_rack {
        let mut racks: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
        for c in &candidates {
            racks.entry(&c.rack).or_default().push(c);
        }
        let plans = racks.into_values().map(|c| spread(kind, waiting, c));
        if let Some(plan) = plans.into_iter().find(|p| !p.is_empty()) {
            return plan;
        }
    }
    spread(kind, waiting, candidates.iter().collect())
}

/// Puts all tasks on as few workers as possible, or none.
fn spread(kind: &Step, waiting: &[u32], mut candidates: Vec<&Candidate>) -> Plan {
    let room = kind.room();
    let many = |c: &Candidate| times(&c.free, &room).min(u64::from(c.most));
    candidates.sort_by_key(|c| (kind.near.as_ref().is_some_and(|r| *r != c.rack), std::cmp::Reverse(many(c))));
    let total: u64 = candidates.iter().map(|c| many(c)).sum();
    if total < waiting.len() as u64 {
        return Plan::new();
    }
    let places = candidates.iter().flat_map(|c| {
        std::iter::repeat_n(&c.id, usize::try_from(many(c)).unwrap_or(usize::MAX))
    });
    waiting.iter().copied().zip(places.cloned()).collect()
}

/// How many times `size` fits into `room`.
fn times(room: &Resources, size: &Resources) -> u64 {
    let pairs = room.as_array().into_iter().zip(size.as_array());
    pairs.filter(|(_, s)| *s > 0).map(|(r, s)| r / s).min().unwrap_or(u64::from(u32::MAX))
}
