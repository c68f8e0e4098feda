//! The owner of a shard: claims its workers, keeps their leases, and knows where every task may run.

mod reconcile;
mod session;

use crate::Options;
use crate::error::StartError;
use crate::message::{Ending, Request, Start};
use catkin_types::{Epoch, Resources, TaskId, WorkerId};
use session::Session;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Where a task may run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TaskState {
    /// Perhaps on a worker that was not heard since the takeover.
    MaybeRunning,
    /// Nowhere. It can be started.
    Waiting,
    /// On this worker and no other.
    Assigned(WorkerId),
    /// Nowhere. It ended, and the end is not recorded yet.
    Ended(Ending),
}

/// A task that has not ended as far as the table tells.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Task {
    /// What is set aside for it.
    pub size: Resources,
    /// Where it may run.
    pub state: TaskState,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The worker obeys this term and can be given work.
    Claimed(WorkerId),
    /// The worker's lease is over, or it restarted. None of its tasks runs.
    WorkerLost(WorkerId),
    /// The worker reports that it is to get no new work.
    Leaving(WorkerId),
    /// The task waits again. It was on the worker before.
    TaskLost {
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
    Superseded,
}

/// The owner of a shard in one term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    opt: Options,
    epoch: Epoch,
    confirmed_at: Duration,
    stepped_down: bool,
    settled: bool,
    settle_at: Option<Duration>,
    sessions: BTreeMap<WorkerId, Session>,
    tasks: BTreeMap<TaskId, Task>,
    workers_to_send: BTreeSet<WorkerId>,
}

impl Owner {
    /// The owner in term `epoch`, whose compare-and-set was asked for at `asked` and answered at `now`. Tasks of
    /// earlier terms may run on any of `workers` until it is claimed or `settle_after` has passed.
    #[must_use]
    pub fn new(
        opt: Options,
        epoch: Epoch,
        (requested_at, now): (Duration, Duration),
        workers: impl IntoIterator<Item = WorkerId>,
        settle_delay: Option<Duration>,
    ) -> Self {
        let settle_at = settle_delay.map(|d| now.saturating_add(d));
        let sessions = workers.into_iter().map(|w| (w, Session::new(settle_at))).collect();
        Self {
            opt,
            epoch,
            confirmed_at: requested_at,
            stepped_down: false,
            settled: settle_at.is_none(),
            settle_at,
            sessions,
            tasks: BTreeMap::new(),
            workers_to_send: BTreeSet::new(),
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
    pub fn needs_confirmation(&self) -> bool {
        self.sessions.values().any(|l| l.awaits_confirmation(self.confirmed_at))
    }

    /// Whether the owner may still send commands at `now`.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        !self.stepped_down && now < self.confirmed_at.saturating_add(self.opt.autonomy)
    }

    /// Notes that the row, asked for at `asked`, still names this term.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(requested_at);
    }

    /// Notes that the row names another term, or ends the term. Nothing is sent from now on.
    pub fn step_down(&mut self) {
        self.stepped_down = true;
    }

    /// Adds workers on which tasks of earlier terms may run, before anything is sent.
    pub fn inherit_workers(&mut self, workers: impl IntoIterator<Item = WorkerId>) {
        let settle_at = self.settle_at;
        for worker in workers {
            self.sessions.entry(worker).or_insert_with(|| Session::new(settle_at));
            self.settled = settle_at.is_none();
        }
    }

    /// Adds a worker that no earlier term had.
    pub fn add_worker(&mut self, worker: WorkerId) {
        self.sessions.entry(worker).or_insert_with(|| Session::new(None));
    }

    /// Takes a worker out on which nothing of any term can run. Returns whether it did.
    pub fn remove_worker(&mut self, now: Duration, worker: &WorkerId) -> bool {
        let idle = |l: &Session| {
            !l.claimed() && l.tasks.is_empty() && l.settle_at.is_none_or(|at| now >= at)
        };
        let gone = self.sessions.get(worker).is_some_and(idle);
        if gone {
            self.sessions.remove(worker);
            self.workers_to_send.remove(worker);
        }
        gone
    }

    /// Takes up a task. One that an earlier term knew may run on any unsettled worker.
    pub fn add_task(&mut self, task: TaskId, size: Resources, inherited: bool) {
        let state =
            if inherited && !self.settled { TaskState::MaybeRunning } else { TaskState::Waiting };
        self.tasks.entry(task).or_insert(Task { size, state });
    }

    /// Drops a task. Where it still runs, it is stopped.
    pub fn remove_task(&mut self, task: TaskId) -> Option<Task> {
        let t = self.tasks.remove(&task)?;
        if let TaskState::Assigned(worker) = &t.state {
            self.stop_on(task, &worker.clone());
        }
        Some(t)
    }

    /// Stops a running task. It waits again once the worker has reported it.
    pub fn stop(&mut self, task: TaskId) {
        let Some(t) = self.tasks.get(&task) else { return };
        if let TaskState::Assigned(worker) = &t.state {
            self.stop_on(task, &worker.clone());
        }
    }

    fn stop_on(&mut self, task: TaskId, worker: &WorkerId) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        if session.cancel_queued_start(task) {
            if let Some(t) = self.tasks.get_mut(&task) {
                t.state = TaskState::Waiting;
            }
            return;
        }
        session.stopping.insert(task);
        session.list = true;
        self.workers_to_send.insert(worker.clone());
    }

    /// Notes that the end of a task is durable. The worker may forget it.
    pub fn record_end(&mut self, task: TaskId) {
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
    ) -> Result<(), StartError> {
        let t = self.tasks.get_mut(&task).ok_or(StartError::NotWaiting(task))?;
        if t.state != TaskState::Waiting {
            return Err(StartError::NotWaiting(task));
        }
        let session = self.sessions.get_mut(worker).filter(|l| l.claimed() && !l.leaving);
        let session = session.ok_or_else(|| StartError::NotClaimed(worker.clone()))?;
        if session.tasks.contains_key(&task) || !t.size.fits(&session.free_capacity()) {
            return Err(StartError::InsufficientCapacity(worker.clone()));
        }
        session.insert(task, t.size);
        session.starts.push(Start { task, size: t.size.into(), program });
        t.state = TaskState::Assigned(worker.clone());
        self.workers_to_send.insert(worker.clone());
        Ok(())
    }

    /// What is left of a claimed worker that takes new work.
    #[must_use]
    pub fn free_capacity(&self, worker: &WorkerId) -> Option<Resources> {
        self.sessions.get(worker).filter(|l| l.claimed() && !l.leaving).map(Session::free_capacity)
    }

    /// What a claimed worker can hold.
    #[must_use]
    pub fn capacity(&self, worker: &WorkerId) -> Option<Resources> {
        self.sessions.get(worker).filter(|l| l.claimed()).map(|l| l.capacity)
    }

    /// What the tasks of a worker were seen to use.
    #[must_use]
    pub fn observed(&self, worker: &WorkerId) -> Option<Resources> {
        self.sessions.get(worker).map(|l| l.observed)
    }

    /// The tasks that may run on a worker.
    #[must_use]
    pub fn tasks_on(&self, worker: &WorkerId) -> Vec<TaskId> {
        self.sessions.get(worker).map(|l| l.tasks.keys().copied().collect()).unwrap_or_default()
    }

    /// The workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.sessions.keys()
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
        let ready = std::mem::take(&mut self.workers_to_send);
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
        let workers: Vec<_> = self.sessions.keys().cloned().collect();
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
        let Some(session) = self.sessions.get_mut(worker) else { return };
        if session.lapsed(now, &self.opt) {
            return;
        }
        if let Some(req) = session.next(now, self.epoch, self.confirmed_at, &self.opt) {
            out.push((worker.clone(), req));
        }
    }

    fn expire(&mut self, now: Duration, worker: &WorkerId, events: &mut Vec<Event>) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.time_out(now, &self.opt);
        if session.lapsed(now, &self.opt) {
            self.end_claim(worker, events);
        }
    }

    /// Ends the claim of a worker none of whose tasks can still run.
    fn end_claim(&mut self, worker: &WorkerId, events: &mut Vec<Event>) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let tasks = session.reset();
        events.push(Event::WorkerLost(worker.clone()));
        for task in tasks {
            self.requeue(task, worker, events);
        }
    }

    fn requeue(&mut self, task: TaskId, worker: &WorkerId, events: &mut Vec<Event>) {
        let Some(t) = self.tasks.get_mut(&task) else { return };
        if matches!(&t.state, TaskState::Assigned(w) if w == worker) {
            t.state = TaskState::Waiting;
            events.push(Event::TaskLost { task, worker: worker.clone() });
        }
    }

    fn settle(&mut self, now: Duration, events: &mut Vec<Event>) {
        if self.settled || self.stepped_down {
            return;
        }
        let wait_over = |l: &Session| l.settle_at.is_none_or(|at| now >= at);
        if !self.sessions.values().all(wait_over) {
            return;
        }
        self.settled = true;
        for t in self.tasks.values_mut().filter(|t| t.state == TaskState::MaybeRunning) {
            t.state = TaskState::Waiting;
        }
        events.push(Event::Settled);
    }
}
