//! Plans of the workers on which the waiting tasks of a step get room.

use super::Cell;
use crate::job::Step;
use crate::task::StepRef;
use crate::worker::WorkerIndex;
use catkin_place::score::balanced_fit;
use catkin_types::Resources;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Task indices with the workers they are placed on.
pub(super) type Plan = Vec<(u32, WorkerIndex)>;

/// A worker with room for at least one task of a step.
pub(super) struct Candidate {
    pub idx: WorkerIndex,
    pub free: Resources,
    /// How many more tasks of the step the worker may have.
    pub max_tasks: u32,
}

impl Cell {
    fn is_on_other_rack(&self, step_def: &Step, idx: WorkerIndex) -> bool {
        step_def.near.as_ref().is_some_and(|rack| *rack != self.worker(idx).info.rack)
    }

    pub(super) fn plan_tasks(
        &self,
        step_def: &Step,
        waiting: &[u32],
        mut candidates: Vec<Candidate>,
    ) -> Plan {
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

    /// Places the first of the tasks on the worker on which nothing else was started for longest.
    pub(super) fn plan_trial(
        &self,
        r: StepRef,
        step_def: &Step,
        tasks: &[u32],
        candidates: &[Candidate],
    ) -> Plan {
        let key = |c: &Candidate| {
            let used = self.worker(c.idx).host.declared.cpu_milli;
            (self.is_on_other_rack(step_def, c.idx), self.last_start_beside(r, c.idx), used, c.idx)
        };
        let best = candidates.iter().min_by_key(|c| key(c));
        best.zip(tasks.first()).map(|(c, i)| (*i, c.idx)).into_iter().collect()
    }

    /// Returns a placement of all members, or an empty plan.
    pub(super) fn plan_gang(
        &self,
        step_def: &Step,
        waiting: &[u32],
        candidates: &[Candidate],
    ) -> Plan {
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
}

/// Returns the workers in ascending order, each once.
pub(super) fn distinct_workers(workers: impl Iterator<Item = WorkerIndex>) -> Vec<WorkerIndex> {
    let mut workers: Vec<WorkerIndex> = workers.collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}

/// Returns how many times `size` fits into `available`.
pub(super) fn fit_count(available: &Resources, size: &Resources) -> u64 {
    let pairs = available.as_array().into_iter().zip(size.as_array());
    pairs.filter(|(_, s)| *s > 0).map(|(r, s)| r / s).min().unwrap_or(u64::from(u32::MAX))
}
