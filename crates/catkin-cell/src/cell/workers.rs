//! Workers: listing, polling, leases, restarts and lost tasks.

use super::Cell;
use crate::event::{Event, LossCause};
use crate::task::Task;
use crate::worker::{Assignment, Worker, WorkerIndex, WorkerInfo, millis, slowest};
use catkin_place::health::WorkerHealth;
use catkin_types::{FencingToken, Incarnation, WorkerId};
use std::time::Duration;

/// How far past its lease the clock of an unresponsive worker has to be before its tasks count as lost, in
/// milliseconds.
const LEASE_MARGIN_MS: u64 = 100;
/// How long a worker that is missing from the list and does not answer is still polled.
const MISSING_POLL_PERIOD: Duration = Duration::from_secs(20);

/// The parameters of a poll of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollParams {
    /// The worker's identifier.
    pub id: WorkerId,
    /// The address to send the poll to.
    pub addr: String,
    /// The token for the known incarnation of the worker.
    pub token: FencingToken,
    /// The end of the lease to request, in milliseconds on the worker's clock; absent while its clock is unknown and
    /// while the worker does not answer.
    pub lease_to_ms: Option<u64>,
    /// The highest end number that the worker may discard.
    pub acknowledged: u64,
}

/// A poll that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPoll {
    /// The worker that was polled.
    pub worker: WorkerIndex,
    /// When the poll was sent.
    pub sent: Duration,
    /// The token that it carried.
    pub token: FencingToken,
    /// Whether it requested a lease.
    pub renews: bool,
}

impl PollParams {
    /// Returns the poll of `worker` with these parameters, sent at `sent`.
    #[must_use]
    pub fn sent_at(&self, worker: WorkerIndex, sent: Duration) -> SentPoll {
        SentPoll { worker, sent, token: self.token, renews: self.lease_to_ms.is_some() }
    }
}

impl Cell {
    /// Updates the list of workers. If `partial` is set, workers that are not in `listed` stay listed.
    pub fn update_workers(&mut self, listed: Vec<WorkerInfo>, partial: bool, now: Duration) {
        let mut present: Vec<WorkerId> = Vec::with_capacity(listed.len());
        for entry in listed {
            present.push(entry.id.clone());
            self.update_worker(entry, now);
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

    fn update_worker(&mut self, entry: WorkerInfo, now: Duration) {
        let idx = if let Some(idx) = self.indices.get(&entry.id) {
            *idx
        } else {
            let idx = WorkerIndex(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
            self.indices.insert(entry.id.clone(), idx);
            let (token, first_token) = (self.epoch, self.epoch);
            let incarnation_known_at = now;
            self.workers.push(Worker {
                incarnation_known_at,
                token,
                first_token,
                ..Worker::default()
            });
            idx
        };
        if self.worker(idx).is_exit_counted(&entry) {
            self.retract_crash(idx);
        }
        if self.worker(idx).is_later_incarnation(entry.incarnation) {
            // The end of the former incarnation is judged by what it has said itself: its entry is replaced only then.
            self.restart_worker(idx, entry.incarnation, now);
        }
        self.worker_mut(idx).update_info(entry, now);
    }

    /// Handles the removal of a worker from the list.
    pub fn mark_missing(&mut self, id: &str, now: Duration) {
        if let Some(idx) = self.indices.get(id).copied() {
            self.worker_mut(idx).missing_since.get_or_insert(now);
        }
    }

    /// Returns the identifier and the address of a worker.
    #[must_use]
    pub fn contact(&self, idx: WorkerIndex) -> (WorkerId, String) {
        let entry = &self.worker(idx).info;
        (entry.id.clone(), entry.addr.clone())
    }

    /// Returns whether ends of the worker wait to become durable. The worker would answer a long poll at once with the
    /// same ends.
    #[must_use]
    pub fn has_unacknowledged_ends(&self, idx: WorkerIndex) -> bool {
        !self.worker(idx).current.unacknowledged.is_empty()
    }

    /// Returns whether a poll may wait at the worker until a task ends. The first poll of a term or of an incarnation may
    /// not, since the worker gets no tasks until it has answered.
    #[must_use]
    pub fn may_wait_at_worker(&self, idx: WorkerIndex) -> bool {
        let w = self.worker(idx);
        w.current.confirmed && w.missed_polls == 0 && w.current.unacknowledged.is_empty()
    }

    /// Returns whether the worker no longer has to be polled: it has been missing from the list for long, or another one
    /// has its address; and it has no tasks and does not answer.
    #[must_use]
    pub fn can_stop_polling(&self, idx: WorkerIndex, now: Duration) -> bool {
        let w = self.worker(idx);
        let gone = w.missing_since.is_some_and(|at| now.saturating_sub(at) > MISSING_POLL_PERIOD);
        (gone || w.replaced) && w.assignments.is_empty() && w.missed_polls > 0
    }

    /// Handles a poll that another worker at the address refused.
    pub fn handle_other_worker(&mut self, poll: &SentPoll, now: Duration) {
        let w = self.worker(poll.worker);
        // The refusal may come from an address that the worker had before.
        if poll.sent >= w.incarnation_known_at.max(w.address_known_at) {
            self.retire_worker(poll.worker, now);
        }
        self.handle_missed_poll(poll, now);
    }

    /// Returns the parameters of a poll of a worker at `now`, and records the lease that they request.
    pub fn poll_params(&mut self, idx: WorkerIndex, now: Duration) -> PollParams {
        let lease = millis(self.opt.lease);
        let may_renew = self.worker(idx).missed_polls == 0 && !self.is_recorded_silent(idx);
        let w = self.worker_mut(idx);
        // Requests no further lease from a worker that does not answer, so that its last lease runs out.
        let clock = w.estimated_clock_ms(now).filter(|_| may_renew);
        let lease_to_ms = clock.map(|clock| clock.saturating_add(lease));
        w.current.lease_to_ms = w.current.lease_to_ms.max(lease_to_ms.unwrap_or(0));
        if lease_to_ms.is_some() {
            w.record_lease_call(now);
        }
        let acknowledged = w.acknowledgement();
        w.has_acknowledged |= acknowledged > 0;
        PollParams {
            id: w.info.id.clone(),
            addr: w.info.addr.clone(),
            token: w.token,
            lease_to_ms,
            acknowledged,
        }
    }

    /// Returns whether the worker may get new tasks.
    pub(super) fn is_usable(&self, idx: WorkerIndex, now: Duration) -> bool {
        let w = self.worker(idx);
        let listed =
            w.missing_since.is_none_or(|at| now.saturating_sub(at) < self.opt.missing_grace);
        w.current.confirmed
            && w.is_entry_current()
            && listed
            && !w.info.draining
            && w.missed_polls == 0
            && !self.is_recorded_silent(idx)
            && now >= w.paused_until
            && self.fleet.worker_health(&w.info.id, now) != WorkerHealth::Quarantined
    }

    /// Handles a restart of the worker: the tasks of its last incarnation are lost.
    pub(super) fn restart_worker(
        &mut self,
        idx: WorkerIndex,
        incarnation: Incarnation,
        now: Duration,
    ) {
        // A worker that has not been heard since its last restart has had no starts since then.
        let was_heard = self.worker(idx).current.clock_reading.is_some();
        let planned = self.worker(idx).is_draining();
        if was_heard && !planned {
            self.record_crash(idx);
        }
        let w = self.worker_mut(idx);
        w.victims.clear();
        let lost = w.begin_incarnation(incarnation, now);
        let held = w.assignments.len();
        if was_heard {
            self.events.push(Event::WorkerRestarted {
                worker: idx,
                incarnation,
                planned,
                lost: lost.len(),
                held,
            });
        }
        for task in lost {
            self.mark_lost(task, idx, LossCause::WorkerRestarted);
        }
        for j in self.jobs.values_mut() {
            for s in &mut j.steps {
                if let Some(tickets) = &mut s.tickets {
                    tickets.remove(&idx);
                    s.advised_on.remove(idx);
                }
            }
        }
    }

    /// Handles the news that another worker has the address of `idx`. Nothing of it runs any more, and no order that was
    /// meant for it can be carried out: the other one refuses it.
    pub(super) fn retire_worker(&mut self, idx: WorkerIndex, now: Duration) {
        self.restart_worker(idx, 0, now);
        let w = self.worker_mut(idx);
        w.replaced = true;
        let id = w.info.id.clone();
        self.settled_workers.insert(id);
        self.mark_all_lost(idx, LossCause::WorkerReplaced);
    }

    /// Marks every task on the worker as lost.
    fn mark_all_lost(&mut self, idx: WorkerIndex, cause: LossCause) {
        let tasks: Vec<Task> = self.worker(idx).assignments.keys().copied().collect();
        for task in tasks {
            self.lose_task(task, idx, cause);
        }
    }

    /// Records events for workers whose quarantine began or ended.
    pub(super) fn record_quarantine_changes(&mut self, now: Duration) {
        for idx in self.worker_indices() {
            let health = self.fleet.worker_health(&self.worker(idx).info.id, now);
            let quarantined = health == WorkerHealth::Quarantined;
            let changed = if quarantined {
                self.quarantined_workers.insert(idx)
            } else {
                self.quarantined_workers.remove(&idx)
            };
            if changed {
                self.events.push(Event::QuarantineChanged { worker: idx, quarantined });
            }
        }
    }

    /// Releases a task that does not run on the worker any more, and handles its loss.
    pub(super) fn lose_task(&mut self, task: Task, worker: WorkerIndex, cause: LossCause) {
        self.worker_mut(worker).release(&task);
        self.mark_lost(task, worker, cause);
    }

    /// Handles a task that disappeared from the worker without reporting an end.
    fn mark_lost(&mut self, task: Task, worker: WorkerIndex, cause: LossCause) {
        let assigned_here = self.task(task).filter(|t| t.assigned_to == Some(worker));
        if let Some(run) = assigned_here.map(|t| t.run) {
            self.counts.lost += 1;
            self.events.push(Event::TaskLost { task, run, worker, cause });
            self.steps_with_losses.insert(task.step);
            self.clear_worker(task);
        }
    }

    /// Returns how long after it was sent a call can keep a task running, on the owner's clock: it may be carried out late,
    /// by an incarnation that it was not meant for, whose clock is another and slow. It then gives the longest lease.
    pub(super) fn max_stray_period(&self) -> Duration {
        self.opt.max_call_delay + slowest(self.opt.max_lease)
    }

    /// Marks the tasks of unresponsive workers as lost that can't run there any more.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        for idx in self.worker_indices() {
            let w = self.worker(idx);
            if w.missed_polls > 0 && (w.current.confirmed || !w.assignments.is_empty()) {
                self.expire_lease(idx, now);
            }
        }
    }

    fn expire_lease(&mut self, idx: WorkerIndex, now: Duration) {
        let lease_over = self.lease_over(idx, now);
        if lease_over.is_some() {
            self.worker_mut(idx).current.confirmed = false;
        }
        let calls_over = self.calls_over(idx, now);
        if lease_over.is_none() && calls_over.is_none() {
            return;
        }
        let cause_of = |a: &Assignment| calls_over.or(lease_over.filter(|_| a.reported));
        let assignments = self.worker(idx).assignments.iter();
        let lost: Vec<(Task, LossCause)> =
            assignments.filter_map(|(task, a)| Some((*task, cause_of(a)?))).collect();
        if !self.worker(idx).is_draining() {
            self.suspect_tasks(idx, |a| cause_of(a).is_some());
        }
        for (task, cause) in lost {
            self.lose_task(task, idx, cause);
        }
    }

    /// Returns why nothing runs any more that the known incarnation of the worker has listed.
    fn lease_over(&self, idx: WorkerIndex, now: Duration) -> Option<LossCause> {
        let w = self.worker(idx);
        let lease_to_ms = w.current.granted_to_ms?.max(w.current.lease_to_ms);
        let clock_ms = w.min_clock_ms(now)?;
        let is_over = clock_ms > lease_to_ms.saturating_add(LEASE_MARGIN_MS);
        is_over.then_some(LossCause::LeaseExpired { lease_to_ms, clock_ms })
    }

    /// Returns why nothing runs any more on the worker, whatever incarnation has carried out the calls.
    fn calls_over(&self, idx: WorkerIndex, now: Duration) -> Option<LossCause> {
        let since_last_call = now.saturating_sub(self.worker(idx).lease_call_at);
        let is_over = since_last_call > self.max_stray_period();
        is_over.then_some(LossCause::CallsExpired { since_last_call })
    }
}
