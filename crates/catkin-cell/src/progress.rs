//! What is kept of a job beside what was accepted: runs, ends, failures, and where its tasks may be.

use catkin_types::WorkerId;
use serde::{Deserialize, Serialize};

/// The durable progress of a job, one entry for each step of each occurrence that has begun.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// Occurrence by occurrence, step by step.
    pub steps: Vec<StepProgress>,
}

/// The durable progress of a step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// The tasks that have ended well.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// The tasks that have failed. A gang counts under 0.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<Failures>,
    /// No run above this has been ordered.
    #[serde(skip_serializing_if = "is_zero")]
    pub run: u32,
    /// The only workers that tasks may have been started on.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<WorkerId>,
}

/// How often a task has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// The index of the task.
    pub index: u32,
    /// How often.
    pub times: u32,
    /// The newest run that was counted: a worker may list its end again.
    pub run: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_zero(x: &u32) -> bool {
    *x == 0
}
