//! The configuration of queues.

mod policy;

pub use policy::{AdvicePolicy, Policy};

use std::time::Duration;

/// The configuration of one queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// The service whose workers run the queue's tasks.
    pub service: String,
    /// 0 is the most urgent priority.
    pub priority: u32,
    /// How often a task or a gang may fail before its job fails.
    pub max_attempts: u32,
    /// The part of a job's objective that grows with its work, as a multiple of its longest chain of steps.
    pub stretch: f64,
    /// The part of a job's objective that is the same for all jobs.
    pub objective: Duration,
    /// Set if only some workers may run the queue's tasks, which the adviser decides.
    pub advice: Option<AdviceSettings>,
}

/// The cost of advice about the workers of a queue, and its validity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdviceSettings {
    /// The fixed time of one call to the adviser.
    pub per_call: Duration,
    /// The additional time for each worker in the call.
    pub per_worker: Duration,
    /// How long a ticket is valid after the adviser issued it.
    pub ticket_lifetime: Duration,
}

impl AdviceSettings {
    /// Returns the time that a call about this many workers takes at the adviser.
    #[must_use]
    pub fn cost(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        self.per_call.saturating_add(self.per_worker.saturating_mul(workers))
    }
}
