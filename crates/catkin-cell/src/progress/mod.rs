//! The durable progress of a job: run numbers, ends, failures, and the workers where its tasks may run.

mod ranges;
mod wire;

use crate::job::Step;
use catkin_types::WorkerId;
use serde::{Deserialize, Serialize};

/// The durable progress of a job, with one entry for each step of each occurrence that has begun.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "wire::ProgressWire", into = "wire::ProgressWire")]
pub struct Progress {
    /// Ordered by occurrence, then by step.
    pub steps: Vec<StepProgress>,
}

/// The durable progress of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepProgress {
    /// Whether all tasks have ended successfully. Then all other fields but `done` are empty.
    pub complete: bool,
    /// The tasks that have ended successfully; empty if the step was read as complete.
    pub done: Vec<u32>,
    /// The tasks that have failed. Failures of a gang are counted under task 0.
    pub failed: Vec<Failures>,
    /// The tasks under which workers have crashed.
    pub crashed: Vec<Crashes>,
    /// The highest run number that may have been ordered.
    pub run: u32,
    /// The workers on which tasks may have been started; there are no others.
    pub on: Vec<WorkerId>,
}

/// The failures of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// The index of the task in its step.
    pub index: u32,
    /// How often the task has failed.
    pub times: u32,
    /// The newest run whose failure was counted. A worker may list the same end again, which must not be counted twice.
    pub run: u32,
}

/// The workers that crashed under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crashes {
    /// The index of the task in its step.
    pub index: u32,
    /// The number of workers.
    pub count: CrashCount,
}

/// The number of workers that crashed under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashCount {
    /// Those that crashed when the task had just started or was kept apart from others.
    pub blamed: u32,
    /// Those that crashed later in its run, and that another task may have crashed.
    pub beside: u32,
}

impl CrashCount {
    /// Returns the number of all workers that crashed under the task.
    #[must_use]
    pub fn total(self) -> u32 {
        self.blamed.saturating_add(self.beside)
    }
}

/// The largest stored progress of a job, in bytes. A row of the table service holds 65,536, and
/// the rest is left for crashes.
pub const MAX_PROGRESS_BYTES: usize = 60_000;

/// The part of [`MAX_PROGRESS_BYTES`] for the names of workers.
const WORKERS_BYTES: usize = 10_000;
/// The bytes of a step beside its tasks and workers.
const STEP_BYTES: usize = 56;
/// The bytes of the index of a task.
const TASK_BYTES: usize = 5;
/// The bytes of a group of tasks that failed equally often, last in the same run.
const GROUP_BYTES: usize = 20;
/// The number of such groups of a step that is expected at most.
const MAX_GROUPS: usize = 8;
/// The bytes of a range of workers.
const WORKER_RANGE_BYTES: usize = 10;
/// The largest number of ranges of workers of a step.
const MAX_WORKER_RANGES: usize = 4;

/// Returns the largest size of the stored progress of these steps, in bytes, while they have not ended.
pub(crate) fn max_bytes<'a>(open_steps: impl IntoIterator<Item = &'a Step>) -> usize {
    let step_bytes = |step: &Step| {
        let count = usize::try_from(step.count).unwrap_or(usize::MAX);
        STEP_BYTES
            .saturating_add(count.saturating_mul(TASK_BYTES))
            .saturating_add(count.min(MAX_GROUPS) * GROUP_BYTES)
            .saturating_add(count.min(MAX_WORKER_RANGES) * WORKER_RANGE_BYTES)
    };
    open_steps.into_iter().map(step_bytes).fold(WORKERS_BYTES, usize::saturating_add)
}
