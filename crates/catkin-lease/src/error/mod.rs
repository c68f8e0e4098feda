//! Errors of [`crate::owner::Owner`].

use catkin_types::{TaskId, WorkerId};

/// Why [`crate::owner::Owner::start`] rejected a task.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// The task is unknown, runs, has ended, or may still run on a worker that has not answered since the takeover.
    #[display("task {_0} is not waiting")]
    NotWaiting(#[error(not(source))] TaskId),
    /// The worker is not claimed in this term, or it is leaving.
    #[display("worker {_0} is not claimed")]
    NotClaimed(#[error(not(source))] WorkerId),
    /// The task does not fit into the free capacity of the worker, or may still run there.
    #[display("worker {_0} has not enough free capacity")]
    InsufficientCapacity(#[error(not(source))] WorkerId),
}
