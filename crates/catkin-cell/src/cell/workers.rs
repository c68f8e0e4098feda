//! Workers: listed, missing, silent, born again.

use super::Cell;
use crate::task::Task;
use crate::worker::{Listed, millis};
use catkin_place::health::Standing;
use catkin_types::{Incarnation, WorkerId};
use std::time::Duration;

/// How far the clock of a silent worker has to be past its lease before its tasks are taken to be gone, in
/// milliseconds.
const LAPSE_MARGIN_MS: u64 = 100;
/// How long a worker that is missing from the list and holds nothing is still remembered.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// How a worker is to be looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerView {
    /// Its address.
    pub addr: String,
    /// Its life, 0 if it is not known.
    pub born: Incarnation,
    /// The lease to ask for, on its clock in milliseconds; nothing before its clock is known.
    pub lease_to_ms: Option<u64>,
    /// The newest end that it may forget.
    pub acknowledged: u64,
}

impl Cell {
    /// Takes over the list of workers. With `partial`, workers that are not in it stay.
    pub fn list(&mut self, listed: Vec<Listed>, partial: bool, now: Duration) {
        let mut present: Vec<WorkerId> = Vec::with_capacity(listed.len());
        for l in listed {
            present.push(l.id.clone());
            self.list_one(l);
        }
        if partial {
            return;
        }
        present.sort();
        for (id, w) in &mut self.workers {
            if present.binary_search(id).is_err() {
                w.missing_since.get_or_insert(now);
            }
        }
        self.workers.retain(|_, w| {
            let gone = w.missing_since.is_some_and(|at| now.saturating_sub(at) > FORGET_AFTER);
            !(gone && w.held.is_empty())
        });
    }

    fn list_one(&mut self, l: Listed) {
        let id = l.id.clone();
        let w = self.workers.entry(id.clone()).or_default();
        let other_life = w.listed.born != 0 && l.born > w.listed.born;
        let known = w.listed.born;
        w.list(Listed { born: known, ..l.clone() });
        if other_life {
            self.reborn(&id, l.born);
        } else if known == 0 {
            if let Some(w) = self.workers.get_mut(&id) {
                w.listed.born = l.born;
            }
        }
    }

    /// The worker is gone from the list.
    pub fn unlist(&mut self, id: &str, now: Duration) {
        if let Some(w) = self.workers.get_mut(id) {
            w.missing_since.get_or_insert(now);
        }
    }

    /// The names of all workers.
    #[must_use]
    pub fn worker_ids(&self) -> Vec<WorkerId> {
        self.workers.keys().cloned().collect()
    }

    /// The address of a worker.
    #[must_use]
    pub fn addr(&self, id: &str) -> Option<String> {
        self.workers.get(id).map(|w| w.listed.addr.clone())
    }

    /// Whether ends of the worker wait until they are durable, so that a look would not wait for another one.
    #[must_use]
    pub fn ends_pending(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|w| !w.unacknowledged.is_empty())
    }

    /// Whether the worker answered the last call.
    #[must_use]
    pub fn answers(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|w| w.misses == 0)
    }

    /// The worker answered that it is another life than the one that is known.
    pub fn other_life(&mut self, id: &str) {
        self.reborn(id, 0);
    }

    /// How to look at a worker at `now`. Notes the lease that is asked for.
    pub fn view(&mut self, id: &str, now: Duration) -> Option<WorkerView> {
        let lease = millis(self.opt.lease);
        let w = self.workers.get_mut(id)?;
        let lease_to_ms = w.clock_about(now).map(|clock| clock + lease);
        w.lease_to_ms = w.lease_to_ms.max(lease_to_ms.unwrap_or(0));
        Some(WorkerView {
            addr: w.listed.addr.clone(),
            born: w.listed.born,
            lease_to_ms,
            acknowledged: w.acknowledged,
        })
    }

    /// Whether the worker may get work now.
    pub(super) fn usable(&self, id: &str, now: Duration) -> bool {
        let Some(w) = self.workers.get(id) else { return false };
        let listed = w.missing_since.is_none_or(|at| now.saturating_sub(at) < self.opt.missing);
        let well = self.fleet.standing(&w.listed.id, now) != Standing::Quarantined;
        w.claimed && listed && !w.listed.draining && w.misses == 0 && now >= w.closed_until && well
    }

    /// The worker has another life: what ran in the last one is gone.
    pub(super) fn reborn(&mut self, id: &str, born: Incarnation) {
        let Some(w) = self.workers.get_mut(id) else { return };
        let lost = w.reborn(born);
        self.settled.insert(id.to_owned());
        for (task, _) in lost {
            self.lost(task, id);
        }
        for j in self.jobs.values_mut() {
            for s in &mut j.steps {
                if let Some(good) = &mut s.good {
                    good.remove(id);
                    s.asked.retain(|w| w != id);
                }
            }
        }
    }

    /// The task is gone from the worker without an end of its own.
    pub(super) fn lost(&mut self, task: Task, worker: &str) {
        let here = self
            .step(task.step)
            .and_then(|s| s.tasks.get(task.index as usize))
            .is_some_and(|t| t.at.as_deref() == Some(worker));
        if here {
            self.counts.lost += 1;
            self.unplace(task);
        }
    }

    /// Takes the tasks of silent workers to be gone once their leases have run out.
    pub(super) fn expire(&mut self, now: Duration) {
        let lapsed: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, w)| w.claimed && w.misses > 0)
            .filter(|(_, w)| {
                let clock = w.clock_at_least(now);
                clock.is_some_and(|c| c > w.lease_to_ms + LAPSE_MARGIN_MS)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            let Some(w) = self.workers.get_mut(&id) else { continue };
            w.claimed = false;
            let tasks: Vec<Task> = w.held.keys().copied().collect();
            for task in tasks {
                if let Some(w) = self.workers.get_mut(&id) {
                    w.release(&task);
                }
                self.lost(task, &id);
            }
        }
    }
}
