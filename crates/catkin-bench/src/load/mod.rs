//! An owner under load, in simulated time: jobs that arrive, an adviser that is the bottleneck, workers that fill up.
//!
//! Decisions are those of [`catkin_cell::Cell`] and [`catkin_node::advice::Dispatcher`]. The same seed gives the same
//! outcome.

mod fleet;
mod workload;
mod world;

pub use workload::{Class, ENTRIES, GANGS, SHARES};

use std::time::Duration;

/// A time in which the jobs of one class arrive more often.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// The index of the class.
    pub class: usize,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
    /// The factor by which more jobs arrive.
    pub factor: f64,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of workers, all of the same size.
    pub workers: usize,
    /// The number of daemons that call the adviser.
    pub daemons: u16,
    /// How long jobs arrive. The simulation goes on for as long again, so that they can end.
    pub arrivals: Duration,
    /// The classes of jobs.
    pub classes: Vec<Class>,
    /// The bursts.
    pub bursts: Vec<Burst>,
    /// When the owner is lost and another one begins.
    pub takeovers: Vec<Duration>,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            workers: 350,
            daemons: 36,
            arrivals: Duration::from_secs(40),
            classes: vec![GANGS, SHARES, ENTRIES],
            bursts: Vec::new(),
            takeovers: Vec::new(),
            seed: 1,
        }
    }
}

/// How the jobs of one class were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Jobs that arrived.
    pub jobs: u32,
    /// Jobs that ended within their objective.
    pub in_time: u32,
    /// Jobs that ended later, and within three times their objective.
    pub late: u32,
    /// The value of the jobs that arrived.
    pub owed: f64,
    /// The value of the jobs that ended; late ones count for a fifth.
    pub earned: f64,
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// For each class.
    pub classes: Vec<Served>,
    /// The adviser's time, summed over all calls.
    pub advice_time: Duration,
    /// The share of the processors of all workers that ran tasks while jobs arrived.
    pub utilization: f64,
}

impl Outcome {
    /// Returns the share of the owed value that was earned.
    #[must_use]
    pub fn worth(&self) -> f64 {
        let sum = |f: fn(&Served) -> f64| self.classes.iter().map(f).sum::<f64>();
        sum(|c| c.earned) / sum(|c| c.owed)
    }
}

/// Returns a load that passes the capacity for a while: the workers are fewer than it needs on average, and two bursts
/// come.
#[must_use]
pub fn overload(seed: u64) -> Options {
    let burst = |class, from_s, factor| {
        let from = Duration::from_secs(from_s);
        Burst { class, from, until: from + Duration::from_secs(4), factor }
    };
    Options {
        workers: 280,
        bursts: vec![burst(2, 6, 1.9), burst(0, 18, 1.8)],
        seed,
        ..Options::default()
    }
}

/// Runs the simulation.
#[must_use]
pub fn play(opt: &Options) -> Outcome {
    world::World::new(opt).run()
}
