//! State of the owner of a shard of workers.

use super::{Message, TermStart, leaving};
use crate::Cx;
use crate::quota::LimitShares;
use crate::rows::Chunk;
use catkin_lease::owner::{Event, Owner, TaskState};
use catkin_place::health::{HealthTracker, WorkerHealth};
use catkin_place::{Host as PlacementHost, HostPool};
use catkin_share::reservation::Reservation;
use catkin_store::hosts::{Host, Kind};
use catkin_types::{JobId, Resources, RowName, ShardId, TaskId, WorkerId};
use ractor::ActorRef;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// A chunk of this shard that is not complete.
#[derive(Debug)]
pub(super) struct OpenChunk {
    pub chunk: Chunk,
    pub version: u64,
    /// Whether the chunk differs from its row.
    pub dirty: bool,
    /// Whether a write or a read of the row's version is in progress.
    pub writing: bool,
}

/// Whether a load of the shard's chunks, cancellations and members is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadProgress {
    Idle,
    InProgress,
    /// A load is in progress, and another one follows it.
    RepeatAfter,
}

/// A queued task and the time at which it was queued.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingTask {
    pub task: TaskId,
    pub since: Duration,
}

/// State of a [`super::WorkerOwner`].
#[derive(Debug)]
pub struct State {
    pub(super) cx: Arc<Cx>,
    pub(super) me: ActorRef<Message>,
    pub(super) shard: ShardId,
    pub(super) lease: Owner,
    /// Whether the shard's chunks were loaded in this term.
    pub(super) loaded: bool,
    pub(super) load_progress: LoadProgress,
    pub(super) pool: HostPool,
    pub(super) hosts: BTreeMap<WorkerId, Host>,
    pub(super) leaving: BTreeSet<WorkerId>,
    pub(super) members: super::members::Members,
    pub(super) open: BTreeMap<(JobId, u32), OpenChunk>,
    pub(super) queues: BTreeMap<RowName, VecDeque<WaitingTask>>,
    pub(super) limit_shares: LimitShares,
    pub(super) held: BTreeMap<RowName, Resources>,
    pub(super) running: BTreeMap<RowName, u64>,
    pub(super) attempts: HashMap<TaskId, u64>,
    pub(super) share: Arc<BTreeMap<RowName, Resources>>,
    pub(super) share_until: Duration,
    pub(super) hold: Reservation,
    pub(super) health: HealthTracker,
    pub(super) io: JoinSet<()>,
    pub(super) schedule_pending: bool,
    pub(super) preempt_at: Duration,
    pub(super) load_at: Duration,
    pub(super) write_at: Duration,
}

/// Divisor of the margin on observed usage: a tenth is added, because reports lag behind.
const OBSERVED_MARGIN_DIVISOR: u64 = 10;

impl State {
    pub(super) fn new(cx: Arc<Cx>, me: ActorRef<Message>, start: TermStart) -> Self {
        let epoch = start.entry.shard.term.epoch;
        let lease = Owner::new(cx.lease_options(), epoch, start.times, [], start.settle_after);
        Self {
            cx,
            me,
            shard: start.shard,
            lease,
            loaded: false,
            load_progress: LoadProgress::Idle,
            pool: HostPool::default(),
            hosts: BTreeMap::new(),
            leaving: BTreeSet::new(),
            members: super::members::Members::default(),
            open: BTreeMap::new(),
            queues: BTreeMap::new(),
            limit_shares: LimitShares::default(),
            held: BTreeMap::new(),
            running: BTreeMap::new(),
            attempts: HashMap::new(),
            share: Arc::default(),
            share_until: Duration::ZERO,
            hold: Reservation::new(catkin_share::reservation::Options::default()),
            health: HealthTracker::new(catkin_place::health::Options::default()),
            io: JoinSet::new(),
            schedule_pending: false,
            preempt_at: Duration::ZERO,
            load_at: Duration::ZERO,
            write_at: Duration::ZERO,
        }
    }

    pub(super) fn tick(&mut self) {
        while self.io.try_join_next().is_some() {}
        let settings = &self.cx.settings.shards;
        let period = Duration::from_millis(settings.tick_ms.get());
        self.me.send_after(period, || Message::Tick);
        if self.cx.now() >= self.load_at {
            self.load();
        }
        self.poll();
        self.check_members();
        self.write_dirty();
        self.schedule();
    }

    /// Ends expired leases and sends requests that are due. No worker is claimed before the shard's chunks are loaded:
    /// a running task would look unknown otherwise.
    pub(super) fn poll(&mut self) {
        if !self.loaded {
            return;
        }
        let (sends, events) = self.lease.poll(self.cx.now());
        self.handle_events(events);
        self.send(sends);
    }

    pub(super) fn schedule_soon(&mut self) {
        if !self.schedule_pending {
            self.schedule_pending = true;
            let _ = self.me.send_message(Message::Schedule);
        }
    }

    pub(super) fn handle_events(&mut self, events: Vec<Event>) {
        let claimed = events.iter().any(|e| matches!(e, Event::Claimed(_)));
        for event in events {
            match event {
                Event::Claimed(worker) => {
                    self.members.mark_heard(&worker);
                    self.sync_worker(&worker);
                }
                Event::Leaving(worker) => self.sync_worker(&worker),
                Event::WorkerLost(worker) => {
                    tracing::warn!(
                        "owner: worker {worker} of shard {} restarted or its lease ended; its tasks are queued again",
                        self.shard
                    );
                    self.members.lost(&worker, self.cx.now());
                    self.sync_worker(&worker);
                }
                Event::TaskLost { task, worker } => {
                    self.sync_worker(&worker);
                    self.release_task(task);
                    if let Some(row) = self.row_of(task) {
                        self.cx.metrics.count_lost_task(&row);
                    }
                    self.wait(task);
                }
                Event::Ended { task, worker, ending } => {
                    self.sync_worker(&worker);
                    self.release_task(task);
                    self.ended(task, &worker, ending);
                }
                Event::Settled => {
                    tracing::info!(
                        "owner: every worker of earlier terms of shard {} is settled",
                        self.shard
                    );
                    self.settled();
                }
                Event::Superseded => tracing::warn!(
                    "owner: shard {} has another owner with a higher epoch",
                    self.shard
                ),
            }
            self.schedule_soon();
        }
        if claimed {
            self.recount_held();
        }
    }

    /// Recomputes the resources and tasks that each row holds, after a claim has shown what runs on a worker.
    fn recount_held(&mut self) {
        self.held.clear();
        self.running.clear();
        let runs = |(t, task): (&TaskId, &catkin_lease::owner::Task)| {
            matches!(task.state, TaskState::Assigned(_)).then_some((*t, task.size))
        };
        let running: Vec<_> = self.lease.tasks().iter().filter_map(runs).collect();
        for (task, size) in running {
            if let Some(row) = self.row_of(task) {
                self.hold(&row, size);
            }
        }
    }

    /// Queues the tasks that were held until the workers of earlier terms were settled.
    fn settled(&mut self) {
        let queued: BTreeSet<TaskId> = self.queues.values().flatten().map(|w| w.task).collect();
        let waits = |(t, task): (&TaskId, &catkin_lease::owner::Task)| {
            (task.state == TaskState::Waiting && !queued.contains(t)).then_some(*t)
        };
        let tasks: Vec<TaskId> = self.lease.tasks().iter().filter_map(waits).collect();
        for task in tasks {
            self.wait(task);
        }
    }

    /// Queues a task for placement if the lease state machine has it as waiting.
    pub(super) fn wait(&mut self, task: TaskId) {
        if self.lease.tasks().get(&task).is_none_or(|t| t.state != TaskState::Waiting) {
            return;
        }
        let Some(row) = self.row_of(task) else { return };
        let since = self.cx.now();
        self.queues.entry(row).or_default().push_back(WaitingTask { task, since });
    }

    pub(super) fn chunk_of(&self, task: TaskId) -> Option<(&(JobId, u32), &OpenChunk)> {
        let last = self.open.range(..=(task.job, task.index)).next_back()?;
        (last.0.0 == task.job && task.index < last.1.chunk.to).then_some(last)
    }

    pub(super) fn row_of(&self, task: TaskId) -> Option<RowName> {
        Some(self.chunk_of(task)?.1.chunk.row.clone())
    }

    /// Adds a task of that size to what the row holds.
    pub(super) fn hold(&mut self, row: &RowName, size: Resources) {
        let held = self.held.entry(row.clone()).or_default();
        *held = held.saturating_add(&size);
        *self.running.entry(row.clone()).or_default() += 1;
    }

    fn release_task(&mut self, task: TaskId) {
        let Some((row, size)) =
            self.chunk_of(task).map(|(_, o)| (o.chunk.row.clone(), o.chunk.size))
        else {
            return;
        };
        self.release_size(&row, size);
    }

    pub(super) fn release_size(&mut self, row: &RowName, size: Resources) {
        if let Some(held) = self.held.get_mut(row) {
            *held = held.saturating_sub(&size);
        }
        if let Some(n) = self.running.get_mut(row) {
            *n = n.saturating_sub(1);
        }
    }

    /// Updates the pool's view of a worker from the lease state machine, the health record and the host list.
    pub(super) fn sync_worker(&mut self, worker: &WorkerId) {
        let capacity = self.lease.capacity(worker).unwrap_or_default();
        let room = self.lease.free_capacity(worker);
        let observed = self.lease.observed(worker).unwrap_or_default();
        let margin =
            Resources::from_array(observed.as_array().map(|x| x.div_ceil(OBSERVED_MARGIN_DIVISOR)));
        let worker_health = self.health.worker_health(worker, self.cx.now());
        let empty = self.lease.tasks_on(worker).is_empty();
        let trusted = match worker_health {
            WorkerHealth::Healthy => true,
            WorkerHealth::Probation => empty,
            WorkerHealth::Quarantined => false,
        };
        self.pool.put(PlacementHost {
            id: worker.clone(),
            rack: self.hosts.get(worker).map(|h| h.rack.clone()).unwrap_or_default(),
            capacity,
            declared: capacity.saturating_sub(&room.unwrap_or_default()),
            observed: observed.saturating_add(&margin),
            open: room.is_some() && trusted && !self.leaving.contains(worker),
        });
    }

    /// Applies what the platform's host list says of the shard's hosts.
    pub(super) fn hosts(&mut self, hosts: &[Host]) {
        let zone = crate::rows::zone_of(&self.shard);
        let new = |h: &&Host| {
            h.kind == Kind::Worker && h.zone == zone && !self.members.contains_host(&h.id)
        };
        if hosts.iter().any(|h| new(&h)) {
            self.members.read_soon();
        }
        let leaving_now: BTreeSet<&str> = leaving(hosts);
        let changed: Vec<WorkerId> = self
            .hosts
            .keys()
            .filter(|w| self.leaving.contains(*w) != leaving_now.contains(w.as_str()))
            .cloned()
            .collect();
        for worker in changed {
            if !self.leaving.remove(&worker) {
                self.leaving.insert(worker.clone());
            }
            self.sync_worker(&worker);
        }
    }
}
