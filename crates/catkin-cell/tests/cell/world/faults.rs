//! Injected faults.

use super::{AUTONOMY, OUTAGE_MS, World};
use crate::worker::Worker;
use catkin_cell::worker::WorkerInfo;
use catkin_types::Epoch;
use std::time::Duration;

/// The faults to inject, as chances in a thousand unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The answer to an order is lost.
    pub answer_lost: u32,
    /// An order gets no answer and is carried out seconds later, by the incarnation at which it arrived.
    pub order_late: u32,
    /// A poll gets no answer and is carried out seconds later, by the incarnation at which it arrived.
    pub poll_late: u32,
    /// The answer to a poll is lost.
    pub poll_answer_lost: u32,
    /// The answer to an order or to a poll arrives up to half a second late, or arrives twice.
    pub answer_late: u32,
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
    /// A third of the workers restart, some twice. They are back within a second, and unreachable for 5 to 14 s soon
    /// after; each second.
    pub restart_then_cut: u32,
    /// A worker drains, and restarts under its identifier some seconds later, each second.
    pub planned_exit: u32,
    /// The wall clock of a worker that restarts goes back, so that its next incarnation has a lower number.
    pub clock_back: u32,
    /// A worker leaves for good, each second. Some drain first, and the addresses of some are given to others.
    pub worker_leaves: u32,
    /// A worker joins, each second.
    pub worker_joins: u32,
    /// The entry of a worker is missing from the list for seconds, each second.
    pub entry_missing: u32,
    /// A worker declines all starts for seconds, each second.
    pub worker_declines: u32,
    /// A worker is unreachable for seconds, each second.
    pub partition: u32,
    /// The table takes no writes for seconds, each second.
    pub table_outage: u32,
    /// The adviser takes seconds for its answer.
    pub advice_late: u32,
    /// A task fails.
    pub task_failure: u32,
    /// By how many thousandths the workers' clocks are slow.
    pub worker_lag_per_mille: u32,
    /// The factor by which tasks run longer than estimated.
    pub duration_factor: u32,
}

/// What faults have done to a worker and to its entry in the list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Trouble {
    /// The worker is unreachable until then.
    pub partitioned_until: Duration,
    /// The entry is missing from the list until then.
    pub unlisted_until: Duration,
    /// The worker declines starts until then.
    pub declines_until: Duration,
    /// When the worker leaves for good.
    pub leaves_at: Option<Duration>,
    /// Whether the worker has left and no other got its address.
    pub left: bool,
}

impl World {
    pub(super) fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.random() % 1_000 < u64::from(per_mille)
    }

    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_millis(1 + self.random() % 40)
    }

    /// Returns the delay of an answer, which is long for some.
    pub(super) fn answer_delay(&mut self) -> Duration {
        let late = self.chance(self.faults.answer_late);
        let delay = self.delay();
        if late { delay + Duration::from_millis(self.random() % 500) } else { delay }
    }

    fn outage(&mut self) -> Duration {
        self.now + Duration::from_millis(500 + self.random() % OUTAGE_MS)
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
        if self.chance(rates.table_outage) {
            self.table_back_at = self.outage();
        }
        if self.chance(rates.worker_joins) {
            let n = self.workers.len();
            let joined = Worker::new(n, self.workers[0].info.capacity, self.clock_seed);
            self.workers.push(joined);
            self.trouble.push(Trouble::default());
        }
        if self.chance(rates.restart_then_cut) {
            self.plan_restarts();
        }
        for n in 0..self.workers.len() {
            self.inject_worker_faults(n);
        }
        let listed = self.listed();
        for owner in &mut self.owners {
            owner.cell.update_workers(listed.clone(), false, self.now);
        }
    }

    fn inject_worker_faults(&mut self, n: usize) {
        if self.trouble[n].left {
            return;
        }
        let rates = self.faults;
        if self.chance(rates.worker_crash) {
            self.restart_worker(n);
        }
        if self.chance(rates.planned_exit) {
            self.drain_worker(n);
        }
        if self.chance(rates.partition) {
            self.trouble[n].partitioned_until = self.outage();
        }
        if self.chance(rates.entry_missing) {
            self.trouble[n].unlisted_until = self.outage();
        }
        if self.chance(rates.worker_declines) {
            self.trouble[n].declines_until = self.outage();
        }
        if self.trouble[n].leaves_at.is_none() && self.chance(rates.worker_leaves) {
            let drains = self.random().is_multiple_of(2);
            self.workers[n].info.draining = drains;
            let after = Duration::from_secs(if drains { 2 } else { 0 });
            self.trouble[n].leaves_at = Some(self.now + after);
        }
        if self.trouble[n].leaves_at.is_some_and(|at| at <= self.now) {
            self.leave(n);
        }
        self.workers[n].declines_starts = self.trouble[n].declines_until > self.now;
    }

    /// Crashes a worker, which restarts under its identifier.
    fn restart_worker(&mut self, n: usize) {
        self.count_crash(n);
        self.begin_next_life(n);
    }

    /// Starts the next incarnation of a worker.
    pub(super) fn begin_next_life(&mut self, n: usize) {
        let back = self.chance(self.faults.clock_back);
        let incarnation = self.workers[n].info.incarnation;
        self.workers[n].restart(if back { incarnation - 5 } else { incarnation + 1 }, self.now);
    }

    /// Removes a worker for good. Its address may go to another one.
    fn leave(&mut self, n: usize) {
        let now = self.now;
        self.count_crash(n);
        if self.random().is_multiple_of(2) {
            self.workers[n].replace(now);
            self.trouble[n] = Trouble::default();
        } else {
            self.remove_worker(n);
        }
    }

    /// Removes a worker for good, and its entry after a while.
    pub fn remove_worker(&mut self, n: usize) {
        self.workers[n].crash(self.now);
        self.disconnect_worker(n);
        self.trouble[n] = Trouble { left: true, leaves_at: Some(self.now), ..Trouble::default() };
    }

    /// Ends all outages that are under way.
    pub fn end_outages(&mut self) {
        self.table_back_at = self.now;
        self.cut_off_until.clear();
        self.planned.clear();
        self.former_entries.clear();
        for trouble in &mut self.trouble {
            trouble.partitioned_until = self.now;
            trouble.unlisted_until = self.now;
            trouble.declines_until = self.now;
        }
    }

    /// Returns the list of workers.
    pub(super) fn listed(&self) -> Vec<WorkerInfo> {
        let is_listed = |trouble: &Trouble| {
            // The entry of a worker that has left silently is removed after a while.
            let removed =
                trouble.leaves_at.is_some_and(|at| self.now > at + Duration::from_secs(3));
            trouble.unlisted_until <= self.now && !(trouble.left && removed)
        };
        let entry = |n: usize| {
            let former = self.former_entries.get(&n).filter(|(until, _)| *until > self.now);
            former.map_or(&self.workers[n].info, |(_, info)| info).clone()
        };
        (0..self.workers.len()).filter(|n| is_listed(&self.trouble[*n])).map(entry).collect()
    }

    /// Divides the workers between the newest owner and an isolated one before it. An owner that is fenced anywhere would
    /// step down.
    fn cut_off_workers(&mut self) {
        let isolated = self.owners.iter().rev().find(|o| o.isolated).map(|o| o.epoch);
        for n in 0..self.workers.len() {
            if self.chance(self.faults.worker_cut_off) {
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

    /// Returns whether the owner of the term `epoch` can't reach a worker.
    pub(super) fn is_unreachable_from(&self, n: usize, epoch: Epoch) -> bool {
        let cut_off = self.cut_off_until.get(&(epoch, n)).is_some_and(|at| *at > self.now);
        cut_off || self.is_unreachable(n)
    }

    pub(super) fn is_unreachable(&self, n: usize) -> bool {
        !self.workers[n].reachable || self.trouble[n].partitioned_until > self.now
    }
}
