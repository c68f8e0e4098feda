//! Gangs whose members were started and do not all run yet.

use super::Cell;
use crate::action::Action;
use crate::event::Event;
use crate::task::StepRef;
use crate::worker::Phase;
use std::time::Duration;

/// A gang that is not complete after this fraction of the time for which its members wait is given up.
const ASSEMBLY_TIMEOUT_FRACTION: f64 = 0.5;

impl Cell {
    /// Gives up gangs that are not complete in time, and stops tracking those that are complete.
    pub(super) fn check_gangs(&mut self, now: Duration, out: &mut Vec<Action>) {
        let timeout = self.assembly_timeout();
        let steps: Vec<StepRef> = self.assembling_gangs.iter().copied().collect();
        for r in steps {
            if self.is_gang_running(r) {
                self.assembling_gangs.remove(&r);
                continue;
            }
            let launched = self.step(r).and_then(|s| s.launched_at);
            if launched.is_none_or(|at| now.saturating_sub(at) >= timeout) {
                self.give_up_gang(r, out);
            }
        }
    }

    /// Returns how long after its start a gang has to be complete.
    pub(super) fn assembly_timeout(&self) -> Duration {
        self.opt.gang_wait.mul_f64(ASSEMBLY_TIMEOUT_FRACTION)
    }

    /// Returns whether every member is known to run or is done.
    fn is_gang_running(&self, r: StepRef) -> bool {
        let Some(step) = self.step(r) else { return true };
        (0..).zip(&step.tasks).all(|(i, t)| {
            let assignment =
                t.assigned_to.and_then(|at| self.worker(at).assignments.get(&r.task(i)));
            t.done || assignment.is_some_and(|h| h.phase == Phase::Running)
        })
    }

    /// Stops every member. The gang is started again once no member is left on a worker.
    pub(super) fn give_up_gang(&mut self, r: StepRef, out: &mut Vec<Action>) {
        if self.assembling_gangs.remove(&r) || self.reserved_steps.remove(&r) {
            self.counts.gangs_given_up += 1;
            self.events.push(Event::GangGivenUp(r));
        }
        self.stop_step(r, out);
        self.update_waiting(r);
    }
}
