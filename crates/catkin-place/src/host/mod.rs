//! The data of a worker that placement needs.

use catkin_types::{Resources, WorkerId};

/// A worker, its capacity and its usage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Host {
    /// Unique within a pool.
    pub id: WorkerId,
    /// The rack of the worker. Tasks of a service are spread over racks.
    pub rack: String,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// The sum of the sizes that are reserved for its tasks.
    pub declared: Resources,
    /// The recent peak usage of its tasks, with an allowance for the delay of reports.
    pub observed: Resources,
    /// Whether the worker may get new tasks.
    pub open: bool,
}

impl Host {
    /// Returns the resources that are free for new tasks: the capacity less the larger of the reserved and the
    /// observed.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.declared.max(&self.observed))
    }
}
