//! A job as it was accepted.

use catkin_types::Resources;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What was accepted. Only `cancelled` ever changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Job {
    /// The name of the queue that it was handed in at.
    pub queue: String,
    /// The service whose workers ran the queue's work when it was accepted.
    pub service: String,
    /// What its tasks are told to do.
    pub spec: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// When it was accepted, in milliseconds on the clock of the table service.
    pub accepted_ms: u64,
    /// Whether it was cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub cancelled: bool,
    /// When it runs, if it runs at set times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// The set times of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When it is due for the first time, in milliseconds since 1970.
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// How many times it runs.
    pub count: u32,
}

/// Tasks of one kind.
#[expect(clippy::struct_excessive_bools, reason = "each is a property of its own")]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each task takes.
    pub size: Resources,
    /// About how long a task runs, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// The earlier steps that must have ended.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpointing: bool,
    /// Whether the tasks work only all together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are faster on one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack on which the tasks are faster.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near: Option<String>,
    /// How many tasks of the step one worker may have, 0 for any number.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Whether the processors that the tasks ask for are not set aside for them.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
}

/// A job has at most this many tasks for each time that it runs, so that its progress fits one row.
pub const MOST_TASKS: u64 = 5_000;
/// The longest text that tasks are told, in bytes.
pub const MOST_SPEC: usize = 4_000;

impl Job {
    /// Whether the job can be: it has steps, each with tasks and after earlier steps only.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        if self.spec.len() > MOST_SPEC {
            return Err(format!("the spec has more than {MOST_SPEC} bytes"));
        }
        if self.steps.is_empty() {
            return Err("the job has no step".into());
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks > MOST_TASKS {
            return Err(format!("the job has more than {MOST_TASKS} tasks"));
        }
        for (n, step) in (0u32..).zip(&self.steps) {
            if step.count == 0 {
                return Err(format!("step {n} has no task"));
            }
            if let Some(after) = step.after.iter().find(|a| **a >= n) {
                return Err(format!("step {n} comes after step {after}, which is not earlier"));
            }
        }
        Ok(())
    }
}

impl Step {
    /// What a task takes of a worker's room.
    #[must_use]
    pub fn room(&self) -> Resources {
        if self.fills { Resources { cpu_milli: 0, ..self.size } } else { self.size }
    }
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum State {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// Every task has ended well.
    #[display("completed")]
    Completed,
    /// A task has failed as often as the queue allows.
    #[display("failed")]
    Failed,
    /// A caller has cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Whether it stays so.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

fn is_default<T: Default + PartialEq>(x: &T) -> bool {
    *x == T::default()
}
