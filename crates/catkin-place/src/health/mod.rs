//! Which workers fail what they start, and which jobs fail wherever they start.

use catkin_types::{JobId, WorkerId};
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The settings of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Options {
    /// How many failures, old ones counting less, it takes before a worker is suspected: three in a row are 2.85.
    pub min_failures: f64,
    /// How many times the fleet's failure rate is suspect.
    pub ratio: f64,
    /// The least failure rate that is suspect.
    pub min_rate: f64,
    /// The largest part of the workers that may be quarantined.
    pub max_fraction: f64,
    /// How long a worker is quarantined before it is tried with one task.
    pub quarantine: Duration,
    /// On how many workers a job has to fail, with no success, before it is blamed.
    pub job_workers: usize,
    /// What is left of old counts at each new one.
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

/// Whether a worker gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerHealth {
    /// It does.
    Healthy,
    /// It gets none.
    Quarantined,
    /// It gets one task at a time.
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

/// Failures of the workers of a shard and of the jobs on them.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    opt: Options,
    workers: BTreeMap<WorkerId, Counts>,
    jobs: HashMap<JobId, Job>,
}

impl HealthTracker {
    /// Nothing seen yet.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        Self { opt, ..Self::default() }
    }

    /// Makes a worker known, so that it counts in the fraction that may be quarantined.
    pub fn add(&mut self, worker: &str) {
        self.workers.entry(worker.to_owned()).or_default();
    }

    /// Notes the end of a task.
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

    /// Takes back the failures that turned out to be the job's own.
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

    /// Whether the worker gets work at `now`.
    #[must_use]
    pub fn worker_health(&self, worker: &str, now: Duration) -> WorkerHealth {
        match self.workers.get(worker).and_then(|c| c.quarantined_at) {
            None => WorkerHealth::Healthy,
            Some(at) if now >= at.saturating_add(self.opt.quarantine) => WorkerHealth::Probation,
            Some(_) => WorkerHealth::Quarantined,
        }
    }

    /// Whether the job failed on so many workers, and succeeded on none, that it is to blame.
    #[must_use]
    pub fn is_job_faulty(&self, job: JobId) -> bool {
        let faulty = |j: &Job| !j.succeeded && j.failed_on.len() >= self.opt.job_workers;
        self.jobs.get(&job).is_some_and(faulty)
    }

    /// On which workers the job failed.
    #[must_use]
    pub fn failed_on(&self, job: JobId) -> &[WorkerId] {
        self.jobs.get(&job).map_or(&[], |j| &j.failed_on)
    }

    /// Drops what is known of a job.
    pub fn forget_job(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }
}
