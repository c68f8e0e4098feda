//! What workers say: their entries in the list, their reports, and their answers to orders.

use crate::task::Task;
use catkin_types::{Incarnation, Resources, WorkerId, Zone};

/// The entry of a worker in the list of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerInfo {
    /// Unique among the workers of the cell.
    pub id: WorkerId,
    /// Where the worker takes calls.
    pub addr: String,
    /// The incarnation of the worker, identified by its start time; 0 if unknown.
    pub incarnation: Incarnation,
    /// The service whose tasks the worker runs.
    pub service: String,
    /// The availability zone of the worker.
    pub zone: Zone,
    /// The rack of the worker.
    pub rack: String,
    /// Labels that steps may require.
    pub labels: Vec<String>,
    /// The total resources for tasks.
    pub capacity: Resources,
    /// Whether the worker is about to leave and gets no new tasks.
    pub draining: bool,
}

/// The answer of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// The incarnation of the worker; 0 if unknown.
    pub incarnation: Incarnation,
    /// The tasks that run on the worker.
    pub running: Vec<RunningTask>,
    /// The ends that have not been acknowledged.
    pub ended: Vec<TaskEnd>,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunningTask {
    /// The task that runs.
    pub task: Task,
    /// The run number of its start.
    pub run: u32,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The estimated progress, in percent.
    pub percent: f64,
}

/// The end of a task on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEnd {
    /// The number of the end, which rises from 1 in each incarnation of the worker.
    pub number: u64,
    /// The task that ended.
    pub task: Task,
    /// The run number of its start.
    pub run: u32,
    /// Why the task ended.
    pub reason: EndReason,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The task succeeded.
    Done,
    /// The task failed, because of itself or of the worker.
    Failed,
    /// An order to stop ended the task.
    Stopped,
    /// The lease of the worker ran out.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// Not all members of the gang started in time.
    GangTimedOut,
}

/// The answer of a worker to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The order was carried out.
    Done,
    /// The worker has had an order of a later owner, with a higher epoch.
    Fenced,
    /// The worker has already had a run of the task with the same or a higher number.
    Old,
    /// The order arrived after its deadline.
    Late,
    /// The worker does not have enough room.
    Full,
    /// The ticket is not valid.
    Ticket,
    /// Another worker has the address of the one that the order is meant for.
    OtherLife,
    /// The worker did nothing, or the order was never sent.
    NotRun,
    /// The order may have been carried out, or may still be carried out later.
    Unknown,
}
