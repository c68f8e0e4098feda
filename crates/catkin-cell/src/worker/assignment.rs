//! Tasks that take room on a worker, and what is left of them when the worker is lost.

use crate::task::Task;
use catkin_types::{Incarnation, JobId, Resources};
use std::time::Duration;

/// The phase of an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Room is reserved and no order was sent.
    Reserved,
    /// The order to start was sent.
    Starting,
    /// The task runs.
    Running,
    /// The order to start got no answer.
    Unknown,
    /// The task has to stop.
    Stopping,
}

/// A task that takes room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub run: u32,
    pub demand: Resources,
    pub phase: Phase,
    /// When the phase began, or when its last order was sent.
    pub since: Duration,
    /// The worker may still carry out an unanswered order to start until this time, on its clock; 0 if the order had a
    /// lower token than the polls that are sent now.
    pub start_by_ms: u64,
    /// From then on the order to start arrives nowhere: it was answered, or the time for that is over.
    pub settled_at: Duration,
    /// Whether the worker has listed the task.
    pub reported: bool,
    /// Whether the worker has listed the task or answered that it started it.
    pub has_run: bool,
    /// When the order to start was sent; absent if there was none in the worker's current incarnation.
    pub started_at: Option<Duration>,
    /// When the order to stop was answered.
    pub stop_acked_at: Option<Duration>,
    pub expected_end: Duration,
}

/// Whether a worker that was lost had received an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Receipt {
    /// The worker has answered or has listed the task.
    Certain,
    /// The worker was heard shortly before the order was sent.
    Probable,
    /// The worker may have crashed before.
    Doubtful,
}

/// A task that may have run on a worker that was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Victim {
    pub task: Task,
    pub run: u32,
    pub receipt: Receipt,
    /// Whether the task had just started when the worker was last heard.
    pub is_fresh: bool,
    /// Whether the worker was kept for the task.
    pub on_trial: bool,
}

impl Victim {
    /// Returns whether the task may have caused the crash.
    pub(crate) fn is_blamed(&self) -> bool {
        self.on_trial || self.is_fresh
    }
}

/// A crash of a worker, and the tasks for which it was counted.
#[derive(Clone, Debug)]
pub(crate) struct CountedCrash {
    /// The incarnation that ended.
    pub incarnation: Incarnation,
    pub victims: Vec<Victim>,
}

/// An end that has not been acknowledged, and the version of its job that has to be durable before it may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnacknowledgedEnd {
    pub number: u64,
    pub required_version: Option<(JobId, u64)>,
}
