//! What an owner knows of one worker.

use crate::Options;
use crate::message::{Command, Request, Seq, Start};
use catkin_types::{Epoch, Incarnation, Resources, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How much later a worker is asked again after an answer that brought nothing new.
const PACE_FACTOR: u32 = 4;

/// How far the owner has got with a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Nothing is known of it.
    Unheard,
    /// It told its incarnation. It is claimed once the row is confirmed after that.
    Heard { incarnation: Incarnation, at: Duration },
    /// It obeys this term.
    Claimed { incarnation: Incarnation },
}

/// A worker's stamp and the owner's time of receiving it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Stamp {
    pub worker: Duration,
    pub received: Duration,
}

/// A message without an answer so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Inflight {
    pub seq: Seq,
    pub sent: Duration,
    pub command: bool,
}

/// One worker, as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Link {
    pub phase: Phase,
    pub seq: Seq,
    pub inflight: Option<Inflight>,
    pub stamp: Option<Stamp>,
    pub next_at: Duration,
    /// The time to the next command if this one brings nothing new.
    pub pace: Duration,
    pub capacity: Resources,
    pub observed: Resources,
    pub leaving: bool,
    /// When its tasks of earlier terms are certain to have ended, unless it is claimed before.
    pub settle_at: Option<Duration>,
    /// Sizes of all tasks that may run there.
    pub tasks: BTreeMap<TaskId, Resources>,
    pub used: Resources,
    pub starts: Vec<Start>,
    pub stopping: BTreeSet<TaskId>,
    pub acks: BTreeSet<TaskId>,
    /// The next command asks for the list of running tasks.
    pub list: bool,
}

impl Link {
    pub fn new(settle_at: Option<Duration>) -> Self {
        Self {
            phase: Phase::Unheard,
            seq: 0,
            inflight: None,
            stamp: None,
            next_at: Duration::ZERO,
            pace: Duration::ZERO,
            capacity: Resources::default(),
            observed: Resources::default(),
            leaving: false,
            settle_at,
            tasks: BTreeMap::new(),
            used: Resources::default(),
            starts: Vec::new(),
            stopping: BTreeSet::new(),
            acks: BTreeSet::new(),
            list: false,
        }
    }

    pub fn claimed(&self) -> bool {
        matches!(self.phase, Phase::Claimed { .. })
    }

    pub fn awaits_confirmation(&self, confirmed: Duration) -> bool {
        matches!(self.phase, Phase::Heard { at, .. } if confirmed <= at)
    }

    /// Takes back a start that was not sent yet.
    pub fn unqueue(&mut self, task: TaskId) -> bool {
        let queued = self.starts.len();
        self.starts.retain(|s| s.task != task);
        let found = self.starts.len() < queued;
        if found {
            self.remove(task);
        }
        found
    }

    pub fn room(&self) -> Resources {
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
        self.stopping.remove(&task);
    }

    /// Whether the lease is over for certain, on the owner's clock.
    pub fn lapsed(&self, now: Duration, opt: &Options) -> bool {
        match self.stamp {
            Some(s) => now >= s.received.saturating_add(opt.widen(opt.length)),
            None => false,
        }
    }

    /// Forgets everything but the counter. The tasks that may have run there are returned.
    pub fn reset(&mut self) -> Vec<TaskId> {
        let tasks = std::mem::take(&mut self.tasks).into_keys().collect();
        *self = Self { seq: self.seq, settle_at: self.settle_at, ..Self::new(None) };
        tasks
    }

    /// Asks sooner after news, and later after none.
    pub fn keep_pace(&mut self, news: bool, now: Duration, opt: &Options) {
        self.pace = if news { opt.busy_every } else { self.pace * PACE_FACTOR };
        self.pace = self.pace.clamp(opt.busy_every, opt.renew_every);
        self.next_at = now.saturating_add(self.pace);
    }

    /// Drops the message that was not answered in time.
    pub fn time_out(&mut self, now: Duration, opt: &Options) {
        let Some(inflight) = self.inflight else { return };
        if now < inflight.sent.saturating_add(opt.timeout) {
            return;
        }
        self.inflight = None;
        self.list |= inflight.command;
        if !self.claimed() {
            self.phase = Phase::Unheard;
            self.next_at = now.saturating_add(opt.renew_every);
        }
    }

    /// The next message, if one is due.
    pub fn next(
        &mut self,
        now: Duration,
        epoch: Epoch,
        confirmed: Duration,
        opt: &Options,
    ) -> Option<Request> {
        if self.inflight.is_some() {
            return None;
        }
        match self.phase {
            Phase::Unheard if now >= self.next_at => {
                let seq = self.track(now, false);
                Some(Request::Hello { seq })
            }
            // A worker that restarted has forgotten its epoch. The row read after the worker was heard proves that
            // this incarnation was not claimed by a successor before.
            Phase::Heard { incarnation, at } if confirmed > at => {
                let seq = self.track(now, false);
                Some(Request::Claim { epoch, incarnation, seq })
            }
            Phase::Claimed { incarnation } if self.due(now) => {
                Some(Request::Command(self.command(now, epoch, incarnation, opt)))
            }
            _ => None,
        }
    }

    fn due(&self, now: Duration) -> bool {
        !self.starts.is_empty() || self.list || now >= self.next_at
    }

    fn command(
        &mut self,
        now: Duration,
        epoch: Epoch,
        incarnation: Incarnation,
        opt: &Options,
    ) -> Command {
        if !self.starts.is_empty() {
            self.pace = opt.busy_every;
        }
        self.next_at = now.saturating_add(self.pace);
        let stamp = self.stamp.map_or(Duration::ZERO, |s| s.worker);
        Command {
            epoch,
            incarnation,
            seq: self.track(now, true),
            stamp,
            starts: std::mem::take(&mut self.starts),
            stops: self.stopping.iter().copied().collect(),
            acks: self.acks.iter().copied().collect(),
            list: self.list,
        }
    }

    fn track(&mut self, now: Duration, command: bool) -> Seq {
        self.seq += 1;
        self.inflight = Some(Inflight { seq: self.seq, sent: now, command });
        self.seq
    }
}
