//! Distinguishes workers that fail their tasks from jobs that fail on every worker.

use catkin_types::{JobId, WorkerId};
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The settings of a [`HealthTracker`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The weighted number of failures from which on a worker may be quarantined. Older failures weigh less by `decay`:
    /// three in a row count 2.85.
    pub min_failures: f64,
    /// The multiple of the other workers' failure rate from which on a worker may be quarantined.
    pub ratio: f64,
    /// The failure rate from which on a worker may be quarantined, from 0 to 1.
    pub min_rate: f64,
    /// The largest fraction of the workers that may be quarantined. One worker always may.
    pub max_fraction: f64,
    /// How long a worker is quarantined before it gets single tasks on probation.
    pub quarantine: Duration,
    /// The number of workers on which a job has to fail, without any success, to count as faulty itself.
    pub job_workers: usize,
    /// The factor on the old counts of a worker at each new end of a task there.
    pub decay: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_failures: 2.5,
            ratio: 4.0,
            min_rate: 0.5,
            max_fraction: 0.1,
            quarantine: Duration::from_mins(5),
            job_workers: 3,
            decay: 0.95,
        }
    }
}

/// Whether a worker may get tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerHealth {
    /// The worker may get tasks.
    Healthy,
    /// The worker gets no tasks.
    Quarantined,
    /// The quarantine has passed, and the worker gets one task at a time until one succeeds.
    Probation,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    ended: f64,
    failed: f64,
    quarantined_at: Option<Duration>,
}

impl Counts {
    fn rate(&self) -> f64 {
        if self.ended > 0.0 { self.failed / self.ended } else { 0.0 }
    }
}

#[derive(Clone, Debug, Default)]
struct Job {
    succeeded: bool,
    failed_on: SmallVec<[WorkerId; 4]>,
    attributed: SmallVec<[(WorkerId, u32); 4]>,
}

/// Tracks the failures of the workers of a shard and of the jobs that run on them.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    opt: Options,
    workers: BTreeMap<WorkerId, Counts>,
    jobs: HashMap<JobId, Job>,
}

impl HealthTracker {
    /// Returns a tracker without workers and jobs.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        Self { opt, ..Self::default() }
    }

    /// Adds a worker, so that it counts toward the fraction of workers that may be quarantined.
    pub fn add(&mut self, worker: &str) {
        self.workers.entry(worker.to_owned()).or_default();
    }

    /// Records the end of a task. `ok` is whether it succeeded.
    pub fn record_end(&mut self, worker: &WorkerId, job: JobId, ok: bool, now: Duration) {
        let decay = self.opt.decay;
        let counts = self.workers.entry(worker.clone()).or_default();
        counts.ended = counts.ended * decay + 1.0;
        counts.failed *= decay;
        if ok {
            counts.quarantined_at = None;
            self.jobs.entry(job).or_default().succeeded = true;
        } else {
            self.record_failure(worker, job, now);
        }
    }

    fn record_failure(&mut self, worker: &WorkerId, job: JobId, now: Duration) {
        let j = self.jobs.entry(job).or_default();
        if !j.failed_on.contains(worker) {
            j.failed_on.push(worker.clone());
        }
        if !j.succeeded && j.failed_on.len() >= self.opt.job_workers {
            let attributed = std::mem::take(&mut j.attributed);
            self.remove_attributed(&attributed);
            return;
        }
        match j.attributed.iter_mut().find(|(w, _)| w == worker) {
            Some((_, n)) => *n += 1,
            None => j.attributed.push((worker.clone(), 1)),
        }
        if let Some(c) = self.workers.get_mut(worker) {
            c.failed += 1.0;
        }
        self.update_quarantine(worker, now);
    }

    /// Removes failures that were attributed to workers from their counts, once the job itself counts as faulty.
    fn remove_attributed(&mut self, attributed: &[(WorkerId, u32)]) {
        for (worker, n) in attributed {
            if let Some(c) = self.workers.get_mut(worker) {
                c.failed = (c.failed - f64::from(*n)).max(0.0);
                if c.failed < self.opt.min_failures {
                    c.quarantined_at = None;
                }
            }
        }
    }

    fn update_quarantine(&mut self, worker: &WorkerId, now: Duration) {
        let others_rate = self.rate_of_others(worker);
        let quarantined = self.workers.values().filter(|c| c.quarantined_at.is_some()).count();
        let Some(c) = self.workers.get(worker) else { return };
        let suspect = c.failed >= self.opt.min_failures
            && c.rate() >= self.opt.min_rate
            && c.rate() >= self.opt.ratio * others_rate;
        let already_quarantined = c.quarantined_at.is_some();
        let to_quarantine =
            already_quarantined || (suspect && self.may_quarantine(quarantined + 1));
        if let Some(c) = self.workers.get_mut(worker).filter(|_| to_quarantine) {
            c.quarantined_at = Some(now);
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "a shard has few workers")]
    fn may_quarantine(&self, n: usize) -> bool {
        n as f64 <= (self.workers.len() as f64 * self.opt.max_fraction).max(1.0)
    }

    fn rate_of_others(&self, worker: &WorkerId) -> f64 {
        let others = self.workers.iter().filter(|(w, _)| *w != worker).map(|(_, c)| c);
        let (ended, failed) = others.fold((0.0, 0.0), |(e, f), c| (e + c.ended, f + c.failed));
        if ended > 0.0 { failed / ended } else { 0.0 }
    }

    /// Returns whether the worker may get tasks at `now`. An unknown worker is healthy.
    #[must_use]
    pub fn worker_health(&self, worker: &str, now: Duration) -> WorkerHealth {
        match self.workers.get(worker).and_then(|c| c.quarantined_at) {
            None => WorkerHealth::Healthy,
            Some(at) if now >= at.saturating_add(self.opt.quarantine) => WorkerHealth::Probation,
            Some(_) => WorkerHealth::Quarantined,
        }
    }

    /// Whether the job itself is faulty: it failed on [`Options::job_workers`] workers and succeeded on none.
    #[must_use]
    pub fn is_job_faulty(&self, job: JobId) -> bool {
        let faulty = |j: &Job| !j.succeeded && j.failed_on.len() >= self.opt.job_workers;
        self.jobs.get(&job).is_some_and(faulty)
    }

    /// The workers on which the job failed.
    #[must_use]
    pub fn failed_on(&self, job: JobId) -> &[WorkerId] {
        self.jobs.get(&job).map_or(&[], |j| &j.failed_on)
    }

    /// Removes the records of a job.
    pub fn forget_job(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }
}
