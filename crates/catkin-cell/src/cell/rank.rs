//! The order in which waiting steps get room.

use super::Cell;
use crate::task::StepRef;
use std::cmp::Ordering;
use std::time::Duration;

/// Whether a job can still end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// The job can end within its objective.
    InTime,
    /// The job can't end in time, but its end still counts.
    Late,
    /// The job is so late that its end no longer counts.
    Expired,
}

/// The end of a job counts until this many times its objective has passed.
const LATE_FACTOR: u32 = 3;

/// The position of a waiting step. The smallest rank is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rank {
    timeliness: Timeliness,
    /// 1 for steps in time of queues that are not urgent, which urgent steps may delay; 0 for all others.
    not_urgent: u32,
    /// The remaining work of a late job; 0 for one that can end in time.
    work: u64,
    /// The latest start with which the job ends in time.
    latest_start: Duration,
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |r: &Self| (r.timeliness, r.not_urgent, r.work, r.latest_start);
        key(self).cmp(&key(other))
    }
}

impl Cell {
    pub(super) fn rank(&self, r: StepRef, now: Duration) -> Rank {
        let last = Rank {
            timeliness: Timeliness::Expired,
            not_urgent: 0,
            work: 0,
            latest_start: Duration::MAX,
        };
        let Some(j) = self.jobs.get(&r.job) else { return last };
        let Some(step) = j.step(r) else { return last };
        let latest_start = j.deadline.saturating_sub(step.critical_path);
        let objective = j.deadline.saturating_sub(j.accepted_at);
        let last_useful_end = j.accepted_at.saturating_add(objective.saturating_mul(LATE_FACTOR));
        let timeliness = if now <= latest_start {
            Timeliness::InTime
        } else if now.saturating_add(step.critical_path) <= last_useful_end {
            Timeliness::Late
        } else {
            Timeliness::Expired
        };
        let step_def = j.job.steps.get(r.step as usize);
        let task_work = step_def.map_or(0, |k| k.size.cpu_milli.saturating_mul(k.estimate_ms));
        let work = task_work.saturating_mul(step.remaining as u64);
        let urgent = self.queues.get(&j.job.queue).is_some_and(|q| q.priority == 0);
        match timeliness {
            Timeliness::InTime => {
                Rank { timeliness, not_urgent: u32::from(!urgent), work: 0, latest_start }
            }
            Timeliness::Late | Timeliness::Expired => {
                Rank { timeliness, not_urgent: 0, work, latest_start }
            }
        }
    }
}
