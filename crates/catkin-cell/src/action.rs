//! Actions that the owner of a cell requests from its caller, and rows that it reads and writes.

use crate::job::{Job, State};
use crate::progress::Progress;
use crate::task::{StepRef, Task};
use crate::worker::WorkerIndex;
use catkin_types::{FencingToken, JobId, WorkerId};
use std::sync::Arc;
use std::time::Duration;

/// A side effect for the caller of [`Cell`](crate::Cell) to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a task.
    Start(Start),
    /// Stop a task.
    Stop(Stop),
    /// Ask the adviser which workers may run a step.
    RequestAdvice(AdviceRequest),
    /// Poll a worker now, in addition to the long poll that may be pending there.
    Poll(WorkerIndex),
    /// Stop acting as the owner: another daemon owns the cell with a higher epoch.
    StepDown,
}

/// An order to a worker to start a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The worker that the order goes to.
    pub worker: WorkerIndex,
    /// The token for the incarnation of the worker that the order is meant for. A later one refuses the order once it has
    /// seen a higher token.
    pub token: FencingToken,
    /// The task to start.
    pub task: Task,
    /// The run number of this start. It rises with each start of the task.
    pub run: u32,
    /// The job's specification, which the worker interprets.
    pub spec: Arc<str>,
    /// The worker refuses the order from this time on, in milliseconds on the worker's clock.
    pub start_by_ms: u64,
    /// The adviser's ticket for this worker; absent if the queue needs no advice.
    pub ticket: Option<String>,
    /// The checkpoint to resume from; absent if the task starts from the beginning.
    pub checkpoint: Option<String>,
}

/// An order to a worker to stop a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// The worker that the order goes to.
    pub worker: WorkerIndex,
    /// The token for the incarnation of the worker that the order is meant for.
    pub token: FencingToken,
    /// The task to stop.
    pub task: Task,
    /// The run number of the start to stop.
    pub run: u32,
}

/// A request to the adviser: which of these workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// The step that waits for workers.
    pub step: StepRef,
    /// The workers that the adviser is asked to assess.
    pub workers: Vec<WorkerId>,
    /// How long the adviser is expected to need for the call.
    pub cost: Duration,
    /// The latest start of the step with which its job ends in time, on the owner's clock. Requests with the smallest
    /// value are sent first.
    pub latest_start: Duration,
}

/// A row of a job to write to the table.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// The progress of a job that has not ended.
    Progress(JobId, Progress),
    /// The final state of a job that has ended.
    Ended(JobId, State),
}

/// A job as it is read back from the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredJob {
    /// The job as it was accepted.
    pub job: Job,
    /// The progress that is stored beside the job.
    pub progress: Progress,
}
