//! Placement of waiting tasks: rows in fair order, gangs all or nothing, with a bound on the tasks placed in one pass.

use super::state::{State, WaitingTask};
use catkin_lease::owner::TaskState;
use catkin_place::gang::{self, GangPlacement};
use catkin_place::{Placement, PlacementRequest};
use catkin_share::order::{RowUsage, compare};
use catkin_types::row::Urgency;
use catkin_types::{JobId, Resources, Row, RowName, TaskId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How many tasks one handling of a message places at most.
const MAX_PLACEMENTS_PER_PASS: usize = 512;
/// How long a row below its fair share waits before tasks of other rows are stopped for it, and the interval between
/// two preemption passes.
const PREEMPT_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// Runs a scheduling pass: places waiting tasks that fit, in fair order, then preempts if due.
    pub(super) fn schedule(&mut self) {
        let now = self.cx.now();
        if !self.loaded || !self.lease.may_act(now) || self.queues.values().all(VecDeque::is_empty)
        {
            return;
        }
        let Some(table) = self.cx.table() else { return };
        let total = self.pool.capacity();
        self.refresh_fair_shares(&total, now, |name| table.get(name).cloned());
        let share = Arc::clone(&self.share);
        let mut blocked: BTreeSet<RowName> = BTreeSet::new();
        let mut placed = 0;
        while placed < MAX_PLACEMENTS_PER_PASS {
            let Some(name) = self.next_row(&total, &share, &blocked, now, |n| table.get(n)) else {
                break;
            };
            let Some(row) = table.get(&name) else {
                blocked.insert(name);
                continue;
            };
            match self.place_next(row, now) {
                0 => {
                    self.consider_reservation(row, &share, now);
                    blocked.insert(name);
                }
                n => {
                    self.hold.end_for(&name);
                    placed += n;
                }
            }
        }
        if placed >= MAX_PLACEMENTS_PER_PASS {
            self.schedule_soon();
        } else if now >= self.preempt_at {
            self.preempt_at = now + PREEMPT_INTERVAL;
            self.preempt(&share, &blocked, |name| table.get(name).cloned());
        }
        let sends = self.lease.flush(now);
        self.send(sends);
    }

    /// Considers a reservation of free capacity for a row below its share whose next task or gang does not fit. The
    /// first blocked row in order gets it.
    fn consider_reservation(
        &mut self,
        row: &Row,
        share: &BTreeMap<RowName, Resources>,
        now: Duration,
    ) {
        let Some(first) = self.queues.get(&row.name).and_then(|l| l.front().copied()) else {
            return;
        };
        let held = self.held.get(&row.name).copied().unwrap_or_default();
        let below = share.get(&row.name).is_some_and(|s| held != *s && held.fits(s));
        let Some(chunk) = self.chunk_of(first.task).map(|(_, o)| &o.chunk) else { return };
        let n = if chunk.gang { u64::from(chunk.len()) } else { 1 };
        if below && self.within_limit(row, chunk.size, n) {
            self.hold.try_begin(&row.name, now.saturating_sub(first.since), now);
        }
    }

    fn next_row<'a>(
        &self,
        total: &Resources,
        share: &BTreeMap<RowName, Resources>,
        blocked: &BTreeSet<RowName>,
        now: Duration,
        row: impl Fn(&str) -> Option<&'a Row>,
    ) -> Option<RowName> {
        let reserved_for = self.hold.row(now);
        let may_place = |n: &RowName| {
            let urgent = || row(n).is_some_and(|r| r.urgency == Urgency::Urgent);
            reserved_for.is_none_or(|h| h == n) || urgent()
        };
        let waiting = self
            .queues
            .iter()
            .filter(|(n, l)| !l.is_empty() && !blocked.contains(*n) && may_place(n));
        let usage = |name: &RowName| {
            let row = row(name)?;
            let held = self.held.get(name).copied().unwrap_or_default();
            Some(RowUsage { row, held, share: share.get(name).copied().unwrap_or_default() })
        };
        let known = waiting.filter_map(|(n, _)| Some((n, usage(n)?)));
        known.min_by(|a, b| compare(total, &a.1, &b.1)).map(|(n, _)| n.clone())
    }

    /// Places the row's first task or gang. Returns how many tasks were placed or dropped from the queue, 0 if the row
    /// has to wait.
    fn place_next(&mut self, row: &Row, now: Duration) -> usize {
        let Some(first) = self.queues.get(&row.name).and_then(|l| l.front().copied()) else {
            return 0;
        };
        if self.lease.tasks().get(&first.task).is_none_or(|t| t.state != TaskState::Waiting) {
            // The task was removed or already runs, so only its queue entry is left.
            self.queues.entry(row.name.clone()).or_default().pop_front();
            return 1;
        }
        let Some((key, size, gang)) =
            self.chunk_of(first.task).map(|(k, o)| (*k, o.chunk.size, o.chunk.gang))
        else {
            return 0;
        };
        if gang && self.no_gang_task_started(key) {
            self.place_gang(row, key, size, now)
        } else {
            self.place_one(row, first, key, size, now)
        }
    }

    fn place_one(
        &mut self,
        row: &Row,
        first: WaitingTask,
        key: (JobId, u32),
        size: Resources,
        now: Duration,
    ) -> usize {
        if !self.within_limit(row, size, 1) {
            return 0;
        }
        match self.pool.choose(&PlacementRequest::from_size(size)) {
            Placement::On(i) => {
                let worker = self.pool.host(i).id.clone();
                if !self.start(row, first.task, &worker, size, now.saturating_sub(first.since)) {
                    // The pool had an outdated view of the worker. The lease state machine is authoritative.
                    self.sync_worker(&worker);
                    return 0;
                }
                self.queues.entry(row.name.clone()).or_default().pop_front();
                1
            }
            Placement::Unplaceable if self.all_claimed() => {
                self.dequeue_chunk(&row.name, key);
                self.fail_chunk(key, "no worker of the shard can ever hold a task of that size");
                1
            }
            Placement::NoCapacityNow | Placement::Unplaceable => 0,
        }
    }

    fn start(
        &mut self,
        row: &Row,
        task: TaskId,
        worker: &str,
        size: Resources,
        waited: Duration,
    ) -> bool {
        let Some(program) = self.chunk_of(task).map(|(_, o)| o.chunk.program.clone()) else {
            return false;
        };
        let worker = worker.to_owned();
        if let Err(e) = self.lease.start(task, &worker, program) {
            tracing::debug!("owner: cannot start task {task} on worker {worker}: {e}");
            return false;
        }
        self.hold(&row.name, size);
        self.sync_worker(&worker);
        self.cx.metrics.count_placement(&row.name);
        self.cx.metrics.record_wait(&row.name, waited);
        true
    }

    /// Returns whether no task of the chunk has started. Once one has, lost tasks are restarted one by one.
    fn no_gang_task_started(&self, key: (JobId, u32)) -> bool {
        let Some(open) = self.open.get(&key) else { return false };
        let waits =
            |t: TaskId| self.lease.tasks().get(&t).is_some_and(|x| x.state == TaskState::Waiting);
        open.chunk.ended.count() == 0 && open.chunk.open_tasks().all(waits)
    }

    fn place_gang(
        &mut self,
        row: &Row,
        key: (JobId, u32),
        size: Resources,
        now: Duration,
    ) -> usize {
        let Some(open) = self.open.get(&key) else { return 0 };
        let tasks: Vec<TaskId> = open.chunk.open_tasks().collect();
        if !self.within_limit(row, size, tasks.len() as u64) {
            return 0;
        }
        let mut trial = self.pool.clone();
        match gang::place(&mut trial, &vec![size; tasks.len()]) {
            GangPlacement::All(hosts) => {
                let since = self.dequeue_chunk(&row.name, key).unwrap_or(now);
                let workers: Vec<_> = hosts.iter().map(|i| trial.host(*i).id.clone()).collect();
                for (task, worker) in tasks.iter().zip(workers) {
                    if !self.start(row, *task, &worker, size, now.saturating_sub(since)) {
                        self.wait(*task);
                    }
                }
                tasks.len()
            }
            GangPlacement::Unplaceable if self.all_claimed() => {
                self.dequeue_chunk(&row.name, key);
                self.fail_chunk(key, "the workers of the shard can never hold the whole gang");
                1
            }
            GangPlacement::NoCapacityNow | GangPlacement::Unplaceable => 0,
        }
    }

    /// Removes a chunk's tasks from the queue. Returns since when the first of them has waited.
    fn dequeue_chunk(&mut self, row: &RowName, key: (JobId, u32)) -> Option<Duration> {
        let to = self.open.get(&key).map_or(u32::MAX, |o| o.chunk.to);
        let of_chunk = |w: &WaitingTask| w.task.job == key.0 && (key.1..to).contains(&w.task.index);
        let queue = self.queues.get_mut(row)?;
        let since = queue.iter().find(|w| of_chunk(w)).map(|w| w.since);
        queue.retain(|w| !of_chunk(w));
        since
    }

    /// Returns whether every worker has reported its capacity. Without that, no size can be said to fit nowhere.
    fn all_claimed(&self) -> bool {
        !self.hosts.is_empty() && self.lease.workers().all(|w| self.lease.capacity(w).is_some())
    }
}
