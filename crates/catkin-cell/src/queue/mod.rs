//! Queues, as the configuration has them.

use std::time::Duration;

/// What the configuration says of one queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// The service whose workers run its work.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task or a gang may fail.
    pub max_attempts: u32,
    /// The part of a job's objective that grows with its work: this many times its longest chain.
    pub stretch: f64,
    /// The part of a job's objective that is the same for all.
    pub objective: Duration,
    /// The cost of advice, if only some workers may run its work.
    pub advice: Option<Advice>,
}

/// What advice on the workers of a queue costs and how long it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Advice {
    /// The time of one call.
    pub call: Duration,
    /// The further time for each worker that is named.
    pub per_worker: Duration,
    /// How long a ticket is valid.
    pub valid: Duration,
}

impl Advice {
    /// The time that a call takes at the adviser.
    #[must_use]
    pub fn cost(&self, workers: usize) -> Duration {
        self.call + self.per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}
