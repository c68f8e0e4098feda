//! Takeovers and injected faults.

use super::{AUTONOMY, Owner, REQUESTED_LEASE, World};
use catkin_cell::action::StoredJob;
use catkin_cell::{Cell, Options};
use std::collections::HashMap;
use std::time::Duration;

impl World {
    /// A new owner takes over. The old one crashes at `crash_at`, or continues until an answer fences it.
    pub fn take_over(&mut self, crash_at: Option<Duration>) {
        let crashed = self.owners.is_empty() || crash_at.is_some_and(|at| at <= self.now);
        if !crashed || self.fault(self.faults.crash_unnoticed) {
            self.earlier_owners_until = self.now + AUTONOMY;
        }
        let isolated = !crashed && self.fault(self.faults.owner_isolated);
        if let Some(owner) = self.owners.last_mut() {
            owner.crash_at = crash_at;
            owner.isolated = isolated;
            owner.cell.confirm_term(self.now);
        }
        self.epoch += 1;
        let opt = Options {
            autonomy: AUTONOMY,
            lease: REQUESTED_LEASE,
            max_lease: crate::worker::MAX_LEASE,
            ..Options::default()
        };
        let mut cell = Cell::new(opt, self.epoch, self.now);
        cell.limit_earlier_owners(self.earlier_owners_until.max(self.now));
        cell.configure([("q".to_owned(), self.queue.clone())]);
        for (id, job) in &self.jobs {
            let progress = self.progress.get(id).cloned().unwrap_or_default();
            let loaded = StoredJob { job: job.clone(), progress };
            cell.add(*id, loaded, Duration::ZERO, self.now);
        }
        cell.update_workers(self.workers.iter().map(|w| w.info.clone()).collect(), false, self.now);
        self.owners.push(Owner {
            cell,
            epoch: self.epoch,
            writing: false,
            polls: HashMap::new(),
            crash_at: None,
            isolated: false,
        });
    }

    /// Makes a worker unreachable for the newest owner for a time. Earlier owners still reach it.
    pub fn cut_off(&mut self, n: usize, time: Duration) {
        self.cut_off_until.insert((self.epoch, n), self.now + time);
    }

    pub(super) fn inject_faults(&mut self) {
        if !self.now.as_millis().is_multiple_of(1_000) {
            return;
        }
        let rates = self.faults;
        if self.chance(rates.owner_crash) {
            let continues = self.chance(rates.owner_continues);
            let crash_at = if continues { self.now + AUTONOMY } else { self.now };
            self.take_over(Some(crash_at));
            self.cut_off_workers();
        }
        for n in 0..self.workers.len() {
            if self.chance(rates.worker_crash) {
                self.workers[n].crash(self.now);
            }
            if self.chance(rates.partition) {
                let duration = Duration::from_millis(500 + self.random() % 9_000);
                self.partitioned_until[n] = self.now + duration;
            }
        }
        let listed: Vec<_> = self.workers.iter().map(|w| w.info.clone()).collect();
        for owner in &mut self.owners {
            owner.cell.update_workers(listed.clone(), false, self.now);
        }
    }

    /// Divides the workers between the newest owner and an isolated one before it. An owner that is fenced anywhere would
    /// step down.
    pub(super) fn cut_off_workers(&mut self) {
        let isolated = self.owners.iter().rev().find(|o| o.isolated).map(|o| o.epoch);
        for n in 0..self.workers.len() {
            if self.fault(self.faults.worker_cut_off) {
                let time = Duration::from_millis(500 + self.random() % 30_000);
                self.cut_off(n, time);
            } else if let Some(epoch) = isolated {
                self.cut_off_until.insert((epoch, n), self.now + AUTONOMY);
            }
        }
    }
}
