//! Workers, their reports and answers, and their state at the owner.

mod assignment;
mod index;
mod report;
mod state;

pub(crate) use assignment::{Assignment, CountedCrash, Phase, Receipt, UnacknowledgedEnd, Victim};
pub use index::WorkerIndex;
pub(crate) use index::WorkerSet;
pub use report::{EndReason, Reply, RunningTask, TaskEnd, WorkerInfo, WorkerReport};
pub(crate) use state::{Worker, slowest};

use std::time::Duration;

/// Returns `d` in whole milliseconds.
#[must_use]
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
