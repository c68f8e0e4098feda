//! References to steps and tasks.

use catkin_types::JobId;

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepRef {
    /// The identifier under which the job was accepted.
    pub job: JobId,
    /// The occurrence of the job, from 0.
    pub occurrence: u32,
    /// The index of the step in the job, from 0.
    pub step: u32,
}

/// A task of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Task {
    /// The step that the task belongs to.
    pub step: StepRef,
    /// The index of the task in the step, from 0.
    pub index: u32,
}

impl StepRef {
    /// Returns the task of this step with the given index.
    #[must_use]
    pub const fn task(self, index: u32) -> Task {
        Task { step: self, index }
    }
}
