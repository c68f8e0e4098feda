//! Which step and which task.

use catkin_types::JobId;

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepRef {
    /// The job.
    pub job: JobId,
    /// Which time the job runs, from 0.
    pub occurrence: u32,
    /// The number of the step in the job, from 0.
    pub step: u32,
}

/// One task of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Task {
    /// The step.
    pub step: StepRef,
    /// The number of the task in the step, from 0.
    pub index: u32,
}

impl StepRef {
    /// A task of this step.
    #[must_use]
    pub const fn task(self, index: u32) -> Task {
        Task { step: self, index }
    }
}
