//! Generated jobs.

use catkin_cell::job::{Job, Step};
use catkin_cell::queue::{AdviceSettings, Queue};
use catkin_types::Resources;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;

/// A class of jobs, each in a queue of its own.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// The name of its queue.
    pub name: &'static str,
    /// 0 is the most urgent priority.
    pub priority: u32,
    /// Jobs that arrive each second, on average.
    pub per_second: f64,
    /// The chance of a further step after each one.
    pub further_step: f64,
    /// The average number of tasks of a step.
    pub width: f64,
    /// Upper bound on the tasks of a step.
    pub max_width: f64,
    /// The average size of a task.
    pub size: Resources,
    /// The average run time of a task, in seconds.
    pub work: f64,
    /// The factor by which estimates are off at most, less one.
    pub estimate_error: f64,
    /// The share of steps that are gangs.
    pub gangs: f64,
    /// The share of tasks that fail.
    pub failures: f64,
    /// The part of the objective that grows with the work, as a multiple of it.
    pub stretch: f64,
    /// The part of the objective that is the same for all jobs.
    pub objective: Duration,
    /// The cost of advice.
    pub advice: AdviceSettings,
    /// The share of workers that may run a step.
    pub eligible: f64,
    /// The value of an average job.
    pub worth: f64,
}

/// How long tickets are valid.
const TICKET_LIFETIME: Duration = Duration::from_millis(2_500);

const fn advice(per_call_us: u64, per_worker_us: u64) -> AdviceSettings {
    AdviceSettings {
        per_call: Duration::from_micros(per_call_us),
        per_worker: Duration::from_micros(per_worker_us),
        ticket_lifetime: TICKET_LIFETIME,
    }
}

/// Wide gangs of large tasks, about which the adviser thinks long.
pub const GANGS: Class = Class {
    name: "gangs",
    priority: 1,
    per_second: 4.3,
    further_step: 0.17,
    width: 20.0,
    max_width: 120.0,
    size: Resources::new(9_000, 17_000, 0),
    work: 4.2,
    estimate_error: 0.5,
    gangs: 1.0,
    failures: 0.005,
    stretch: 2.2,
    objective: Duration::from_millis(1_200),
    advice: advice(559_000, 8_060),
    eligible: 0.35,
    worth: 8.6,
};

/// Wide steps of independent tasks.
pub const SHARES: Class = Class {
    name: "shares",
    priority: 2,
    per_second: 7.2,
    further_step: 0.33,
    width: 25.0,
    max_width: 150.0,
    size: Resources::new(3_500, 3_600, 0),
    work: 2.9,
    estimate_error: 0.9,
    gangs: 0.0,
    failures: 0.05,
    stretch: 4.0,
    objective: Duration::from_secs(3),
    advice: advice(156_000, 2_340),
    eligible: 0.45,
    worth: 3.25,
};

/// Short urgent steps.
pub const ENTRIES: Class = Class {
    name: "entries",
    priority: 0,
    per_second: 80.0,
    further_step: 0.0,
    width: 3.2,
    max_width: 19.0,
    size: Resources::new(5_000, 5_100, 0),
    work: 0.85,
    estimate_error: 0.9,
    gangs: 0.3,
    failures: 0.02,
    stretch: 1.5,
    objective: Duration::from_millis(600),
    advice: advice(14_300, 208),
    eligible: 0.7,
    worth: 0.41,
};

/// The spread of widths, sizes and run times: the standard deviation of their logarithm.
const SPREAD: f64 = 0.5;
/// One task in this many runs much longer than the others.
const STRAGGLER_ONE_IN: u32 = 264;
/// How many times as long.
const STRAGGLER_FACTOR: f64 = 7.0;
/// The tasks of a step differ in run time by this share at most.
const UNEVENNESS: f64 = 0.3;
/// The value of a job grows with its work up to this multiple of the average.
const MAX_WORTH_FACTOR: f64 = 4.0;
/// The number of workers in the call for advice that each step's objective includes.
const OBJECTIVE_ADVICE_WORKERS: usize = 30;

/// A generated job.
pub(super) struct Arrival {
    pub class: usize,
    pub at: Duration,
    pub job: Job,
    /// The run time of each task, by step.
    pub work: Vec<Vec<Duration>>,
    pub objective: Duration,
    pub worth: f64,
}

impl Class {
    pub(super) fn queue(&self) -> Queue {
        Queue {
            service: "service".into(),
            priority: self.priority,
            max_attempts: 3,
            stretch: self.stretch,
            objective: self.objective,
            advice: Some(self.advice),
        }
    }

    pub(super) fn generate(&self, class: usize, at: Duration, rng: &mut StdRng) -> Arrival {
        let mut job = Job { queue: self.name.into(), spec: "spec".into(), ..Job::default() };
        let (mut work, mut chain, mut total) = (Vec::new(), 0.0, 0.0);
        loop {
            let step = self.step(job.steps.len(), rng);
            let base = around(rng, self.work);
            let times: Vec<f64> = (0..step.count).map(|_| task_time(rng, base)).collect();
            let longest = times.iter().copied().fold(0.0, f64::max);
            chain += longest + self.advice.cost(OBJECTIVE_ADVICE_WORKERS).as_secs_f64();
            total += times.iter().sum::<f64>() * as_f64(step.size.cpu_milli) / 1_000.0;
            let error = (1.0 + self.estimate_error).powf(rng.random_range(-1.0..1.0));
            job.steps.push(Step { estimate_ms: as_u64(base * error * 1_000.0), ..step });
            work.push(times.into_iter().map(Duration::from_secs_f64).collect());
            if !rng.random_bool(self.further_step) || job.steps.len() == 4 {
                break;
            }
        }
        let average = self.width * as_f64(self.size.cpu_milli) / 1_000.0 * self.work
            / (1.0 - self.further_step);
        let worth = self.worth * (0.3 + 0.7 * total / average).min(MAX_WORTH_FACTOR);
        let objective = self.objective + Duration::from_secs_f64(chain * self.stretch);
        Arrival { class, at, job, work, objective, worth }
    }

    fn step(&self, number: usize, rng: &mut StdRng) -> Step {
        let after = number.checked_sub(1).and_then(|n| u32::try_from(n).ok());
        let count = around(rng, self.width).clamp(1.0, self.max_width);
        let scale = around(rng, 1.0).min(1.7);
        let size = Resources::new(
            as_u64(as_f64(self.size.cpu_milli) * scale),
            as_u64(as_f64(self.size.memory_mib) * scale),
            0,
        );
        Step {
            count: u32::try_from(as_u64(count)).unwrap_or(1),
            size,
            after: after.into_iter().collect(),
            gang: rng.random_bool(self.gangs),
            ..Step::default()
        }
    }
}

fn task_time(rng: &mut StdRng, base: f64) -> f64 {
    let straggles = rng.random_ratio(1, STRAGGLER_ONE_IN);
    let factor = if straggles { STRAGGLER_FACTOR } else { 1.0 };
    base * factor * rng.random_range(1.0 - UNEVENNESS..1.0 + UNEVENNESS)
}

/// Returns a random number with a log-normal distribution and this mean.
fn around(rng: &mut StdRng, mean: f64) -> f64 {
    // The sum of twelve uniform numbers is close to a normal distribution.
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    mean * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp()
}

#[expect(clippy::cast_precision_loss, reason = "small numbers")]
fn as_f64(n: u64) -> f64 {
    n as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive and small")]
fn as_u64(x: f64) -> u64 {
    x.round() as u64
}
