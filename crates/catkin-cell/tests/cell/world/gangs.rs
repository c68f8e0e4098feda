//! Gangs at the workers: members wait for each other, work together and end together.

use super::World;
use crate::worker::GANG_WAIT;
use catkin_cell::worker::EndReason;
use catkin_cell::{StepRef, Task};
use std::collections::BTreeMap;

/// The members of one run of a gang that are on workers, with the number of the worker.
type Members = Vec<(usize, Task)>;

impl World {
    /// Starts the work of complete gangs, and ends members that have waited too long or whose gang is broken.
    pub(super) fn advance_gangs(&mut self) {
        let mut gangs: BTreeMap<(StepRef, u32), Members> = BTreeMap::new();
        for (n, w) in self.workers.iter().enumerate() {
            for (task, r) in w.running.iter().filter(|(t, _)| self.is_gang_task(**t)) {
                gangs.entry((task.step, r.number)).or_default().push((n, *task));
            }
        }
        for ((r, run), members) in gangs {
            let count = self.accepted[&r.job].steps[r.step as usize].count as usize;
            let works = |(n, task): &(usize, Task)| {
                self.workers[*n].running.get(task).is_some_and(|r| r.waits_with.is_none())
            };
            let begun = members.iter().any(works);
            match (begun, members.len() == count) {
                (false, true) => self.begin_gang(&members),
                (true, false) => self.end_members(&members[..1], run, EndReason::GangMemberEnded),
                (false, false) => self.time_out(&members, run),
                (true, true) => {}
            }
        }
    }

    fn begin_gang(&mut self, members: &Members) {
        let (n, task) = members[0];
        let work = self.workers[n].running[&task].waits_with.unwrap_or_default();
        let ends = self.now + work;
        for (n, task) in members {
            let Some(r) = self.workers[*n].running.get_mut(task) else { continue };
            r.waits_with = None;
            r.ends = r.ends.min(ends);
        }
    }

    fn time_out(&mut self, members: &Members, run: u32) {
        let waited = |(n, task): &&(usize, Task)| {
            self.workers[*n].running.get(task).is_some_and(|r| self.now > r.began + GANG_WAIT)
        };
        let waited: Members = members.iter().filter(waited).copied().collect();
        self.end_members(&waited, run, EndReason::GangTimedOut);
    }

    fn end_members(&mut self, members: &[(usize, Task)], run: u32, reason: EndReason) {
        for (n, task) in members {
            let mut facts = Vec::new();
            self.workers[*n].end_gang_member(*task, run, reason, &mut facts);
            self.record_facts(*n, facts);
        }
    }
}
