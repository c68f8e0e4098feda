//! Jobs: accepting, cancelling, recurring, ending and explaining them.

use super::Cell;
use crate::action::{Action, Stop, StoredJob};
use crate::event::Event;
use crate::job::{Job, State, Step};
use crate::progress::Progress;
use crate::queue::Queue;
use crate::step::{JobState, StepState};
use crate::task::{StepRef, Task};
use crate::worker::Phase;
use catkin_types::{JobId, Resources};
use std::time::Duration;

/// The size of urgent tasks is an exponential average over about this many recent jobs.
const URGENT_SIZE_SAMPLES: u64 = 16;
/// Upper bound on the tasks of one step that an explanation lists.
const MAX_EXPLAINED_TASKS: usize = 8;
/// The objective of a job includes the cost of one call for advice about this many workers for each step.
const OBJECTIVE_ADVICE_WORKERS: usize = 30;

impl Cell {
    /// Adds a job that was accepted now or is read back from the table. `age` is the time since it was accepted.
    pub fn add(&mut self, id: JobId, stored: StoredJob, age: Duration, now: Duration) {
        if self.jobs.contains_key(&id) || self.ended.contains_key(&id) {
            return;
        }
        let StoredJob { job, progress } = stored;
        if !self.queues.contains_key(&job.queue) {
            let queue = Queue::unconfigured(&job.service, job.policy);
            self.queues.insert(job.queue.clone(), queue);
        }
        let accepted_at = now.saturating_sub(age);
        let steps = load_steps(&job, progress);
        let has_started = steps.iter().any(|s| s.has_started);
        let has_suspects = steps.iter().flat_map(|s| &s.tasks).any(|t| t.suspect);
        let deadline = accepted_at.saturating_add(self.objective(&job));
        let mut state = JobState {
            steps,
            accepted_at,
            deadline,
            has_started,
            has_suspects,
            ..JobState::new(job)
        };
        let cost = self.advice_cost(&state.job.queue);
        set_critical_paths(&mut state, cost);
        self.update_urgent_size(&state.job);
        let refs = state.step_refs(id);
        let cancelled = state.job.cancelled;
        let all_done = state.steps.iter().all(|s| s.remaining == 0) && !state.steps.is_empty();
        self.jobs.insert(id, state);
        if cancelled {
            self.end_job(id, State::Cancelled, &mut Vec::new());
        } else if all_done && self.all_occurrences_begun(id) {
            self.end_job(id, State::Completed, &mut Vec::new());
        } else {
            for r in refs {
                self.update_waiting(r);
            }
        }
    }

    /// Updates the average size of urgent tasks with the first step of a job of an urgent queue. A size that is larger
    /// than any worker does not count: no room that is left free is enough for it.
    fn update_urgent_size(&mut self, job: &Job) {
        let urgent = self.queues.get(&job.queue).is_some_and(|q| q.priority == 0);
        let Some(size) = job.steps.first().map(Step::demand).filter(|_| urgent) else { return };
        if !self.workers.iter().any(|w| size.fits(&w.host.capacity)) {
            return;
        }
        let (old, new) = (self.urgent_size.as_array(), size.as_array());
        let mean = |i: usize| {
            let sum = old[i].saturating_mul(URGENT_SIZE_SAMPLES - 1).saturating_add(new[i]);
            sum / URGENT_SIZE_SAMPLES
        };
        self.urgent_size = Resources::from_array([mean(0), mean(1), mean(2)]);
    }

    /// Handles a cancellation that a caller requested and that is durable.
    pub fn cancel(&mut self, id: JobId, out: &mut Vec<Action>) {
        let held = self.is_held(id);
        if let Some(j) = self.jobs.get_mut(&id) {
            j.job.cancelled = true;
            self.end_job(id, State::Cancelled, out);
        }
        if held {
            self.stop_runs(id, out);
        }
    }

    /// Returns whether the job is tracked: its end is not durable yet, or is durable and within the retention period.
    #[must_use]
    pub fn is_known(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.ended.contains_key(&id)
    }

    /// Returns whether the job has not ended yet.
    #[must_use]
    pub fn is_open(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|j| j.outcome.is_none())
    }

    /// Returns the durable state of a job, or `None` if the job is not known.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<State> {
        if let Some((state, _)) = self.ended.get(&id) {
            return Some(*state);
        }
        let j = self.jobs.get(&id)?;
        if j.job.cancelled {
            return Some(State::Cancelled);
        }
        Some(if j.has_started { State::Running } else { State::Queued })
    }

    /// Describes the state of an open job and of its unfinished tasks, for logs and diagnosis.
    #[must_use]
    pub fn explain(&self, id: JobId) -> Option<String> {
        let j = self.jobs.get(&id)?;
        let steps = j.step_refs(id).into_iter().filter_map(|r| {
            let s = j.step(r)?;
            let task = |(i, t): (u32, &crate::step::TaskState)| {
                let assignment = t.assigned_to.and_then(|at| self.worker(at).assignments.get(&r.task(i)));
                let at = t.assigned_to.map(|at| &self.worker(at).info.id);
                let phase = assignment.map(|h| (h.phase, h.run, h.since));
                format!("{i}: run {}, failures {}, crashes {}, suspect {}, done {}, worker {at:?}, assignment {phase:?}", t.run, t.failures.times(), t.crashes.total(), t.suspect, t.done)
            };
            let open = (0..).zip(&s.tasks).filter(|(_, t)| !t.done);
            let tasks: Vec<String> = open.take(MAX_EXPLAINED_TASKS).map(task).collect();
            Some(format!(
                "step {}: waiting {}, reserved {}, assembling {}, intent version {}, run {}, advice pending since {:?}, unsettled workers {:?}, eligible workers {:?}, tasks: {}",
                r.step,
                self.waiting_steps.contains(&r),
                self.reserved_steps.contains(&r),
                self.assembling_gangs.contains(&r),
                s.intent_version,
                s.max_run,
                s.advice_pending_since,
                s.unsettled,
                s.tickets.as_ref().map(std::collections::HashMap::len),
                tasks.join(", ")
            ))
        });
        let steps: Vec<String> = steps.collect();
        let (version, durable, writing) = (j.version, j.durable_version, j.writing_version);
        Some(format!(
            "hold {:?}, outcome {:?}, version {version}, durable version {durable}, writing version {writing:?}; {}",
            j.hold,
            j.outcome,
            steps.join("; ")
        ))
    }

    /// Returns the job that was accepted first, of those whose end is not durable.
    #[must_use]
    pub fn oldest_job(&self) -> Option<JobId> {
        self.jobs.iter().min_by_key(|(id, j)| (j.accepted_at, **id)).map(|(id, _)| *id)
    }

    /// Returns the queue of a job whose end is not durable.
    #[must_use]
    pub fn queue_of(&self, id: JobId) -> Option<&str> {
        Some(&self.jobs.get(&id)?.job.queue)
    }

    /// Returns the number of occurrences of a job that have begun, or `None` if the job is not known or its end is durable.
    #[must_use]
    pub fn occurrences(&self, id: JobId) -> Option<usize> {
        Some(self.jobs.get(&id)?.occurrences())
    }

    /// Returns the number of jobs of a queue of which no task has started yet.
    #[must_use]
    pub fn waiting_jobs(&self, queue: &str) -> u64 {
        let waits = |j: &&JobState| !j.has_started && j.outcome.is_none() && j.job.queue == queue;
        self.jobs.values().filter(waits).count() as u64
    }

    /// Begins the occurrences that are due at `wall_ms`, in milliseconds since 1970. One that is due while the earlier
    /// ones leave no room for its progress in the job's row begins as soon as they do.
    pub fn begin_occurrences(&mut self, wall_ms: u64) {
        let due: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                let is_due = next_occurrence_ms(j).is_some_and(|t| t <= wall_ms);
                j.outcome.is_none() && j.hold.is_none() && is_due
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let cost = self.advice_cost_of(id);
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            while next_occurrence_ms(j).is_some_and(|t| t <= wall_ms) && j.may_begin_occurrence() {
                let new_steps: Vec<StepState> = j.job.steps.iter().map(new_step).collect();
                j.steps.extend(new_steps);
            }
            set_critical_paths(j, cost);
            j.step_refs(id).into_iter().for_each(|r| self.update_waiting(r));
        }
    }

    /// Ends the job with `state`: stops its tasks and marks the end to be written.
    pub(super) fn end_job(&mut self, id: JobId, state: State, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(j) = self.jobs.get_mut(&id) else { return };
        if j.outcome.is_some() {
            return;
        }
        j.outcome = Some(state);
        let age = now.saturating_sub(j.accepted_at);
        self.events.push(Event::JobEnded { job: id, state, age, late: now > j.deadline });
        let refs = j.step_refs(id);
        for r in refs {
            self.waiting_steps.remove(&r);
            self.assembling_gangs.remove(&r);
            // Members of a gang that completed end by themselves.
            if state != State::Completed {
                self.stop_step(r, out);
            }
            self.reserved_steps.remove(&r);
        }
        self.fleet.forget_job(id);
        self.mark_dirty(id);
    }

    /// Stops every task of a step that is on a worker and releases the reservations.
    pub(super) fn stop_step(&mut self, r: StepRef, out: &mut Vec<Action>) {
        let Some(step) = self.step(r) else { return };
        let assignment: Vec<Task> = (0..)
            .zip(&step.tasks)
            .filter(|(_, t)| t.assigned_to.is_some())
            .map(|(i, _)| r.task(i))
            .collect();
        for task in assignment {
            self.stop_task(task, out);
        }
    }

    /// Stops a task on the worker that it is assigned to, or releases its reservation.
    pub(super) fn stop_task(&mut self, task: Task, out: &mut Vec<Action>) {
        let Some(at) = self.task(task).and_then(|t| t.assigned_to) else { return };
        let w = self.worker_mut(at);
        let token = w.token;
        let Some(assignment) = w.assignments.get_mut(&task) else { return };
        match assignment.phase {
            Phase::Reserved => {
                w.release(&task);
                self.clear_worker(task);
            }
            Phase::Stopping => {}
            Phase::Starting | Phase::Running | Phase::Unknown => {
                assignment.phase = Phase::Stopping;
                assignment.stop_acked_at = None;
                let run = assignment.run;
                assignment.since = Duration::ZERO;
                out.push(Action::Stop(Stop { worker: at, token, task, run }));
            }
        }
    }

    /// Handles the end of a step: makes the steps after it eligible, or completes the job.
    pub(super) fn handle_step_end(&mut self, r: StepRef, out: &mut Vec<Action>) {
        let Some(j) = self.jobs.get(&r.job) else { return };
        if j.steps.iter().all(|s| s.remaining == 0) && self.all_occurrences_begun(r.job) {
            self.end_job(r.job, State::Completed, out);
            return;
        }
        let refs = j.step_refs(r.job);
        for r in refs {
            self.update_waiting(r);
        }
    }

    fn all_occurrences_begun(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|j| next_occurrence_ms(j).is_none())
    }

    /// Returns the time from acceptance within which a job is expected to end.
    fn objective(&self, job: &Job) -> Duration {
        let Some(q) = self.queues.get(&job.queue) else { return Duration::ZERO };
        let advice = q.advice.map_or(Duration::ZERO, |a| a.cost(OBJECTIVE_ADVICE_WORKERS));
        let chain = critical_paths(&job.steps, advice).into_iter().max().unwrap_or_default();
        scale(chain, q.stretch).saturating_add(q.objective)
    }

    fn advice_cost(&self, queue: &str) -> Duration {
        let advice = self.queues.get(queue).and_then(|q: &Queue| q.advice);
        advice.map_or(Duration::ZERO, |a| a.cost(OBJECTIVE_ADVICE_WORKERS))
    }

    fn advice_cost_of(&self, id: JobId) -> Duration {
        self.jobs.get(&id).map_or(Duration::ZERO, |j| self.advice_cost(&j.job.queue))
    }
}

fn new_step(step: &Step) -> StepState {
    StepState::new(step.count, crate::progress::StepProgress::default())
}

/// Builds the steps of a job from its stored progress. A scheduled job has the steps of the occurrences that have
/// begun.
fn load_steps(job: &Job, progress: Progress) -> Vec<StepState> {
    let width = job.steps.len().max(1);
    let occurrence_count = match job.schedule {
        Some(_) => progress.steps.len() / width,
        None => 1,
    };
    let mut stored_steps = progress.steps.into_iter();
    let all = (0..occurrence_count).flat_map(|_| &job.steps);
    all.map(|s| StepState::new(s.count, stored_steps.next().unwrap_or_default())).collect()
}

/// Returns when the next occurrence is due, in milliseconds since 1970, or `None` after the last one.
fn next_occurrence_ms(j: &JobState) -> Option<u64> {
    let s = j.job.schedule.filter(|_| !j.job.steps.is_empty())?;
    let next = j.occurrences() as u64;
    let due = || s.first_ms.saturating_add(next.saturating_mul(s.interval_ms));
    (next < u64::from(s.count)).then(due)
}

/// Multiplies a duration. The result stops at zero and at [`Duration::MAX`].
fn scale(d: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(d.as_secs_f64() * factor.max(0.0)).unwrap_or(Duration::MAX)
}

/// Returns the longest estimated chain of steps from the start of each step to the end of the job.
fn critical_paths(steps: &[Step], advice: Duration) -> Vec<Duration> {
    let own_time = |s: &Step| Duration::from_millis(s.estimate_ms).saturating_add(advice);
    let mut tails: Vec<Duration> = steps.iter().map(own_time).collect();
    for later in (0..steps.len()).rev() {
        for earlier in &steps[later].after {
            let earlier = *earlier as usize;
            if earlier < later {
                let chain = own_time(&steps[earlier]).saturating_add(tails[later]);
                tails[earlier] = tails[earlier].max(chain);
            }
        }
    }
    tails
}

fn set_critical_paths(j: &mut JobState, advice: Duration) {
    let tails = critical_paths(&j.job.steps, advice);
    for (step, tail) in j.steps.iter_mut().zip(tails.iter().cycle()) {
        step.critical_path = *tail;
    }
}
