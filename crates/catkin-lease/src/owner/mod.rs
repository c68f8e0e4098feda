//! The owner of a shard: claims its workers, renews their leases, and tracks where every task may run.

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
    /// Perhaps on a worker that has not answered since the takeover. The task cannot be started.
    MaybeRunning,
    /// Nowhere. The task can be started.
    Waiting,
    /// On this worker and no other, or the start is queued for it.
    Assigned(WorkerId),
    /// Nowhere. The task has ended, and its end is not durable yet.
    Ended(Ending),
}

/// A task whose end is not recorded in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Task {
    /// The resources to reserve on a worker.
    pub size: Resources,
    /// Where the task may run.
    pub state: TaskState,
}

/// A change that the owner reports to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The worker accepted the claim of this term and can be given tasks.
    Claimed(WorkerId),
    /// The worker's lease has expired, or the worker restarted. None of its tasks runs.
    WorkerLost(WorkerId),
    /// The worker is shutting down and must not get new tasks.
    Leaving(WorkerId),
    /// The task no longer runs on the worker, without having ended, and waits again.
    TaskLost {
        /// The task that waits again.
        task: TaskId,
        /// The worker that the task was assigned to.
        worker: WorkerId,
    },
    /// The task ended on the worker. The owner keeps the task until [`Owner::record_end`].
    Ended {
        /// The ended task.
        task: TaskId,
        /// The worker that reported the end.
        worker: WorkerId,
        /// `Ok` or `Failed`.
        ending: Ending,
    },
    /// Every worker of earlier terms was claimed, or its older lease has certainly expired. Tasks in the state
    /// [`TaskState::MaybeRunning`] wait now.
    Settled,
    /// A worker reported a higher epoch: the shard has another owner.
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
    /// Returns the owner in term `epoch`, whose compare-and-set was requested at `requested_at` and answered at `now`.
    ///
    /// Tasks of earlier terms may run on each of `workers` until it is claimed or `settle_delay` has passed. `None`: no
    /// earlier term can have running tasks.
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

    /// The number of the owner's term.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether every worker of earlier terms was claimed, or its older lease has certainly expired.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// Whether a worker waits for [`Owner::confirm`] before it can be claimed.
    #[must_use]
    pub fn needs_confirmation(&self) -> bool {
        self.sessions.values().any(|l| l.awaits_confirmation(self.confirmed_at))
    }

    /// Whether the owner may still send requests and use replies at `now`.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        !self.stepped_down && now < self.confirmed_at.saturating_add(self.opt.autonomy)
    }

    /// Records that the row, requested at `requested_at`, still names this term.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(requested_at);
    }

    /// Records that the row names another term, or that this term was released. Nothing is sent from then on.
    pub fn step_down(&mut self) {
        self.stepped_down = true;
    }

    /// Adds workers on which tasks of earlier terms may run. Has to be called before anything is sent.
    pub fn inherit_workers(&mut self, workers: impl IntoIterator<Item = WorkerId>) {
        let settle_at = self.settle_at;
        for worker in workers {
            self.sessions.entry(worker).or_insert_with(|| Session::new(settle_at));
            self.settled = settle_at.is_none();
        }
    }

    /// Adds a worker that belonged to no earlier term.
    pub fn add_worker(&mut self, worker: WorkerId) {
        self.sessions.entry(worker).or_insert_with(|| Session::new(None));
    }

    /// Removes a worker if no task of any term can run on it. Returns whether the worker was removed.
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

    /// Adds a task. One that is `inherited` from an earlier term may still run on any worker that has not answered yet.
    /// A task that is already known stays unchanged.
    pub fn add_task(&mut self, task: TaskId, size: Resources, inherited: bool) {
        let state =
            if inherited && !self.settled { TaskState::MaybeRunning } else { TaskState::Waiting };
        self.tasks.entry(task).or_insert(Task { size, state });
    }

    /// Removes a task, and stops it if it is assigned to a worker.
    pub fn remove_task(&mut self, task: TaskId) -> Option<Task> {
        let t = self.tasks.remove(&task)?;
        if let TaskState::Assigned(worker) = &t.state {
            self.stop_on(task, &worker.clone());
        }
        Some(t)
    }

    /// Stops a running task. The task waits again once the worker has reported the stop.
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

    /// Records that the end of a task is durable: the owner drops the task, and acknowledges the end the next time the
    /// worker reports it.
    pub fn record_end(&mut self, task: TaskId) {
        self.tasks.remove(&task);
    }

    /// Assigns a waiting task to a worker. The start is sent with the next command.
    ///
    /// # Errors
    /// Returns a [`StartError`] if the task is not waiting, if the worker is not claimed or is leaving, or if the
    /// worker has not enough free capacity.
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

    /// Whether the task is assigned to a worker that has reported since it received the start.
    #[must_use]
    pub fn has_started(&self, task: TaskId) -> bool {
        let Some(TaskState::Assigned(worker)) = self.tasks.get(&task).map(|t| &t.state) else {
            return false;
        };
        self.sessions.get(worker).is_some_and(|l| l.has_started(task))
    }

    /// The free capacity of a worker. `None` if the worker is not claimed or is leaving.
    #[must_use]
    pub fn free_capacity(&self, worker: &WorkerId) -> Option<Resources> {
        self.sessions.get(worker).filter(|l| l.claimed() && !l.leaving).map(Session::free_capacity)
    }

    /// The total resources of a worker. `None` if the worker is not claimed.
    #[must_use]
    pub fn capacity(&self, worker: &WorkerId) -> Option<Resources> {
        self.sessions.get(worker).filter(|l| l.claimed()).map(|l| l.capacity)
    }

    /// The resources that the tasks of a worker used in its latest report.
    #[must_use]
    pub fn observed(&self, worker: &WorkerId) -> Option<Resources> {
        self.sessions.get(worker).map(|l| l.observed)
    }

    /// The tasks that run on a worker, may run there, or are queued for it.
    #[must_use]
    pub fn tasks_on(&self, worker: &WorkerId) -> Vec<TaskId> {
        self.sessions.get(worker).map(|l| l.tasks.keys().copied().collect()).unwrap_or_default()
    }

    /// All workers of the shard, claimed or not.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.sessions.keys()
    }

    /// The tasks whose end is not recorded in the table.
    #[must_use]
    pub fn tasks(&self) -> &BTreeMap<TaskId, Task> {
        &self.tasks
    }

    /// Returns the requests to workers with queued starts or stops. Cheaper than [`Owner::poll`], which also handles
    /// renewals and time-outs.
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

    /// Handles expired leases and time-outs. Returns the requests that are due and the resulting events.
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

    /// Ends the claim of a worker on which no task can run any more, and requeues its tasks.
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
