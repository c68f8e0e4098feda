//! Workers, their reports and answers, and their state at the owner.

use crate::task::{StepRef, Task};
use catkin_place::Host;
use catkin_types::{Incarnation, JobId, Resources, WorkerId, Zone};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The entry of a worker in the list of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerInfo {
    /// Unique among the workers of the cell.
    pub id: WorkerId,
    /// Where the worker takes calls.
    pub addr: String,
    /// The incarnation of the worker, identified by its start time; 0 if unknown.
    pub incarnation: Incarnation,
    /// The service whose tasks the worker runs.
    pub service: String,
    /// The availability zone of the worker.
    pub zone: Zone,
    /// The rack of the worker.
    pub rack: String,
    /// Labels that steps may require.
    pub labels: Vec<String>,
    /// The total resources for tasks.
    pub capacity: Resources,
    /// Whether the worker is about to leave and gets no new tasks.
    pub draining: bool,
}

/// The answer of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// The incarnation of the worker; 0 if unknown.
    pub incarnation: Incarnation,
    /// The tasks that run on the worker.
    pub running: Vec<RunningTask>,
    /// The ends that have not been acknowledged.
    pub ended: Vec<TaskEnd>,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunningTask {
    /// The task that runs.
    pub task: Task,
    /// The run number of its start.
    pub run: u32,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The estimated progress, in percent.
    pub percent: f64,
}

/// The end of a task on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEnd {
    /// The number of the end, which rises from 1 in each incarnation of the worker.
    pub number: u64,
    /// The task that ended.
    pub task: Task,
    /// The run number of its start.
    pub run: u32,
    /// Why the task ended.
    pub reason: EndReason,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The task succeeded.
    Done,
    /// The task failed, because of itself or of the worker.
    Failed,
    /// An order to stop ended the task.
    Stopped,
    /// The lease of the worker ran out.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// Not all members of the gang started in time.
    GangTimedOut,
}

/// The answer of a worker to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The order was carried out.
    Done,
    /// The worker has had an order of a later owner, with a higher epoch.
    Fenced,
    /// The worker has already had a run of the task with the same or a higher number.
    Old,
    /// The order arrived after its deadline.
    Late,
    /// The worker does not have enough room.
    Full,
    /// The ticket is not valid.
    Ticket,
    /// Another worker has the address of the one that the order is meant for.
    OtherLife,
    /// The worker did nothing, or the order was never sent.
    NotRun,
    /// The order may have been carried out, or may still be carried out later.
    Unknown,
}

/// The phase of an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Room is reserved and no order was sent.
    Reserved,
    /// The order to start was sent.
    Starting,
    /// The task runs.
    Running,
    /// The order to start got no answer.
    Unknown,
    /// The task has to stop.
    Stopping,
}

/// A task that takes room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub run: u32,
    pub demand: Resources,
    pub phase: Phase,
    /// When the phase began, or when its last order was sent.
    pub since: Duration,
    /// The worker may still carry out an unanswered order to start until this time, on its clock; the largest value if
    /// the order may have reached a later incarnation, whose clock is another.
    pub start_by_ms: u64,
    /// Whether the worker has listed the task.
    pub reported: bool,
    /// Whether the worker has listed the task or answered that it started it.
    pub has_run: bool,
    /// When the order to start was sent; absent if there was none in the worker's current incarnation.
    pub started_at: Option<Duration>,
    /// When the order to stop was answered.
    pub stop_acked_at: Option<Duration>,
    pub expected_end: Duration,
}

/// Whether a worker that was lost had received an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Receipt {
    /// The worker has answered or has listed the task.
    Certain,
    /// The worker was heard shortly before the order was sent.
    Probable,
    /// The worker may have crashed before.
    Doubtful,
}

/// A task that may have run on a worker that was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Victim {
    pub task: Task,
    pub run: u32,
    pub receipt: Receipt,
    /// Whether the task had just started when the worker was last heard.
    pub is_fresh: bool,
    /// Whether the worker was kept for the task.
    pub on_trial: bool,
}

/// An end that has not been acknowledged, and the version of its job that has to be durable before it may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnacknowledgedEnd {
    pub number: u64,
    pub required_version: Option<(JobId, u64)>,
}

/// The index that the owner assigns to a worker for the duration of its term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display,
)]
pub struct WorkerIndex(pub(crate) u32);

impl WorkerIndex {
    /// Returns the index as a number, which counts the workers of the term from 0.
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkerSet {
    words: Vec<u64>,
}

impl WorkerSet {
    pub(crate) fn insert(&mut self, idx: WorkerIndex) {
        let word = idx.index() / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (idx.index() % 64);
    }

    pub(crate) fn remove(&mut self, idx: WorkerIndex) {
        if let Some(word) = self.words.get_mut(idx.index() / 64) {
            *word &= !(1 << (idx.index() % 64));
        }
    }

    pub(crate) fn contains(&self, idx: WorkerIndex) -> bool {
        self.words.get(idx.index() / 64).is_some_and(|w| w & (1 << (idx.index() % 64)) != 0)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = WorkerIndex> + '_ {
        (0u32..).zip(&self.words).flat_map(|(i, w)| {
            (0..64).filter(move |b| w & (1 << b) != 0).map(move |b| WorkerIndex(i * 64 + b))
        })
    }
}

/// What one incarnation of a worker has said to this owner, and what was requested from it. It ends with the incarnation:
/// the next one has another clock, other leases, and numbers its ends anew.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncarnationState {
    /// Whether the worker has answered a poll, and its tasks are known.
    pub confirmed: bool,
    /// The worker's clock, and the owner's time at which it was read.
    pub clock_reading: Option<(u64, Duration)>,
    /// The latest end of a lease that was requested, on the worker's clock.
    pub lease_to_ms: u64,
    /// When the newest poll was sent that the worker has answered.
    pub answered_poll_sent_at: Option<Duration>,
    /// The newest end that was read.
    pub newest_end: u64,
    /// The newest end that is durable, with all before it.
    pub acknowledged: u64,
    /// The ends after it that were read.
    pub unacknowledged: VecDeque<UnacknowledgedEnd>,
}

/// The owner's knowledge of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub info: WorkerInfo,
    /// The capacity and the reserved resources.
    pub host: Host,
    /// The incarnation in the worker's entry in the list; 0 if the entry states none.
    pub listed_incarnation: Incarnation,
    /// When the known incarnation became known.
    pub incarnation_known_at: Duration,
    /// When the address became known.
    pub address_known_at: Duration,
    /// Whether another worker has answered at the address since the worker's entry was last listed.
    pub replaced: bool,
    pub missing_since: Option<Duration>,
    /// Whether the worker was removed from the records of steps, as it is gone.
    pub forgotten: bool,
    /// What its current incarnation has said.
    pub current: IncarnationState,
    /// When the worker restarted while this owner knew it; the first time if it has restarted again without an answer.
    /// Calls meant for the earlier incarnation, with times of another clock, may have reached the current one.
    pub restarted_at: Option<Duration>,
    pub assignments: BTreeMap<Task, Assignment>,
    /// The tasks that may have run here when the worker was lost, until it is known whether it crashed.
    pub victims: Vec<Victim>,
    /// When the worker was last polled before a trial.
    pub probed_at: Duration,
    /// The step whose tasks are tried here: no others are started meanwhile.
    pub trial: Option<StepRef>,
    /// When an order to start was last sent.
    pub start_sent_at: Option<Duration>,
    /// The number of polls in a row without an answer.
    pub missed_polls: u32,
    /// When the first of them was given up.
    pub silent_since: Option<Duration>,
    /// The worker declined a start and gets no new tasks until this time.
    pub paused_until: Duration,
    /// How often the worker was paused since it last carried out a start.
    pub pauses: u32,
}

/// A value of `since` so early that the next order to stop is due at once. Zero stands for an order that was just
/// issued.
const RESEND_NOW: Duration = Duration::from_nanos(1);
/// A worker's clock may be slow by at most this many thousandths.
const MAX_CLOCK_LAG_PER_MILLE: u32 = 20;
/// A pause is at most two to the power of this many times the shortest one.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

impl Worker {
    pub(crate) fn free(&self) -> Resources {
        self.host.free()
    }

    /// Returns whether the tasks on the worker need more than its capacity, which may have shrunk.
    pub(crate) fn is_overbooked(&self) -> bool {
        !self.host.declared.fits(&self.host.capacity)
    }

    /// Returns when the worker last answered in its current incarnation.
    pub(crate) fn heard_at(&self) -> Option<Duration> {
        self.current.clock_reading.map(|(_, at)| at)
    }

    /// Returns the lowest value that the worker's clock can show at `now`.
    pub(crate) fn min_clock_ms(&self, now: Duration) -> Option<u64> {
        let (clock, read_at) = self.current.clock_reading?;
        let elapsed = now.saturating_sub(read_at);
        let lag = elapsed * MAX_CLOCK_LAG_PER_MILLE / 1_000;
        Some(clock.saturating_add(millis(elapsed.saturating_sub(lag))))
    }

    /// Returns the worker's clock at `now`, assuming that it runs at the same rate as the owner's.
    pub(crate) fn estimated_clock_ms(&self, now: Duration) -> Option<u64> {
        let (clock, read_at) = self.current.clock_reading?;
        Some(clock.saturating_add(millis(now.saturating_sub(read_at))))
    }

    /// Returns the highest end number that a poll may acknowledge. A worker that has restarted unnoticed may have carried
    /// out a start since and numbers its ends anew: nothing is acknowledged before a poll was answered that was sent after
    /// the last start.
    pub(crate) fn acknowledgement(&self) -> u64 {
        let is_current = self.current.answered_poll_sent_at > self.start_sent_at;
        if is_current && self.missed_polls == 0 { self.current.acknowledged } else { 0 }
    }

    /// Returns whether the worker's entry in the list is one of its current incarnation, as far as both are known.
    pub(crate) fn is_entry_current(&self) -> bool {
        let (listed, known) = (self.listed_incarnation, self.info.incarnation);
        listed == 0 || known == 0 || listed == known
    }

    pub(crate) fn assign(&mut self, task: Task, assignment: Assignment) {
        self.host.declared = self.host.declared.saturating_add(&assignment.demand);
        if let Some(old) = self.assignments.insert(task, assignment) {
            self.host.declared = self.host.declared.saturating_sub(&old.demand);
        }
    }

    pub(crate) fn release(&mut self, task: &Task) -> Option<Assignment> {
        let assignment = self.assignments.remove(task)?;
        self.host.declared = self.host.declared.saturating_sub(&assignment.demand);
        if self.trial == Some(task.step) && self.tasks_of(task.step).next().is_none() {
            self.trial = None;
        }
        Some(assignment)
    }

    /// Returns whether the worker is known to have run the task for `period`.
    pub(crate) fn has_run_for(&self, task: &Task, period: Duration) -> bool {
        let heard_at = self.heard_at().unwrap_or_default();
        let a = self.assignments.get(task).filter(|a| a.has_run);
        a.and_then(|a| a.started_at).is_some_and(|at| heard_at.saturating_sub(at) >= period)
    }

    /// Returns the tasks of a step on the worker.
    pub(crate) fn tasks_of(&self, r: StepRef) -> impl Iterator<Item = (&Task, &Assignment)> {
        self.assignments.range(r.task(0)..=r.task(u32::MAX))
    }

    /// Keeps new tasks from the worker, for twice as long each time it declines one again after a pause. A gang that was
    /// declined can only try other workers while the pause lasts longer than its members take to stop.
    pub(crate) fn pause(&mut self, shortest: Duration, now: Duration) {
        if now < self.paused_until {
            return;
        }
        self.paused_until = now + shortest * 2_u32.pow(self.pauses.min(MAX_PAUSE_DOUBLINGS));
        self.pauses += 1;
    }

    /// Applies the worker's entry in the list of workers.
    pub(crate) fn update_info(&mut self, info: WorkerInfo, now: Duration) {
        if info.addr != self.info.addr {
            self.address_known_at = now;
        }
        self.replaced = false;
        self.host.id.clone_from(&info.id);
        self.host.rack.clone_from(&info.rack);
        self.host.capacity = info.capacity;
        self.missing_since = None;
        self.forgotten = false;
        self.info = info;
    }

    /// Resets the state that belonged to an earlier incarnation. Returns the tasks that were lost with it. An order to
    /// start a task that the earlier incarnation never listed may still reach the new one: such a task is stopped
    /// there.
    pub(crate) fn begin_incarnation(
        &mut self,
        incarnation: Incarnation,
        now: Duration,
    ) -> Vec<Task> {
        self.info.incarnation = incarnation;
        self.incarnation_known_at = now;
        let former = std::mem::take(&mut self.current);
        // A worker that has not answered since its last restart got no starts and no leases since then.
        if former.clock_reading.is_some() || self.restarted_at.is_none() {
            self.restarted_at = Some(now);
        }
        let is_lost = |(_, h): &(&Task, &mut Assignment)| h.reported || h.phase == Phase::Reserved;
        let lost_tasks: Vec<Task> =
            self.assignments.iter_mut().filter(is_lost).map(|(t, _)| *t).collect();
        for task in &lost_tasks {
            self.release(task);
        }
        for assignment in self.assignments.values_mut() {
            assignment.started_at = None;
            assignment.stop_acked_at = None;
            assignment.start_by_ms = u64::MAX;
            if assignment.phase != Phase::Stopping {
                assignment.phase = Phase::Stopping;
                assignment.since = RESEND_NOW;
            }
        }
        lost_tasks
    }
}

/// Returns `d` in whole milliseconds.
#[must_use]
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
