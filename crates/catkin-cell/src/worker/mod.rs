//! A worker as its owner sees it.

use crate::task::Task;
use catkin_place::Host;
use catkin_types::{Incarnation, JobId, Resources, WorkerId, Zone};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// What a worker says of itself in the list of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listed {
    /// Its name.
    pub id: WorkerId,
    /// Its address.
    pub addr: String,
    /// Its life: when it started. 0 if it does not say.
    pub born: Incarnation,
    /// The service that it runs work of.
    pub service: String,
    /// Its availability zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: String,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it can hold.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub draining: bool,
}

/// What a worker answers when it is looked at.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Its life. 0 if it does not say.
    pub born: Incarnation,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<Ended>,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The number of its start.
    pub run: u32,
    /// Its newest checkpoint, empty if there is none.
    pub checkpoint: String,
    /// How much of it is done, in hundredths.
    pub percent: f64,
}

/// A task that has ended on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The number of the end, rising from 1 in each life of the worker.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The number of its start.
    pub run: u32,
    /// How it ended.
    pub how: How,
    /// Its newest checkpoint, empty if there is none.
    pub checkpoint: String,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang never came together.
    Alone,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Carried out.
    Done,
    /// The worker has had an order of a later owner.
    Fenced,
    /// A run of the task as high as this was there before.
    Old,
    /// The order came after its time.
    Late,
    /// There is no room.
    Full,
    /// The ticket is not valid.
    Ticket,
    /// The worker is another life than the one that was meant.
    OtherLife,
    /// The worker did nothing, or the order was never sent.
    NotRun,
    /// The order may be carried out, now or later.
    Unknown,
}

/// How far a task on a worker is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The room is set aside.
    Reserved,
    /// The order to start is on its way.
    Starting,
    /// It runs.
    Running,
    /// The order to start got no answer.
    Unknown,
    /// It is to stop.
    Stopping,
}

/// A task that takes room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub run: u32,
    pub demand: Resources,
    pub phase: Phase,
    /// When the phase began, or the last order of it was sent.
    pub since: Duration,
    /// Until when the worker may carry out an order to start that got no answer, on its clock.
    pub start_by_ms: u64,
    /// Whether the worker has listed it.
    pub reported: bool,
    /// When the order to stop was answered.
    pub stop_acked_at: Option<Duration>,
    /// When the task is expected to end.
    pub expected_end: Duration,
}

/// An end that has not been acknowledged: its number, and the version of the job that has to be durable before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnacknowledgedEnd {
    pub number: u64,
    pub required_version: Option<(JobId, u64)>,
}

/// The number that the owner gives a worker for as long as it owns the cell.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display,
)]
pub struct No(pub(crate) u32);

impl No {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A set of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkerSet {
    words: Vec<u64>,
}

impl WorkerSet {
    pub(crate) fn insert(&mut self, no: No) {
        let word = no.index() / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (no.index() % 64);
    }

    pub(crate) fn remove(&mut self, no: No) {
        if let Some(word) = self.words.get_mut(no.index() / 64) {
            *word &= !(1 << (no.index() % 64));
        }
    }

    pub(crate) fn contains(&self, no: No) -> bool {
        self.words.get(no.index() / 64).is_some_and(|w| w & (1 << (no.index() % 64)) != 0)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = No> + '_ {
        (0u32..).zip(&self.words).flat_map(|(i, w)| {
            (0..64).filter(move |b| w & (1 << b) != 0).map(move |b| No(i * 64 + b))
        })
    }
}

/// A worker and what its owner knows of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub info: Listed,
    /// Capacity and what is set aside.
    pub host: Host,
    /// Since when it has been missing from the list.
    pub missing_since: Option<Duration>,
    /// Whether it has answered a look of this owner in its present life.
    pub confirmed: bool,
    /// Its clock and when it was read.
    pub clock_reading: Option<(u64, Duration)>,
    /// The latest lease that was asked for, on its clock.
    pub lease_to_ms: u64,
    /// When it was born again, if that was while this owner knew it: calls meant for the life before, with times of
    /// another clock, may have reached this one.
    pub restarted_at: Option<Duration>,
    pub assignments: HashMap<Task, Assignment>,
    pub acknowledged: u64,
    pub newest_end: u64,
    pub unacknowledged: VecDeque<UnacknowledgedEnd>,
    /// How many calls in a row got no answer.
    pub missed_polls: u32,
    /// Until when it gets no new work, after it declined some.
    pub paused_until: Duration,
}

/// The last order of a task was sent so early that it is time for the next.
const RESEND_NOW: Duration = Duration::from_nanos(1);
/// A worker's clock may be this many thousandths slow.
const MAX_CLOCK_LAG_PER_MILLE: u32 = 20;

impl Worker {
    pub(crate) fn free(&self) -> Resources {
        self.host.free()
    }

    /// The worker's clock at `now`, at the earliest that it can show.
    pub(crate) fn min_clock_ms(&self, now: Duration) -> Option<u64> {
        let (clock, at) = self.clock_reading?;
        let passed = now.saturating_sub(at);
        Some(clock + millis(passed.checked_sub(passed * MAX_CLOCK_LAG_PER_MILLE / 1_000).unwrap()))
    }

    /// The worker's clock at `now`, if it runs as ours does.
    pub(crate) fn estimated_clock_ms(&self, now: Duration) -> Option<u64> {
        let (clock, at) = self.clock_reading?;
        Some(clock + millis(now.saturating_sub(at)))
    }

    pub(crate) fn assign(&mut self, task: Task, held: Assignment) {
        self.host.declared = self.host.declared.saturating_add(&held.demand);
        if let Some(old) = self.assignments.insert(task, held) {
            self.host.declared = self.host.declared.saturating_sub(&old.demand);
        }
    }

    pub(crate) fn release(&mut self, task: &Task) -> Option<Assignment> {
        let held = self.assignments.remove(task)?;
        self.host.declared = self.host.declared.saturating_sub(&held.demand);
        Some(held)
    }

    /// Takes over what the list says.
    pub(crate) fn update_info(&mut self, listed: Listed) {
        self.host.id.clone_from(&listed.id);
        self.host.rack.clone_from(&listed.rack);
        self.host.capacity = listed.capacity;
        self.missing_since = None;
        self.info = listed;
    }

    /// Forgets all that belonged to an earlier life. Returns the tasks that are gone with it. The order to start a task
    /// that this life never listed may reach the next one: such a task is stopped there.
    pub(crate) fn begin_incarnation(&mut self, born: Incarnation, now: Duration) -> Vec<Task> {
        self.info.born = born;
        self.confirmed = false;
        self.clock_reading = None;
        self.lease_to_ms = 0;
        self.restarted_at = Some(now);
        self.acknowledged = 0;
        self.newest_end = 0;
        self.unacknowledged.clear();
        let gone = |(_, h): &(&Task, &mut Assignment)| h.reported || h.phase == Phase::Reserved;
        let gone: Vec<Task> = self.assignments.iter_mut().filter(gone).map(|(t, _)| *t).collect();
        for task in &gone {
            self.release(task);
        }
        for held in self.assignments.values_mut() {
            held.phase = Phase::Stopping;
            held.stop_acked_at = None;
            held.since = RESEND_NOW;
        }
        gone
    }
}

/// `d` in whole milliseconds.
#[must_use]
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
