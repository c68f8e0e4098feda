//! The owner of a shard: claims its workers, keeps their leases, and knows where every task may run.

mod link;
mod reconcile;

use crate::Options;
use crate::error::Denied;
use crate::message::{Ending, Request, Start};
use catkin_types::{Epoch, Resources, TaskId, WorkerId};
use link::Link;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Where a task may run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Perhaps on a worker that was not heard since the takeover.
    Held,
    /// Nowhere. It can be started.
    Waiting,
    /// On this worker and no other.
    On(WorkerId),
    /// Nowhere. It ended, and the end is not recorded yet.
    Ended(Ending),
}

/// A task that has not ended as far as the table tells.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Task {
    /// What is set aside for it.
    pub size: Resources,
    /// Where it may run.
    pub state: State,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The worker obeys this term and can be given work.
    Claimed(WorkerId),
    /// The worker's lease is over, or it restarted. None of its tasks runs.
    Gone(WorkerId),
    /// The worker reports that it is to get no new work.
    Leaving(WorkerId),
    /// The task waits again. It was on the worker before.
    Lost {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
    },
    /// The task ended on the worker. It stays known until [`Owner::record`].
    Ended {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// How it ended: `Ok` or `Failed`.
        ending: Ending,
    },
    /// Every worker of earlier terms was claimed or waited out. Held tasks wait now.
    Settled,
    /// Another owner has a higher epoch.
    Deposed,
}

/// The owner of a shard in one term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    opt: Options,
    epoch: Epoch,
    confirmed: Duration,
    lost: bool,
    settled: bool,
    settle_at: Option<Duration>,
    links: BTreeMap<WorkerId, Link>,
    tasks: BTreeMap<TaskId, Task>,
    ready: BTreeSet<WorkerId>,
}

impl Owner {
    /// The owner in term `epoch`, whose compare-and-set was asked for at `asked` and answered at `now`. Tasks of
    /// earlier terms may run on any of `workers` until it is claimed or `settle_after` has passed.
    #[must_use]
    pub fn new(
        opt: Options,
        epoch: Epoch,
        (asked, now): (Duration, Duration),
        workers: impl IntoIterator<Item = WorkerId>,
        settle_after: Option<Duration>,
    ) -> Self {
        let settle_at = settle_after.map(|d| now.saturating_add(d));
        let links = workers.into_iter().map(|w| (w, Link::new(settle_at))).collect();
        Self {
            opt,
            epoch,
            confirmed: asked,
            lost: false,
            settled: settle_at.is_none(),
            settle_at,
            links,
            tasks: BTreeMap::new(),
            ready: BTreeSet::new(),
        }
    }

    /// The term.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether every worker of earlier terms was claimed or waited out.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// Whether a worker can be claimed as soon as the row is confirmed again.
    #[must_use]
    pub fn wants_confirmation(&self) -> bool {
        self.links.values().any(|l| l.awaits_confirmation(self.confirmed))
    }

    /// Whether the owner may still send commands at `now`.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        !self.lost && now < self.confirmed.saturating_add(self.opt.autonomy)
    }

    /// Notes that the row, asked for at `asked`, still names this term.
    pub fn confirm(&mut self, asked: Duration) {
        self.confirmed = self.confirmed.max(asked);
    }

    /// Notes that the row names another term, or ends the term. Nothing is sent from now on.
    pub fn depose(&mut self) {
        self.lost = true;
    }

    /// Adds workers on which tasks of earlier terms may run, before anything is sent.
    pub fn inherit_workers(&mut self, workers: impl IntoIterator<Item = WorkerId>) {
        let settle_at = self.settle_at;
        for worker in workers {
            self.links.entry(worker).or_insert_with(|| Link::new(settle_at));
            self.settled = settle_at.is_none();
        }
    }

    /// Adds a worker that no earlier term had.
    pub fn add_worker(&mut self, worker: WorkerId) {
        self.links.entry(worker).or_insert_with(|| Link::new(None));
    }

    /// Takes a worker out on which nothing of any term can run. Returns whether it did.
    pub fn remove_worker(&mut self, now: Duration, worker: &WorkerId) -> bool {
        let idle =
            |l: &Link| !l.claimed() && l.tasks.is_empty() && l.settle_at.is_none_or(|at| now >= at);
        let gone = self.links.get(worker).is_some_and(idle);
        if gone {
            self.links.remove(worker);
            self.ready.remove(worker);
        }
        gone
    }

    /// Takes up a task. One that an earlier term knew may run on any unsettled worker.
    pub fn adopt(&mut self, task: TaskId, size: Resources, inherited: bool) {
        let state = if inherited && !self.settled { State::Held } else { State::Waiting };
        self.tasks.entry(task).or_insert(Task { size, state });
    }

    /// Drops a task. Where it still runs, it is stopped.
    pub fn remove(&mut self, task: TaskId) -> Option<Task> {
        let t = self.tasks.remove(&task)?;
        if let State::On(worker) = &t.state {
            self.stop_on(task, &worker.clone());
        }
        Some(t)
    }

    /// Stops a running task. It waits again once the worker has reported it.
    pub fn stop(&mut self, task: TaskId) {
        let Some(t) = self.tasks.get(&task) else { return };
        if let State::On(worker) = &t.state {
            self.stop_on(task, &worker.clone());
        }
    }

    fn stop_on(&mut self, task: TaskId, worker: &WorkerId) {
        let Some(link) = self.links.get_mut(worker) else { return };
        if link.unqueue(task) {
            if let Some(t) = self.tasks.get_mut(&task) {
                t.state = State::Waiting;
            }
            return;
        }
        link.stopping.insert(task);
        link.list = true;
        self.ready.insert(worker.clone());
    }

    /// Notes that the end of a task is durable. The worker may forget it.
    pub fn record(&mut self, task: TaskId) {
        self.tasks.remove(&task);
    }

    /// Starts a waiting task with the next command to the worker.
    ///
    /// # Errors
    /// [`Denied`] if the task may run elsewhere, or the worker is not claimed or has no room.
    pub fn start(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        program: String,
    ) -> Result<(), Denied> {
        let t = self.tasks.get_mut(&task).ok_or(Denied::NotWaiting(task))?;
        if t.state != State::Waiting {
            return Err(Denied::NotWaiting(task));
        }
        let link = self.links.get_mut(worker).filter(|l| l.claimed() && !l.leaving);
        let link = link.ok_or_else(|| Denied::NotClaimed(worker.clone()))?;
        if link.tasks.contains_key(&task) || !t.size.fits(&link.room()) {
            return Err(Denied::NoRoom(worker.clone()));
        }
        link.insert(task, t.size);
        link.starts.push(Start { task, size: t.size.into(), program });
        t.state = State::On(worker.clone());
        self.ready.insert(worker.clone());
        Ok(())
    }

    /// What is left of a claimed worker that takes new work.
    #[must_use]
    pub fn room(&self, worker: &WorkerId) -> Option<Resources> {
        self.links.get(worker).filter(|l| l.claimed() && !l.leaving).map(Link::room)
    }

    /// What a claimed worker can hold.
    #[must_use]
    pub fn capacity(&self, worker: &WorkerId) -> Option<Resources> {
        self.links.get(worker).filter(|l| l.claimed()).map(|l| l.capacity)
    }

    /// What the tasks of a worker were seen to use.
    #[must_use]
    pub fn observed(&self, worker: &WorkerId) -> Option<Resources> {
        self.links.get(worker).map(|l| l.observed)
    }

    /// The tasks that may run on a worker.
    #[must_use]
    pub fn tasks_on(&self, worker: &WorkerId) -> Vec<TaskId> {
        self.links.get(worker).map(|l| l.tasks.keys().copied().collect()).unwrap_or_default()
    }

    /// The workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.links.keys()
    }

    /// The tasks that have not ended as far as the table tells.
    #[must_use]
    pub fn tasks(&self) -> &BTreeMap<TaskId, Task> {
        &self.tasks
    }

    /// The messages that have work in them. Cheaper than [`Owner::poll`]; renewals and time-outs wait for that.
    pub fn flush(&mut self, now: Duration) -> Vec<(WorkerId, Request)> {
        if !self.may_act(now) {
            return Vec::new();
        }
        let ready = std::mem::take(&mut self.ready);
        let mut out = Vec::new();
        for worker in ready {
            self.send(now, &worker, &mut out);
        }
        out
    }

    /// Ends leases and waits that are over, and returns what is due to be sent.
    pub fn poll(&mut self, now: Duration) -> (Vec<(WorkerId, Request)>, Vec<Event>) {
        let mut out = Vec::new();
        let mut events = Vec::new();
        let workers: Vec<_> = self.links.keys().cloned().collect();
        for worker in workers {
            self.expire(now, &worker, &mut events);
            if self.may_act(now) {
                self.send(now, &worker, &mut out);
            }
        }
        self.settle(now, &mut events);
        (out, events)
    }

    fn send(&mut self, now: Duration, worker: &WorkerId, out: &mut Vec<(WorkerId, Request)>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        if link.lapsed(now, &self.opt) {
            return;
        }
        if let Some(req) = link.next(now, self.epoch, self.confirmed, &self.opt) {
            out.push((worker.clone(), req));
        }
    }

    fn expire(&mut self, now: Duration, worker: &WorkerId, events: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        link.time_out(now, &self.opt);
        if link.lapsed(now, &self.opt) {
            self.lose(worker, events);
        }
    }

    /// Ends the claim of a worker none of whose tasks can still run.
    fn lose(&mut self, worker: &WorkerId, events: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let tasks = link.reset();
        events.push(Event::Gone(worker.clone()));
        for task in tasks {
            self.wait_again(task, worker, events);
        }
    }

    fn wait_again(&mut self, task: TaskId, worker: &WorkerId, events: &mut Vec<Event>) {
        let Some(t) = self.tasks.get_mut(&task) else { return };
        if matches!(&t.state, State::On(w) if w == worker) {
            t.state = State::Waiting;
            events.push(Event::Lost { task, worker: worker.clone() });
        }
    }

    fn settle(&mut self, now: Duration, events: &mut Vec<Event>) {
        if self.settled || self.lost {
            return;
        }
        let over = |l: &Link| l.settle_at.is_none_or(|at| now >= at);
        if !self.links.values().all(over) {
            return;
        }
        self.settled = true;
        for t in self.tasks.values_mut().filter(|t| t.state == State::Held) {
            t.state = State::Waiting;
        }
        events.push(Event::Settled);
    }
}
