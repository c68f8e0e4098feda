//! Orders and polls on their way to workers.

use super::{Event, World, worker_number};
use crate::worker::TaskRun;
use catkin_cell::worker::{EndReason, Reply, WorkerIndex};
use catkin_cell::{Start, Stop};
use catkin_types::Epoch;
use std::time::Duration;

impl World {
    pub(super) fn deliver_start(&mut self, s: Start, epoch: Epoch, answered: bool) {
        let now = self.now;
        let (n, unreachable) = self.worker_reachability(s.worker, epoch);
        if unreachable {
            if answered {
                let when = now + Duration::from_millis(600);
                self.schedule_event(when, Event::StartReply(s, epoch, Reply::Unknown));
            }
            return;
        }
        let step = self.accepted[&s.task.step.job].steps[s.task.step.step as usize].clone();
        let ms = step.estimate_ms / 2 + self.random() % step.estimate_ms.max(1);
        let ms = ms * u64::from(self.faults.duration_factor.max(1));
        let reason =
            if self.chance(self.faults.task_failure) { EndReason::Failed } else { EndReason::Done };
        let run = TaskRun {
            number: s.run,
            size: step.size,
            began: now,
            ends: now + Duration::from_millis(ms),
            reason,
        };
        let mut facts = Vec::new();
        let reply = self.workers[n].start(&s, epoch, &step, &run, now, &mut facts);
        self.record_facts(n, facts);
        if answered {
            let when = now + self.delay();
            self.schedule_event(when, Event::StartReply(s, epoch, reply));
        }
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

    pub(super) fn send_start(&mut self, s: Start, epoch: Epoch) {
        let (when, answered, receiver) = self.plan_delivery(s.worker);
        let (_, unreachable) = self.worker_reachability(s.worker, epoch);
        if !answered || unreachable {
            let at = self.now + Duration::from_millis(600);
            self.schedule_event(at, Event::StartReply(s.clone(), epoch, Reply::Unknown));
        }
        self.schedule_event(
            when,
            Event::DeliverStart(s, epoch, answered && !unreachable, receiver),
        );
    }

    pub(super) fn send_stop(&mut self, s: Stop, epoch: Epoch) {
        let (when, answered, receiver) = self.plan_delivery(s.worker);
        let (_, unreachable) = self.worker_reachability(s.worker, epoch);
        if !answered || unreachable {
            let at = self.now + Duration::from_millis(600);
            self.schedule_event(at, Event::StopReply(s.clone(), epoch, Reply::Unknown));
        }
        self.schedule_event(when, Event::DeliverStop(s, epoch, answered && !unreachable, receiver));
    }

    pub(super) fn send_poll(&mut self, idx: WorkerIndex, epoch: Epoch, wait: Duration) {
        let now = self.now;
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) else { return };
        let params = owner.cell.poll_params(idx, now);
        let when = now + self.delay();
        self.schedule_event(
            when,
            Event::DeliverPoll(
                idx,
                epoch,
                now,
                params.lease_to_ms,
                params.acknowledged,
                when + wait,
            ),
        );
    }
}
