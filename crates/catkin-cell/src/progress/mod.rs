//! The durable progress of a job: run numbers, ends, failures, and the workers where its tasks may run.

use catkin_types::WorkerId;
use serde::{Deserialize, Serialize};

/// The durable progress of a job, with one entry for each step of each occurrence that has begun.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// Ordered by occurrence, then by step.
    pub steps: Vec<StepProgress>,
}

/// The durable progress of a step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// The tasks that have ended successfully.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// The tasks that have failed. Failures of a gang are counted under task 0.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<Failures>,
    /// The highest run number that may have been ordered.
    #[serde(skip_serializing_if = "is_zero")]
    pub run: u32,
    /// The workers on which tasks may have been started; there are no others.
    #[serde(skip_serializing_if = "Vec::is_empty")]
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

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde requires this signature")]
fn is_zero(x: &u32) -> bool {
    *x == 0
}
