//! Owners: takeovers, the actions that they request, and the calls that they send.

use super::events::Event;
use super::{AUTONOMY, POLL_WAIT, REQUESTED_LEASE, World};
use catkin_cell::action::StoredJob;
use catkin_cell::worker::{Reply, WorkerIndex};
use catkin_cell::{Action, Cell, Options, Start, Stop};
use catkin_types::Epoch;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

pub(super) struct Owner {
    pub(super) cell: Cell,
    pub(super) epoch: Epoch,
    /// Whether a batch is being written to the table.
    pub(super) writing: bool,
    pub(super) polls: HashMap<WorkerIndex, (bool, Duration)>,
    pub(super) crash_at: Option<Duration>,
    /// Whether the table does not answer.
    pub(super) isolated: bool,
}

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
            if self.unreadable.contains(id) {
                cell.hold(*id, job.clone(), Duration::ZERO, self.now);
                continue;
            }
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

    pub(super) fn with_owner(
        &mut self,
        epoch: Epoch,
        f: impl FnOnce(&mut Owner, &mut Vec<Action>),
    ) {
        let mut out = Vec::new();
        if let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) {
            f(owner, &mut out);
        }
        self.apply_actions(epoch, out);
    }

    pub(super) fn apply_actions(&mut self, epoch: Epoch, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(s) => self.send_start(s, epoch),
                Action::Stop(s) => self.send_stop(s, epoch),
                Action::RequestAdvice(request) => {
                    let now = self.now;
                    let owner = self.owners.iter_mut().find(|owner| owner.epoch == epoch);
                    let request = owner.and_then(|owner| owner.cell.confirm_advice(request, now));
                    let Some(request) = request else { continue };
                    self.advice_request_sizes.push(request.workers.len());
                    let success = !self.chance(self.faults.answer_lost);
                    let when = self.now + request.cost + self.delay();
                    self.schedule_event(when, Event::AdviceReply(request, epoch, success));
                }
                Action::Poll(idx) => self.send_poll(idx, epoch, Duration::ZERO),
                Action::StepDown => self.owners.retain(|owner| owner.epoch != epoch),
            }
        }
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

    pub(super) fn tick_owners(&mut self) {
        let now = self.now;
        self.owners.retain(|owner| owner.crash_at.is_none_or(|at| at > now));
        let epochs: Vec<Epoch> = self.owners.iter().map(|owner| owner.epoch).collect();
        for epoch in epochs {
            let mut due: BTreeMap<WorkerIndex, Duration> = BTreeMap::new();
            let long_polls = self.long_polls;
            let mut batch = Vec::new();
            self.with_owner(epoch, |owner, out| {
                owner.cell.tick(now, out);
                for idx in owner.cell.worker_indices() {
                    let (waiting, last) = owner.polls.get(&idx).copied().unwrap_or_default();
                    if !waiting && now >= last + Duration::from_millis(50) {
                        owner.polls.insert(idx, (true, now));
                        let may_wait = long_polls && owner.cell.may_wait_at_worker(idx);
                        due.insert(idx, if may_wait { POLL_WAIT } else { Duration::ZERO });
                    }
                }
                if !owner.writing {
                    batch = owner.cell.take_writes(|_| true, 30);
                    owner.writing = !batch.is_empty();
                }
            });
            for (idx, wait) in due {
                self.send_poll(idx, epoch, wait);
            }
            if !batch.is_empty() {
                let when = now + self.delay();
                self.schedule_event(when, Event::Written(epoch, batch));
            }
        }
    }
}
