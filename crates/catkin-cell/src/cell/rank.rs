//! In which order steps get room.

use super::Cell;
use crate::task::StepRef;
use std::cmp::Ordering;
use std::time::Duration;

/// The place of a step among those that wait. The least comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rank {
    /// Whether the job can't end in time any more.
    late: bool,
    /// When the step has to start for the job to end in time.
    latest: Duration,
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.late.cmp(&other.late).then(self.latest.cmp(&other.latest))
    }
}

impl Cell {
    pub(super) fn rank(&self, r: StepRef, now: Duration) -> Rank {
        let Some(j) = self.jobs.get(&r.job) else {
            return Rank { late: true, latest: Duration::MAX };
        };
        let tail = j.step(r).map_or(Duration::ZERO, |s| s.tail);
        let latest = j.due.saturating_sub(tail);
        Rank { late: latest < now, latest }
    }
}
