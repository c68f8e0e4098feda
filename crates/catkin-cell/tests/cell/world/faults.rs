//! Injected faults.

use super::{AUTONOMY, World};
use catkin_cell::worker::WorkerIndex;
use catkin_types::Epoch;
use std::time::Duration;

/// The faults to inject, as chances in a thousand unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The answer to an order is lost.
    pub answer_lost: u32,
    /// An order gets no answer and is carried out seconds later.
    pub order_late: u32,
    /// The owner crashes, each second.
    pub owner_crash: u32,
    /// The old owner continues for a while after a takeover.
    pub owner_continues: u32,
    /// An old owner that continues gets no answer of the table.
    pub owner_isolated: u32,
    /// The new owner does not know that a crashed one is gone.
    pub crash_unnoticed: u32,
    /// A worker is unreachable for a new owner for seconds. An isolated old owner does not reach the others.
    pub worker_cut_off: u32,
    /// A worker crashes, each second.
    pub worker_crash: u32,
    /// A worker is unreachable for seconds, each second.
    pub partition: u32,
    /// A task fails.
    pub task_failure: u32,
    /// By how many thousandths the workers' clocks are slow.
    pub worker_lag_per_mille: u32,
    /// The factor by which tasks run longer than estimated.
    pub duration_factor: u32,
}

/// Returns the number of a worker. Workers are listed in the order of their indices.
fn worker_number(idx: WorkerIndex) -> usize {
    idx.to_string().parse().expect("a worker index displays as a number")
}

impl World {
    pub(super) fn chance(&mut self, per_mille: u32) -> bool {
        self.random() % 1_000 < u64::from(per_mille)
    }

    /// As [`Self::chance`], without a draw for a fault that is not injected.
    pub(super) fn fault(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.chance(per_mille)
    }

    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_millis(1 + self.random() % 40)
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
    fn cut_off_workers(&mut self) {
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

    /// Makes a worker unreachable for the newest owner for a time. Earlier owners still reach it.
    pub fn cut_off(&mut self, n: usize, time: Duration) {
        self.cut_off_until.insert((self.epoch, n), self.now + time);
    }

    /// Makes a worker unreachable for good.
    pub fn disconnect_worker(&mut self, n: usize) {
        self.workers[n].reachable = false;
    }

    /// Returns a worker, and whether the owner of the term `epoch` can't reach it.
    pub(super) fn worker_reachability(&self, idx: WorkerIndex, epoch: Epoch) -> (usize, bool) {
        let n = worker_number(idx);
        let cut_off = self.cut_off_until.get(&(epoch, n)).is_some_and(|at| *at > self.now);
        (n, cut_off || !self.workers[n].reachable || self.partitioned_until[n] > self.now)
    }

    /// Returns when an order is carried out, whether it is answered, and the worker's incarnation. The incarnation is
    /// only given for an order that the worker has received and carries out late: it is dropped if the worker restarts.
    pub(super) fn plan_delivery(&mut self, idx: WorkerIndex) -> (Duration, bool, Option<u64>) {
        if self.chance(self.faults.order_late) {
            let late = Duration::from_millis(700 + self.random() % 5_000);
            let n = worker_number(idx);
            return (self.now + late, false, Some(self.workers[n].info.incarnation));
        }
        let lost = self.chance(self.faults.answer_lost);
        (self.now + self.delay(), !lost, None)
    }

    /// Returns whether an order was received by an earlier incarnation of the worker and dropped with it.
    pub(super) fn is_dropped(&self, idx: WorkerIndex, receiver: Option<u64>) -> bool {
        let n = worker_number(idx);
        receiver.is_some_and(|receiver| receiver != self.workers[n].info.incarnation)
    }
}
