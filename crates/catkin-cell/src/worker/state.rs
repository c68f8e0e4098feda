//! What the owner knows of a worker, and of its current incarnation.

use super::{Assignment, CountedCrash, Phase, UnacknowledgedEnd, Victim, WorkerInfo, millis};
use crate::fence;
use crate::task::{StepRef, Task};
use catkin_place::Host;
use catkin_types::{FencingToken, Incarnation, Resources};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What one incarnation of a worker has said to this owner, and what was requested from it. It ends with the incarnation:
/// the next one has another clock, other leases, and numbers its ends anew.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncarnationState {
    /// Whether the worker has answered a poll with a token of this incarnation, and its tasks are known.
    pub confirmed: bool,
    /// The latest end of a lease that calls before that poll can have given, on the worker's clock; absent before it was
    /// answered.
    pub granted_to_ms: Option<u64>,
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
    /// The token for calls to the known incarnation.
    pub token: FencingToken,
    /// The first token of the known incarnation. Calls with lower ones were meant for earlier ones.
    pub first_token: FencingToken,
    /// Whether a poll with the newest token has acknowledged ends.
    pub has_acknowledged: bool,
    /// When the address became known.
    pub address_known_at: Duration,
    /// Whether another worker has answered at the address since the worker's entry was last listed.
    pub replaced: bool,
    pub missing_since: Option<Duration>,
    /// Whether the worker was removed from the records of steps, as it is gone.
    pub forgotten: bool,
    /// What its current incarnation has said.
    pub current: IncarnationState,
    /// When a call was last sent that can renew the lease, of any incarnation.
    pub lease_call_at: Duration,
    pub assignments: BTreeMap<Task, Assignment>,
    /// The tasks that may have run here when the worker was lost, until it is known whether it crashed.
    pub victims: Vec<Victim>,
    /// The last crash, while the list may still name the incarnation that ended, and say that it drains.
    pub counted_crash: Option<CountedCrash>,
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

/// Returns the time in which the slowest clock of a worker advances by `d`, on the owner's clock.
pub(crate) fn slowest(d: Duration) -> Duration {
    d * 1_000 / (1_000 - MAX_CLOCK_LAG_PER_MILLE)
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

    /// Returns whether an entry that states this incarnation is that of a later one than the known one. It is if the list
    /// named the known one until now. If not, the worker has answered before its entry was read, and the list may still
    /// name all incarnations before it, also with higher numbers, since wall clocks can go back.
    pub(crate) fn is_later_incarnation(&self, incarnation: Incarnation) -> bool {
        let (listed, known) = (self.listed_incarnation, self.info.incarnation);
        known != 0 && listed == known && incarnation != 0 && incarnation != known
    }

    /// Returns whether the exit that an entry announces was taken for a crash, as a later incarnation has answered before
    /// the entry was read.
    pub(crate) fn is_exit_counted(&self, entry: &WorkerInfo) -> bool {
        let ended = self.counted_crash.as_ref().map(|c| c.incarnation);
        entry.draining && ended == Some(entry.incarnation)
    }

    /// Returns whether the known incarnation has reported that it drains: it exits as planned.
    pub(crate) fn is_draining(&self) -> bool {
        self.info.draining && self.is_entry_current()
    }

    /// Returns whether a call with this token was meant for the known incarnation.
    pub(crate) fn is_current(&self, token: FencingToken) -> bool {
        token >= self.first_token
    }

    /// Raises the token, so that the worker refuses earlier calls once it has seen a later one.
    pub(crate) fn raise_token(&mut self) {
        self.token = fence::next_token(self.token);
        self.has_acknowledged = false;
    }

    /// Records a call that can renew the lease, sent at `sent` or before.
    pub(crate) fn record_lease_call(&mut self, sent: Duration) {
        self.lease_call_at = self.lease_call_at.max(sent);
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

    /// Applies the worker's entry in the list of workers. It names the known incarnation only if none was known.
    pub(crate) fn update_info(&mut self, entry: WorkerInfo, now: Duration) {
        self.listed_incarnation = entry.incarnation;
        self.counted_crash.take_if(|c| c.incarnation != entry.incarnation);
        let known = self.info.incarnation;
        let incarnation = if known == 0 { entry.incarnation } else { known };
        if incarnation != known {
            self.incarnation_known_at = now;
        }
        let info = WorkerInfo { incarnation, ..entry };
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
    /// start a task that the earlier incarnation never listed may still reach the new one: such a task is stopped there,
    /// unless the answer to the first poll with the new token does not list it.
    pub(crate) fn begin_incarnation(
        &mut self,
        incarnation: Incarnation,
        now: Duration,
    ) -> Vec<Task> {
        self.info.incarnation = incarnation;
        self.incarnation_known_at = now;
        self.raise_token();
        self.first_token = self.token;
        self.current = IncarnationState::default();
        let is_lost = |(_, h): &(&Task, &mut Assignment)| h.reported || h.phase == Phase::Reserved;
        let lost_tasks: Vec<Task> =
            self.assignments.iter_mut().filter(is_lost).map(|(t, _)| *t).collect();
        for task in &lost_tasks {
            self.release(task);
        }
        for assignment in self.assignments.values_mut() {
            assignment.started_at = None;
            assignment.stop_acked_at = None;
            assignment.start_by_ms = 0;
            if assignment.phase != Phase::Stopping {
                assignment.phase = Phase::Stopping;
                assignment.since = RESEND_NOW;
            }
        }
        lost_tasks
    }
}
