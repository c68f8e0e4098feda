//! Jobs as they are accepted and stored.

use crate::progress::{self, MAX_PROGRESS_BYTES};
use crate::queue::Policy;
use catkin_types::Resources;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A job as it was accepted. Only `cancelled` changes afterwards.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Job {
    /// The name of the queue that the job was submitted to.
    pub queue: String,
    /// The service whose workers ran the queue's tasks when the job was accepted.
    pub service: String,
    /// The specification that workers interpret, the same for all tasks.
    pub spec: Arc<str>,
    /// In order: a step can only depend on earlier ones.
    pub steps: Vec<Step>,
    /// When the job was accepted, in milliseconds on the clock of the table service.
    pub accepted_ms: u64,
    /// Set by a caller's cancellation.
    #[serde(skip_serializing_if = "is_default")]
    pub cancelled: bool,
    /// The settings of the queue when the job was accepted; absent if an earlier version accepted it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub policy: Option<Policy>,
    /// When the job runs; absent if it runs once, at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// The schedule of a job that runs repeatedly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub count: u32,
}

/// A step of a job: a number of tasks of the same kind.
#[expect(clippy::struct_excessive_bools, reason = "the properties are independent")]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks, at least 1.
    pub count: u32,
    /// The resources that each task needs.
    pub size: Resources,
    /// The estimated run time of a task, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// The earlier steps that must end before this one starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints from which they can resume.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpointing: bool,
    /// Whether the tasks only make progress while all of them run.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks run faster if they share one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// The rack on which the tasks run faster.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near: Option<String>,
    /// Upper bound on the tasks of this step on one worker; 0 means no bound.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Whether the tasks use processors that are left over: none are reserved for them.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
}

/// Upper bound on the tasks of each occurrence of a job.
pub const MAX_TASKS: u64 = 5_000;
/// Upper bound on the tasks of all occurrences of a job, which its owner holds in memory until the job ends.
pub const MAX_SCHEDULED_TASKS: u64 = 100_000;
/// Upper bound on the length of the specification, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

impl Job {
    /// Checks that the job can run: it has steps, each with at least one task and depending on earlier steps only.
    ///
    /// # Errors
    /// The job is not valid; the message for the caller says why.
    pub fn validate(&self) -> Result<(), String> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(format!("the spec has more than {MAX_SPEC_BYTES} bytes"));
        }
        if self.steps.is_empty() {
            return Err("the job has no step".into());
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks > MAX_TASKS {
            return Err(format!("the job has more than {MAX_TASKS} tasks"));
        }
        if progress::max_bytes(&self.steps) > MAX_PROGRESS_BYTES {
            return Err("the job has too many steps and tasks for its progress to be stored".into());
        }
        let occurrences = self.schedule.map_or(1, |s| u64::from(s.count));
        if tasks * occurrences > MAX_SCHEDULED_TASKS {
            let why =
                format!("the job has more than {MAX_SCHEDULED_TASKS} tasks in all occurrences");
            return Err(why);
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
    /// Returns how many tasks of the step one worker may have.
    pub(crate) fn task_limit(&self) -> u32 {
        if self.max_per_worker > 0 { self.max_per_worker } else { u32::MAX }
    }

    /// Returns the resources that a task reserves on a worker.
    #[must_use]
    pub fn demand(&self) -> Resources {
        if self.fills { Resources { cpu_milli: 0, ..self.size } } else { self.size }
    }
}

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum State {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// Every task has ended successfully.
    #[display("completed")]
    Completed,
    /// A task has failed as often as the queue allows.
    #[display("failed")]
    Failed,
    /// A caller has cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Returns whether the state can no longer change.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

fn is_default<T: Default + PartialEq>(x: &T) -> bool {
    *x == T::default()
}
