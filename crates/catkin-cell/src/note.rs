//! What the owner of a cell decided or came to believe, for logs and metrics.

use crate::job::State;
use crate::task::{StepRef, Task};
use crate::worker::No;
use catkin_types::JobId;
use std::time::Duration;

/// One thing that was decided or seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// Tasks of a step were ordered to start.
    Started {
        /// The step.
        step: StepRef,
        /// The highest run of the tasks.
        run: u32,
        /// How many tasks.
        tasks: usize,
        /// How many workers they are on.
        workers: usize,
        /// Whether nothing of the job had started before.
        first: bool,
        /// The time since the job was accepted.
        age: Duration,
        /// What the job had left to start this step in time; nothing if it was late.
        slack: Duration,
        /// The part of the age for which the adviser was asked about this step.
        advice: Duration,
    },
    /// A task, or a gang by one of its members, failed.
    Failed {
        /// The task.
        task: Task,
        /// The number of its start.
        run: u32,
        /// The worker.
        worker: No,
        /// How often it has failed.
        times: u32,
        /// How often it may.
        most: u32,
    },
    /// A task is gone without an end of its own, with its worker, its lease or its order.
    Lost {
        /// The task.
        task: Task,
        /// The worker.
        worker: No,
    },
    /// The members of a gang did not come together.
    GangGivenUp(StepRef),
    /// A job is at its end, which is not durable yet.
    Ended {
        /// The job.
        job: JobId,
        /// Its end.
        state: State,
        /// The time since it was accepted.
        age: Duration,
        /// Whether it is late.
        late: bool,
    },
    /// A worker gets no more work because of what it failed, or gets some again.
    LeftOut {
        /// The worker.
        worker: No,
        /// Whether it is left out now.
        out: bool,
    },
}
