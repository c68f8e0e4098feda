//! Why an owner declines an operation.

use catkin_types::{TaskId, WorkerId};

/// The reason a start was declined.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// The task is not waiting: it runs, it ended, or it may run on a worker that was not heard yet.
    #[display("task {_0} is not waiting")]
    NotWaiting(#[error(not(source))] TaskId),
    /// The worker is not claimed in this term.
    #[display("worker {_0} is not claimed")]
    NotClaimed(#[error(not(source))] WorkerId),
    /// The task does not fit into what is left of the worker.
    #[display("worker {_0} has no room")]
    InsufficientCapacity(#[error(not(source))] WorkerId),
}
