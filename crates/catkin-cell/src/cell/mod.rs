//! The owner of a cell: its jobs, its workers, and what to do next.

mod advice;
mod gang;
mod jobs;
mod launch;
mod looks;
mod orders;
mod place;
mod rank;
mod save;
mod workers;

pub use advice::Advised;
pub use workers::WorkerView;

use crate::action::Action;
use crate::job::State;
use crate::note::Note;
use crate::queue::Queue;
use crate::step::{JobState, StepState};
use crate::task::{StepRef, Task};
use crate::worker::{No, Worker};
use catkin_place::health::{self, HealthTracker};
use catkin_types::{Epoch, JobId, Resources, WorkerId};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// The settings of a [`Cell`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The lease that workers are asked for.
    pub lease: Duration,
    /// The longest lease that workers grant.
    pub longest_lease: Duration,
    /// A call that was meant for the life before reaches a new life at most so long after it began.
    pub stray: Duration,
    /// How long an order to start may be on its way.
    pub start_window: Duration,
    /// How long the members of a gang may wait for each other at the workers.
    pub gang_wait: Duration,
    /// How long an earlier owner may have acted without a sign from the table service.
    pub autonomy: Duration,
    /// After how long an order to stop is sent again.
    pub stop_again: Duration,
    /// How long room is kept for tasks that can't start yet, beside the time of one call for advice.
    pub reservation: Duration,
    /// How much of a ticket's time is left for the way of an order to start.
    pub ticket_margin: Duration,
    /// The adviser is asked about at most so many steps at a time.
    pub most_asked: usize,
    /// How long a worker that declined gets no work.
    pub pause: Duration,
    /// How long a worker may be missing from the list before it gets no more work.
    pub missing: Duration,
    /// How long the ends of jobs are remembered.
    pub remember: Duration,
    /// How workers are judged by what they fail.
    pub health: health::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            longest_lease: Duration::from_secs(10),
            stray: Duration::from_secs(1),
            start_window: Duration::from_millis(1_500),
            gang_wait: Duration::from_secs(3),
            autonomy: Duration::from_secs(10),
            stop_again: Duration::from_millis(300),
            reservation: Duration::from_millis(1_500),
            ticket_margin: Duration::from_millis(200),
            most_asked: 300,
            pause: Duration::from_millis(500),
            missing: Duration::from_millis(2_500),
            remember: Duration::from_mins(2),
            health: health::Options {
                quarantine: Duration::from_secs(4),
                max_fraction: 0.2,
                ..health::Options::default()
            },
        }
    }
}

/// The owner of a cell for one term.
#[derive(Debug)]
pub struct Cell {
    opt: Options,
    epoch: Epoch,
    term_start: Duration,
    /// The time of the last tick.
    now: Duration,
    queues: BTreeMap<String, Queue>,
    /// By number.
    workers: Vec<Worker>,
    indices: HashMap<WorkerId, No>,
    jobs: HashMap<JobId, JobState>,
    ended: HashMap<JobId, (State, Duration)>,
    /// Steps with tasks that wait and whose turn has come.
    waiting_steps: BTreeSet<StepRef>,
    /// Steps with room set aside.
    reserved_steps: BTreeSet<StepRef>,
    /// Gangs that were started and not found complete.
    assembling_gangs: BTreeSet<StepRef>,
    /// Jobs with changes that are not durable.
    dirty_jobs: BTreeSet<JobId>,
    /// Workers that answered in this term.
    settled_workers: HashSet<WorkerId>,
    fleet: HealthTracker,
    /// The size of recent urgent tasks.
    urgent_size: Resources,
    /// The share of workers that may run the steps of each queue, as the adviser said lately.
    eligible_shares: HashMap<String, f64>,
    /// Workers that were left out when that was last looked at.
    quarantined_workers: HashSet<No>,
    events: Vec<Note>,
    counts: Counts,
}

/// What happened in this term, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Starts ordered.
    pub starts: u64,
    /// Tasks that ended well.
    pub done: u64,
    /// Tasks that failed.
    pub failed: u64,
    /// Tasks that were lost with their worker or their lease.
    pub lost: u64,
    /// Starts that a worker declined.
    pub declined: u64,
    /// Gangs that did not come together.
    pub gangs_given_up: u64,
}

/// The cell as a whole at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that are not at their end.
    pub jobs: usize,
    /// Steps with tasks that wait.
    pub steps_waiting: usize,
    /// Steps with room set aside.
    pub steps_reserved: usize,
    /// Steps of which tasks may run unknown to this owner.
    pub steps_unsettled: usize,
    /// Tasks on workers.
    pub tasks_held: usize,
    /// Workers.
    pub workers: usize,
    /// Workers that may get work.
    pub workers_usable: usize,
    /// Processors set aside, in thousandths of a core.
    pub cpu_used_milli: u64,
    /// Processors of all workers that may get work.
    pub cpu_all_milli: u64,
}

impl Cell {
    /// The owner of `epoch`, which began at `now`.
    #[must_use]
    pub fn new(opt: Options, epoch: Epoch, now: Duration) -> Self {
        let fleet = HealthTracker::new(opt.health.clone());
        Self {
            opt,
            epoch,
            term_start: now,
            now,
            queues: BTreeMap::new(),
            workers: Vec::new(),
            indices: HashMap::new(),
            jobs: HashMap::new(),
            ended: HashMap::new(),
            waiting_steps: BTreeSet::new(),
            reserved_steps: BTreeSet::new(),
            assembling_gangs: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            settled_workers: HashSet::new(),
            fleet,
            urgent_size: Resources::default(),
            eligible_shares: HashMap::new(),
            quarantined_workers: HashSet::new(),
            events: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// The term.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// What happened so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The cell as a whole.
    #[must_use]
    pub fn summary(&self, now: Duration) -> Summary {
        let unsettled = |r: &&StepRef| self.step(**r).is_some_and(|s| !s.unsettled.is_empty());
        let open = self.nos().filter(|no| self.is_usable(*no, now)).map(|no| self.worker(no));
        let (mut workers_usable, mut cpu_used_milli, mut cpu_all_milli) = (0, 0, 0);
        for w in open {
            workers_usable += 1;
            cpu_used_milli += w.host.declared.cpu_milli;
            cpu_all_milli += w.host.capacity.cpu_milli;
        }
        Summary {
            jobs: self.jobs.len(),
            steps_waiting: self.waiting_steps.len(),
            steps_reserved: self.reserved_steps.len(),
            steps_unsettled: self.waiting_steps.iter().filter(unsettled).count(),
            tasks_held: self.workers.iter().map(|w| w.assignments.len()).sum(),
            workers: self.indices.len(),
            workers_usable,
            cpu_used_milli,
            cpu_all_milli,
        }
    }

    /// Takes over what the configuration says of the queues. A queue that is gone stays as it was for the jobs that it
    /// still has.
    pub fn configure(&mut self, queues: impl IntoIterator<Item = (String, Queue)>) {
        self.queues.extend(queues);
    }

    /// Does what is due at `now`: orders that got no answer, leases that ran out, and starts.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.now = now;
        self.expire_leases(now);
        self.resend_stops(now, out);
        self.check_gangs(now, out);
        self.expire_reservations(now);
        self.record_quarantine_changes(now);
        self.schedule(now, out);
        self.prune_ended(now);
    }

    /// Takes what was decided and seen since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.events)
    }

    fn worker(&self, no: No) -> &Worker {
        &self.workers[no.index()]
    }

    fn worker_mut(&mut self, no: No) -> &mut Worker {
        &mut self.workers[no.index()]
    }

    /// The numbers of all workers that were ever listed in this term.
    pub fn nos(&self) -> impl Iterator<Item = No> + use<> {
        (0..u32::try_from(self.workers.len()).unwrap_or(u32::MAX)).map(No)
    }

    fn step(&self, r: StepRef) -> Option<&StepState> {
        self.jobs.get(&r.job)?.step(r)
    }

    fn step_mut(&mut self, r: StepRef) -> Option<&mut StepState> {
        self.jobs.get_mut(&r.job)?.step_mut(r)
    }

    /// Puts the step on the list of those that wait, or takes it off.
    fn update_waiting(&mut self, r: StepRef) {
        let waits = self.jobs.get(&r.job).is_some_and(|j| {
            let waits = j.step(r).is_some_and(|s| s.waiting().next().is_some());
            j.outcome.is_none() && waits && j.is_ready(r)
        });
        if waits {
            self.waiting_steps.insert(r);
        } else {
            self.waiting_steps.remove(&r);
        }
    }

    /// The task has no worker any more.
    fn clear_worker(&mut self, task: Task) {
        if let Some(step) = self.step_mut(task.step) {
            if let Some(t) = step.tasks.get_mut(task.index as usize) {
                t.worker = None;
            }
            if !step.any_held() {
                step.launched_at = None;
            }
        }
        self.update_waiting(task.step);
    }

    /// Drops ends that were remembered long enough.
    fn prune_ended(&mut self, now: Duration) {
        let keep = self.opt.remember;
        self.ended.retain(|_, (_, at)| now.saturating_sub(*at) < keep);
    }
}
