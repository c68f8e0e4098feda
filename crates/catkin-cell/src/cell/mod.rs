//! The owner of a cell: its jobs, its workers, and the decisions about them.

mod advice;
mod crashes;
mod gang;
mod held;
mod jobs;
mod launch;
mod listed;
mod orders;
mod place;
mod plan;
mod polls;
mod queued_advice;
mod rank;
mod save;
mod settle;
mod silence;
mod trials;
mod workers;

pub use advice::AdviceAnswer;
pub use silence::SilentWorkers;
pub use workers::{PollParams, SentPoll};

use crate::action::Action;
use crate::event::Event;
use crate::job::State;
use crate::queue::Queue;
use crate::step::{JobState, StepState, TaskState};
use crate::task::{StepRef, Task};
use crate::worker::{Worker, WorkerIndex};
use catkin_place::health::{self, HealthTracker};
use catkin_types::{Epoch, JobId, Resources, WorkerId};
use silence::Silences;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

/// The settings of a [`Cell`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The length of the lease that the owner requests from workers.
    pub lease: Duration,
    /// The longest lease that workers grant.
    pub max_lease: Duration,
    /// The longest delay with which a call meant for an earlier incarnation of a worker can still be carried out by the
    /// next one, from the start of the call, if that one does not answer.
    pub max_call_delay: Duration,
    /// How long after it is sent a worker may still accept an order to start.
    pub start_window: Duration,
    /// How long the members of a gang wait at the workers until all of them have started.
    pub gang_wait: Duration,
    /// How long after the start of the term owners of earlier terms may act, unless
    /// [`Cell::limit_earlier_owners`] tells an earlier end.
    pub autonomy: Duration,
    /// The interval at which an order to stop without an answer is sent again.
    pub stop_resend_interval: Duration,
    /// How long room stays reserved for tasks that can't start yet. It is three times as long while a request to the
    /// adviser is pending, which leaves time for the call.
    pub reservation_timeout: Duration,
    /// The remaining validity that a ticket must have when an order to start is sent, so that it is valid on arrival.
    pub ticket_margin: Duration,
    /// Upper bound on the steps with a pending request to the adviser.
    pub max_pending_advice: usize,
    /// How long a worker that declined a start gets no new tasks, the first time. It is longer if the worker declines
    /// the next start too.
    pub decline_pause: Duration,
    /// How long a worker may be missing from the list of workers before it gets no new tasks.
    pub missing_grace: Duration,
    /// How long the state of a job stays available after its end is durable.
    pub ended_retention: Duration,
    /// When a worker is quarantined for failing tasks.
    pub health: health::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            max_lease: Duration::from_secs(10),
            max_call_delay: Duration::from_secs(2),
            start_window: Duration::from_millis(1_500),
            gang_wait: Duration::from_secs(3),
            autonomy: Duration::from_secs(10),
            stop_resend_interval: Duration::from_millis(300),
            reservation_timeout: Duration::from_millis(1_500),
            ticket_margin: Duration::from_millis(200),
            max_pending_advice: 300,
            decline_pause: Duration::from_millis(500),
            missing_grace: Duration::from_millis(2_500),
            ended_retention: Duration::from_mins(2),
            health: health::Options {
                quarantine: Duration::from_secs(4),
                max_fraction: 0.2,
                ..health::Options::default()
            },
        }
    }
}

/// The state of the owner of a cell during one term.
#[derive(Debug)]
pub struct Cell {
    opt: Options,
    epoch: Epoch,
    /// When the term began.
    started_at: Duration,
    /// From then on no owner of an earlier term acts.
    earlier_owners_until: Duration,
    /// When no owner of a later term existed; `None` if that is not tracked.
    confirmed_at: Option<Duration>,
    /// The time of the last tick.
    now: Duration,
    queues: BTreeMap<String, Queue>,
    /// Indexed by [`WorkerIndex`].
    workers: Vec<Worker>,
    indices: HashMap<WorkerId, WorkerIndex>,
    jobs: HashMap<JobId, JobState>,
    ended: HashMap<JobId, (State, Duration)>,
    /// Steps with waiting tasks whose earlier steps have ended.
    waiting_steps: BTreeSet<StepRef>,
    /// Steps with reserved room.
    reserved_steps: BTreeSet<StepRef>,
    /// Steps of which tasks were lost since the last tick.
    steps_with_losses: BTreeSet<StepRef>,
    /// Gangs whose members were started and that are not known to be complete.
    assembling_gangs: BTreeSet<StepRef>,
    /// Jobs under whose tasks too many workers crashed since the last tick.
    jobs_to_give_up: Vec<JobId>,
    /// Jobs with changes that have not been handed out to be written, in the order in which they changed.
    dirty_jobs: VecDeque<JobId>,
    /// Workers that answered in this term, so that all their tasks are known.
    settled_workers: HashSet<WorkerId>,
    silences: Silences,
    /// Whether workers that were never listed in this term were removed from the records of steps.
    unlisted_forgotten: bool,
    fleet: HealthTracker,
    /// The average size of recent urgent tasks.
    urgent_size: Resources,
    /// The average share of workers that may run the steps of each queue, from recent answers of the adviser.
    eligible_shares: HashMap<String, f64>,
    /// Workers that were quarantined at the last check.
    quarantined_workers: HashSet<WorkerIndex>,
    /// Processors that the last scheduling pass kept free for gangs, in thousandths of a core.
    cpu_kept_milli: u64,
    /// The gangs for which the last scheduling pass kept room.
    kept_gangs: Vec<place::KeptGang>,
    events: Vec<Event>,
    counts: Counts,
}

/// Counters of this term, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Orders to start that were issued.
    pub starts: u64,
    /// Tasks and gangs that ended successfully.
    pub done: u64,
    /// Failures that workers reported.
    pub failed: u64,
    /// Tasks that were lost with their worker, their lease or their order.
    pub lost: u64,
    /// Starts that a worker declined.
    pub declined: u64,
    /// Jobs that were given up because workers crashed under their tasks.
    pub jobs_given_up: u64,
    /// Gangs that were given up because not all members started in time.
    pub gangs_given_up: u64,
    /// Reservations that were released without a start.
    pub reservations_expired: u64,
}

/// The size of the cell and its load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs whose end is not durable yet.
    pub jobs: usize,
    /// Those of them that start nothing, because their rows can't be read or were refused.
    pub jobs_held: usize,
    /// Steps with waiting tasks whose earlier steps have ended.
    pub steps_waiting: usize,
    /// Waiting gangs.
    pub gangs_waiting: usize,
    /// Waiting steps for which the adviser has not answered yet, though it has to.
    pub steps_unadvised: usize,
    /// Steps with reserved room.
    pub steps_reserved: usize,
    /// Waiting steps of which tasks started by an earlier owner may still run unknown to this one.
    pub steps_unsettled: usize,
    /// Tasks that have room reserved on workers or run there.
    pub tasks_held: usize,
    /// Workers that were ever listed in this term.
    pub workers: usize,
    /// Workers that may get new tasks.
    pub workers_usable: usize,
    /// Usable workers that are kept for tasks that may have crashed others.
    pub workers_on_trial: usize,
    /// Reserved processors on usable workers, in thousandths of a core.
    pub cpu_used_milli: u64,
    /// Processors of usable workers, in thousandths of a core.
    pub cpu_all_milli: u64,
    /// Processors that the last scheduling pass kept free for gangs, in thousandths of a core.
    pub cpu_kept_milli: u64,
    /// Reserved memory on usable workers, in MiB.
    pub memory_used_mib: u64,
    /// Memory of usable workers, in MiB.
    pub memory_all_mib: u64,
}

impl Cell {
    /// Creates the owner of the term `epoch`, which begins at `now`.
    #[must_use]
    pub fn new(opt: Options, epoch: Epoch, now: Duration) -> Self {
        let fleet = HealthTracker::new(opt.health.clone());
        Self {
            epoch,
            started_at: now,
            earlier_owners_until: now + opt.autonomy,
            confirmed_at: None,
            opt,
            now,
            queues: BTreeMap::new(),
            workers: Vec::new(),
            indices: HashMap::new(),
            jobs: HashMap::new(),
            ended: HashMap::new(),
            waiting_steps: BTreeSet::new(),
            reserved_steps: BTreeSet::new(),
            steps_with_losses: BTreeSet::new(),
            assembling_gangs: BTreeSet::new(),
            jobs_to_give_up: Vec::new(),
            dirty_jobs: VecDeque::new(),
            settled_workers: HashSet::new(),
            silences: Silences::default(),
            unlisted_forgotten: false,
            fleet,
            urgent_size: Resources::default(),
            eligible_shares: HashMap::new(),
            quarantined_workers: HashSet::new(),
            cpu_kept_milli: 0,
            kept_gangs: Vec::new(),
            events: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Returns the epoch of this term.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the counters of this term.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns a summary of the cell at `now`.
    #[must_use]
    pub fn summary(&self, now: Duration) -> Summary {
        let unsettled = |r: &&StepRef| self.step(**r).is_some_and(|s| !s.unsettled.is_empty());
        let unadvised = |r: &&StepRef| {
            self.needs_advice(**r) && self.step(**r).is_some_and(|s| s.tickets.is_none())
        };
        let usable = self.worker_indices().filter(|idx| self.is_usable(*idx, now));
        let (mut used, mut all) = (Resources::default(), Resources::default());
        let (mut workers_usable, mut workers_on_trial) = (0, 0);
        for w in usable.map(|idx| self.worker(idx)) {
            workers_usable += 1;
            workers_on_trial += usize::from(w.trial.is_some());
            used = used.saturating_add(&w.host.declared);
            all = all.saturating_add(&w.host.capacity);
        }
        Summary {
            jobs: self.jobs.len(),
            jobs_held: self.jobs.values().filter(|j| j.hold.is_some()).count(),
            steps_waiting: self.waiting_steps.len(),
            gangs_waiting: self.waiting_steps.iter().filter(|r| self.is_gang(**r)).count(),
            steps_unadvised: self.waiting_steps.iter().filter(unadvised).count(),
            steps_reserved: self.reserved_steps.len(),
            steps_unsettled: self.waiting_steps.iter().filter(unsettled).count(),
            tasks_held: self.workers.iter().map(|w| w.assignments.len()).sum(),
            workers: self.indices.len(),
            workers_usable,
            workers_on_trial,
            cpu_used_milli: used.cpu_milli,
            cpu_all_milli: all.cpu_milli,
            cpu_kept_milli: self.cpu_kept_milli,
            memory_used_mib: used.memory_mib,
            memory_all_mib: all.memory_mib,
        }
    }

    /// Applies the configuration of the queues. A queue that is no longer configured keeps its last settings for the
    /// jobs that it still has.
    pub fn configure(&mut self, queues: impl IntoIterator<Item = (String, Queue)>) {
        self.queues.extend(queues);
    }

    /// Does the work due at `now`: expires leases and reservations, sends orders to stop again, checks gangs, and
    /// starts tasks.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.now = now;
        self.expire_leases(now);
        self.record_losses(now);
        self.record_silent_workers(now);
        self.forget_gone_workers(now);
        self.give_up_jobs(out);
        self.end_trials(now);
        self.resend_stops(now, out);
        self.check_gangs(now, out);
        self.expire_reservations(now);
        self.record_quarantine_changes(now);
        self.schedule(now, out);
        self.prune_ended(now);
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn worker(&self, idx: WorkerIndex) -> &Worker {
        &self.workers[idx.index()]
    }

    fn worker_mut(&mut self, idx: WorkerIndex) -> &mut Worker {
        &mut self.workers[idx.index()]
    }

    /// Returns the indices of all workers that were ever listed in this term.
    pub fn worker_indices(&self) -> impl Iterator<Item = WorkerIndex> + use<> {
        (0..u32::try_from(self.workers.len()).unwrap_or(u32::MAX)).map(WorkerIndex)
    }

    fn step(&self, r: StepRef) -> Option<&StepState> {
        self.jobs.get(&r.job)?.step(r)
    }

    fn step_mut(&mut self, r: StepRef) -> Option<&mut StepState> {
        self.jobs.get_mut(&r.job)?.step_mut(r)
    }

    fn task(&self, task: Task) -> Option<&TaskState> {
        self.step(task.step)?.tasks.get(task.index as usize)
    }

    fn task_mut(&mut self, task: Task) -> Option<&mut TaskState> {
        self.step_mut(task.step)?.tasks.get_mut(task.index as usize)
    }

    /// Adds the step to the waiting steps or removes it, depending on its state.
    fn update_waiting(&mut self, r: StepRef) {
        let is_waiting = self.jobs.get(&r.job).is_some_and(|j| {
            let is_waiting = j.step(r).is_some_and(|s| s.waiting().next().is_some());
            j.outcome.is_none() && j.hold.is_none() && is_waiting && j.is_ready(r)
        });
        if is_waiting {
            self.waiting_steps.insert(r);
        } else {
            self.waiting_steps.remove(&r);
        }
    }

    /// Records that the task is no longer assigned to a worker.
    fn clear_worker(&mut self, task: Task) {
        if let Some(step) = self.step_mut(task.step) {
            if let Some(t) = step.tasks.get_mut(task.index as usize) {
                t.assigned_to = None;
            }
            if !step.any_assigned() {
                step.launched_at = None;
            }
        }
        self.update_waiting(task.step);
    }

    /// Removes ends of jobs that are older than the retention period.
    fn prune_ended(&mut self, now: Duration) {
        let retention = self.opt.ended_retention;
        self.ended.retain(|_, (_, at)| now.saturating_sub(*at) < retention);
    }
}
