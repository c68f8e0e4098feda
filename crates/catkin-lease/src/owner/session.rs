//! The state that an owner keeps for each worker.

use crate::Options;
use crate::message::{Command, Request, Seq, Start};
use catkin_types::{Epoch, Incarnation, Resources, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The poll interval of a worker grows by this factor with each reply that reports no ended task.
const POLL_BACKOFF_FACTOR: u32 = 4;

/// The progress of claiming a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The worker has not answered yet, or has to be asked for its incarnation again.
    Unknown,
    /// The worker reported its incarnation at the time `at`. It is claimed once the row is confirmed after that.
    Identified { incarnation: Incarnation, at: Duration },
    /// The worker accepted the claim of this term.
    Claimed { incarnation: Incarnation },
}

/// The stamp of a report, and the time on the owner's clock when the report arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Stamp {
    pub worker_time: Duration,
    pub received_at: Duration,
}

/// A request that has no reply yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct InFlight {
    pub seq: Seq,
    pub sent_at: Duration,
    pub is_command: bool,
}

/// A worker, its lease and the tasks that may run on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Session {
    pub phase: Phase,
    pub seq: Seq,
    pub inflight: Option<InFlight>,
    pub stamp: Option<Stamp>,
    pub next_request_at: Duration,
    /// The time from a command to the next one. Backs off while no task starts or ends.
    pub poll_interval: Duration,
    pub capacity: Resources,
    pub observed: Resources,
    pub leaving: bool,
    /// When tasks of earlier terms have certainly ended on the worker. `None` once it is claimed, or if there are none.
    pub settle_at: Option<Duration>,
    /// The sizes of all tasks that run on the worker, may run there, or are queued in `starts`.
    pub tasks: BTreeMap<TaskId, Resources>,
    /// The sum of the sizes in `tasks`.
    pub used: Resources,
    pub starts: Vec<Start>,
    /// The tasks whose start was sent, while the worker has not answered that it received it.
    pub unconfirmed: BTreeSet<TaskId>,
    pub stopping: BTreeSet<TaskId>,
    pub acks: BTreeSet<TaskId>,
    /// Whether the next command asks for the list of running tasks. Such a command is sent at once.
    pub list: bool,
}

impl Session {
    pub fn new(settle_at: Option<Duration>) -> Self {
        Self {
            phase: Phase::Unknown,
            seq: 0,
            inflight: None,
            stamp: None,
            next_request_at: Duration::ZERO,
            poll_interval: Duration::ZERO,
            capacity: Resources::default(),
            observed: Resources::default(),
            leaving: false,
            settle_at,
            tasks: BTreeMap::new(),
            used: Resources::default(),
            starts: Vec::new(),
            unconfirmed: BTreeSet::new(),
            stopping: BTreeSet::new(),
            acks: BTreeSet::new(),
            list: false,
        }
    }

    pub fn claimed(&self) -> bool {
        matches!(self.phase, Phase::Claimed { .. })
    }

    pub fn awaits_confirmation(&self, confirmed_at: Duration) -> bool {
        matches!(self.phase, Phase::Identified { at, .. } if confirmed_at <= at)
    }

    /// Removes a start that was not sent yet. Returns whether there was one.
    pub fn cancel_queued_start(&mut self, task: TaskId) -> bool {
        let queued = self.starts.len();
        self.starts.retain(|s| s.task != task);
        let found = self.starts.len() < queued;
        if found {
            self.remove(task);
        }
        found
    }

    pub fn free_capacity(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    pub fn insert(&mut self, task: TaskId, size: Resources) {
        if let Some(old) = self.tasks.insert(task, size) {
            self.used = self.used.saturating_sub(&old);
        }
        self.used = self.used.saturating_add(&size);
    }

    pub fn remove(&mut self, task: TaskId) {
        if let Some(size) = self.tasks.remove(&task) {
            self.used = self.used.saturating_sub(&size);
        }
        self.unconfirmed.remove(&task);
        self.stopping.remove(&task);
    }

    /// Whether the worker has reported that the task runs there.
    pub fn has_started(&self, task: TaskId) -> bool {
        let queued = self.starts.iter().any(|s| s.task == task);
        self.tasks.contains_key(&task) && !queued && !self.unconfirmed.contains(&task)
    }

    /// Whether the lease has certainly expired, by the owner's clock.
    pub fn lapsed(&self, now: Duration, opt: &Options) -> bool {
        match self.stamp {
            Some(s) => now >= s.received_at.saturating_add(opt.with_drift_margin(opt.length)),
            None => false,
        }
    }

    /// Resets everything but the sequence number and `settle_at`. Returns the tasks that may have run on the worker.
    pub fn reset(&mut self) -> Vec<TaskId> {
        let tasks = std::mem::take(&mut self.tasks).into_keys().collect();
        *self = Self { seq: self.seq, settle_at: self.settle_at, ..Self::new(None) };
        tasks
    }

    /// Resets the poll interval if a task ended, and else backs off.
    pub fn update_poll_interval(&mut self, changed: bool, now: Duration, opt: &Options) {
        self.poll_interval =
            if changed { opt.busy_interval } else { self.poll_interval * POLL_BACKOFF_FACTOR };
        self.poll_interval = self.poll_interval.clamp(opt.busy_interval, opt.renew_interval);
        self.next_request_at = now.saturating_add(self.poll_interval);
    }

    /// Drops the request in flight if its reply is overdue.
    pub fn time_out(&mut self, now: Duration, opt: &Options) {
        let Some(inflight) = self.inflight else { return };
        if now < inflight.sent_at.saturating_add(opt.reply_timeout) {
            return;
        }
        self.inflight = None;
        self.list |= inflight.is_command;
        if !self.claimed() {
            self.phase = Phase::Unknown;
            self.next_request_at = now.saturating_add(opt.renew_interval);
        }
    }

    /// Returns the next request, if one is due.
    pub fn next(
        &mut self,
        now: Duration,
        epoch: Epoch,
        confirmed_at: Duration,
        opt: &Options,
    ) -> Option<Request> {
        if self.inflight.is_some() {
            return None;
        }
        match self.phase {
            Phase::Unknown if now >= self.next_request_at => {
                let seq = self.begin_request(now, false);
                Some(Request::Hello { seq })
            }
            // A restarted worker has lost its epoch and would accept any claim. Reading the row after the worker
            // reported its incarnation proves that no successor had claimed this incarnation before.
            Phase::Identified { incarnation, at } if confirmed_at > at => {
                let seq = self.begin_request(now, false);
                Some(Request::Claim { epoch, incarnation, seq })
            }
            Phase::Claimed { incarnation } if self.due(now) => {
                Some(Request::Command(self.command(now, epoch, incarnation, opt)))
            }
            _ => None,
        }
    }

    fn due(&self, now: Duration) -> bool {
        !self.starts.is_empty() || self.list || now >= self.next_request_at
    }

    fn command(
        &mut self,
        now: Duration,
        epoch: Epoch,
        incarnation: Incarnation,
        opt: &Options,
    ) -> Command {
        if !self.starts.is_empty() {
            self.poll_interval = opt.busy_interval;
        }
        self.unconfirmed.extend(self.starts.iter().map(|s| s.task));
        self.next_request_at = now.saturating_add(self.poll_interval);
        let stamp = self.stamp.map_or(Duration::ZERO, |s| s.worker_time);
        Command {
            epoch,
            incarnation,
            seq: self.begin_request(now, true),
            stamp,
            starts: std::mem::take(&mut self.starts),
            stops: self.stopping.iter().copied().collect(),
            acks: self.acks.iter().copied().collect(),
            list: self.list,
        }
    }

    fn begin_request(&mut self, now: Duration, is_command: bool) -> Seq {
        self.seq += 1;
        self.inflight = Some(InFlight { seq: self.seq, sent_at: now, is_command });
        self.seq
    }
}
