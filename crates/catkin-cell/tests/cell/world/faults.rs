//! Injected faults.

use super::World;
use catkin_cell::worker::WorkerIndex;
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

impl World {
    pub(super) fn chance(&mut self, per_mille: u32) -> bool {
        self.random() % 1_000 < u64::from(per_mille)
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
            let crash_at = if continues { self.now + Duration::from_secs(2) } else { self.now };
            self.take_over(Some(crash_at));
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

    /// Makes a worker unreachable for good.
    pub fn disconnect_worker(&mut self, n: usize) {
        self.workers[n].reachable = false;
    }

    pub(super) fn worker_reachability(&self, idx: WorkerIndex) -> (usize, bool) {
        // Workers are listed in the order of their indices.
        let n: usize = idx.to_string().parse().expect("a worker index displays as a number");
        (n, !self.workers[n].reachable || self.partitioned_until[n] > self.now)
    }

    /// Returns when an order is carried out, whether it is answered, and the worker's incarnation. The incarnation is
    /// only given for an order that the worker has received and carries out late: it is dropped if the worker restarts.
    pub(super) fn plan_delivery(&mut self, idx: WorkerIndex) -> (Duration, bool, Option<u64>) {
        if self.chance(self.faults.order_late) {
            let late = Duration::from_millis(700 + self.random() % 5_000);
            let (n, _) = self.worker_reachability(idx);
            return (self.now + late, false, Some(self.workers[n].info.incarnation));
        }
        let lost = self.chance(self.faults.answer_lost);
        (self.now + self.delay(), !lost, None)
    }

    /// Returns whether an order was received by an earlier incarnation of the worker and dropped with it.
    pub(super) fn is_dropped(&self, idx: WorkerIndex, receiver: Option<u64>) -> bool {
        let (n, _) = self.worker_reachability(idx);
        receiver.is_some_and(|receiver| receiver != self.workers[n].info.incarnation)
    }
}
