//! A worker, as placement sees it.

use catkin_types::{Resources, WorkerId};

/// A worker and what it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Host {
    /// The worker.
    pub id: WorkerId,
    /// Its rack.
    pub rack: String,
    /// What it can hold.
    pub capacity: Resources,
    /// What is set aside for its tasks.
    pub declared: Resources,
    /// What its tasks were seen to use at their recent peak, with an allowance for the lag of reports.
    pub observed: Resources,
    /// Whether it may get new work.
    pub open: bool,
}

impl Host {
    /// What a new task can have: the capacity less the larger of what was declared and what was seen.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.declared.max(&self.observed))
    }
}
