//! Workers: listed, missing, silent, born again.

use super::Cell;
use crate::note::Note;
use crate::task::Task;
use crate::worker::{Listed, No, Worker, millis};
use catkin_place::health::WorkerHealth;
use catkin_types::{Incarnation, WorkerId};
use std::time::Duration;

/// A life that never answered is waited for one part in so many longer: its clock may be slow.
const STRAY_MARGIN_DIVISOR: u32 = 20;
/// How far the clock of a silent worker has to be past its lease before its tasks are taken to be gone, in
/// milliseconds.
const LEASE_MARGIN_MS: u64 = 100;
/// How long a worker that is missing from the list and does not answer is still looked at.
const MISSING_POLL_PERIOD: Duration = Duration::from_secs(20);

/// How a worker is to be looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerView {
    /// Its name.
    pub id: WorkerId,
    /// Its address.
    pub addr: String,
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
            self.update_worker(l);
        }
        if partial {
            return;
        }
        present.sort();
        for w in &mut self.workers {
            if present.binary_search(&w.info.id).is_err() {
                w.missing_since.get_or_insert(now);
            }
        }
    }

    fn update_worker(&mut self, l: Listed) {
        let no = if let Some(no) = self.indices.get(&l.id) {
            *no
        } else {
            let no = No(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
            self.indices.insert(l.id.clone(), no);
            self.workers.push(Worker::default());
            no
        };
        let w = self.worker_mut(no);
        let known = w.info.born;
        let born = if known == 0 { l.born } else { known };
        let other_life = known != 0 && l.born > known;
        let newest = l.born;
        w.update_info(Listed { born, ..l });
        if other_life {
            self.restart_worker(no, newest);
        }
    }

    /// The worker is gone from the list.
    pub fn unlist(&mut self, id: &str, now: Duration) {
        if let Some(no) = self.indices.get(id).copied() {
            self.worker_mut(no).missing_since.get_or_insert(now);
        }
    }

    /// The name and the address of a worker.
    #[must_use]
    pub fn contact(&self, no: No) -> (WorkerId, String) {
        let l = &self.worker(no).info;
        (l.id.clone(), l.addr.clone())
    }

    /// Whether ends of the worker wait until they are durable, so that a look would not wait for another one.
    #[must_use]
    pub fn ends_pending(&self, no: No) -> bool {
        !self.worker(no).unacknowledged.is_empty()
    }

    /// Whether the worker answered the last call.
    #[must_use]
    pub fn answers(&self, no: No) -> bool {
        self.worker(no).missed_polls == 0
    }

    /// Whether there is no reason to look at the worker any more.
    #[must_use]
    pub fn forgotten(&self, no: No, now: Duration) -> bool {
        let w = self.worker(no);
        let gone = w.missing_since.is_some_and(|at| now.saturating_sub(at) > MISSING_POLL_PERIOD);
        gone && w.assignments.is_empty() && w.missed_polls > 0
    }

    /// The worker answered that it is another life than the one that is known.
    pub fn other_life(&mut self, no: No) {
        self.restart_worker(no, 0);
    }

    /// How to look at a worker at `now`. Notes the lease that is asked for.
    pub fn view(&mut self, no: No, now: Duration) -> WorkerView {
        let lease = millis(self.opt.lease);
        let w = self.worker_mut(no);
        // A silent worker is asked for no further lease, so that the end of the last one comes.
        let clock = w.estimated_clock_ms(now).filter(|_| w.missed_polls == 0);
        let lease_to_ms = clock.map(|clock| clock + lease);
        w.lease_to_ms = w.lease_to_ms.max(lease_to_ms.unwrap_or(0));
        WorkerView {
            id: w.info.id.clone(),
            addr: w.info.addr.clone(),
            lease_to_ms,
            acknowledged: w.acknowledged,
        }
    }

    /// Whether the worker may get work now.
    pub(super) fn is_usable(&self, no: No, now: Duration) -> bool {
        let w = self.worker(no);
        let listed = w.missing_since.is_none_or(|at| now.saturating_sub(at) < self.opt.missing);
        w.confirmed
            && listed
            && !w.info.draining
            && w.missed_polls == 0
            && now >= w.paused_until
            && self.fleet.worker_health(&w.info.id, now) != WorkerHealth::Quarantined
    }

    /// The worker has another life: what ran in the last one is gone.
    pub(super) fn restart_worker(&mut self, no: No, born: Incarnation) {
        let now = self.now;
        let w = self.worker_mut(no);
        let lost = w.begin_incarnation(born, now);
        let id = w.info.id.clone();
        self.settled_workers.insert(id);
        for task in lost {
            self.mark_lost(task, no);
        }
        for j in self.jobs.values_mut() {
            for s in &mut j.steps {
                if let Some(good) = &mut s.tickets {
                    good.remove(&no);
                    s.advised_on.remove(no);
                }
            }
        }
    }

    /// Notes which workers are left out, and which no longer.
    pub(super) fn record_quarantine_changes(&mut self, now: Duration) {
        for no in self.nos() {
            let standing = self.fleet.worker_health(&self.worker(no).info.id, now);
            let out = standing == WorkerHealth::Quarantined;
            let changed = if out {
                self.quarantined_workers.insert(no)
            } else {
                self.quarantined_workers.remove(&no)
            };
            if changed {
                self.events.push(Note::LeftOut { worker: no, out });
            }
        }
    }

    /// The task is gone from the worker without an end of its own.
    pub(super) fn mark_lost(&mut self, task: Task, worker: No) {
        let here = self
            .step(task.step)
            .and_then(|s| s.tasks.get(task.index as usize))
            .is_some_and(|t| t.worker == Some(worker));
        if here {
            self.counts.lost += 1;
            self.events.push(Note::Lost { task, worker });
            self.clear_worker(task);
        }
    }

    /// Takes the tasks of silent workers to be gone once their leases have run out.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        // A life's clock begins at 0. A call meant for the one before may have given it the longest lease.
        let strays = self.opt.stray + self.opt.longest_lease;
        let over = |w: &Worker| {
            let Some(clock) = w.min_clock_ms(now) else {
                // It never answered in this life.
                let since = w.restarted_at.map(|at| now.saturating_sub(at));
                return since.is_some_and(|d| d > strays + strays / STRAY_MARGIN_DIVISOR);
            };
            let lease_to = w.lease_to_ms.max(w.restarted_at.map_or(0, |_| millis(strays)));
            clock > lease_to + LEASE_MARGIN_MS
        };
        let silent = |w: &Worker| w.missed_polls > 0 && (w.confirmed || !w.assignments.is_empty());
        let lapsed: Vec<No> =
            self.nos().filter(|no| silent(self.worker(*no)) && over(self.worker(*no))).collect();
        for no in lapsed {
            let w = self.worker_mut(no);
            w.confirmed = false;
            let tasks: Vec<Task> = w.assignments.keys().copied().collect();
            for task in tasks {
                self.worker_mut(no).release(&task);
                self.mark_lost(task, no);
            }
        }
    }
}
