//! Workers that restart under their identifiers: unexpectedly, and unreachable soon after they are back, or as planned.

use super::World;
use std::time::Duration;

/// A restarted worker is back sooner, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// The entry of its former life is listed for less than this after it is back, or after a planned exit, in milliseconds.
const LISTED_MS: u64 = 2_000;
/// A worker restarts again less than this after it is back, in milliseconds.
const AGAIN_MS: u64 = 2_000;
/// A worker becomes unreachable less than this after it is back, in milliseconds.
const CUT_DELAY_MS: u64 = 6_000;
/// For how long a worker is unreachable at least.
const MIN_CUT: Duration = Duration::from_secs(5);
/// For how much longer it is unreachable at most, in milliseconds.
const CUT_RANGE_MS: u64 = 9_000;

/// How long a worker drains before a planned restart at least.
const MIN_DRAIN: Duration = Duration::from_secs(3);
/// For how much longer it drains at most, in milliseconds.
const DRAIN_RANGE_MS: u64 = 2_000;

/// What is planned for a worker.
#[derive(Clone, Copy, Debug)]
pub(super) enum Planned {
    /// It restarts. It is unreachable for the first time, and its former entry is listed for the second one.
    Restart(Duration, Duration),
    /// It restarts after it has drained, as [`Planned::Restart`] otherwise.
    Exit(Duration, Duration),
    /// It is unreachable for this time.
    Cut(Duration),
}

impl World {
    fn random_ms(&mut self, limit: u64) -> Duration {
        Duration::from_millis(self.random() % limit)
    }

    /// Plans restarts, and cuts after them, for a third of the workers.
    pub(super) fn plan_restarts(&mut self) {
        for n in 0..self.workers.len() {
            let has_plan = self.planned.iter().any(|(_, m, _)| *m == n);
            let is_free = !has_plan && !self.is_unreachable(n) && !self.trouble[n].left;
            if is_free && self.random().is_multiple_of(3) {
                self.plan_restart_and_cut(n);
            }
        }
    }

    /// A worker reports that it drains, and restarts some seconds later.
    pub(super) fn drain_worker(&mut self, n: usize) {
        if self.planned.iter().any(|(_, m, _)| *m == n) {
            return;
        }
        self.workers[n].info.draining = true;
        let exit_at = self.now + MIN_DRAIN + self.random_ms(DRAIN_RANGE_MS);
        // The entry of the next incarnation may be listed before it is reached.
        let (down, listed) = (self.random_ms(DOWN_MS), self.random_ms(LISTED_MS));
        self.planned.push((exit_at, n, Planned::Exit(down, listed)));
    }

    fn plan_restart_and_cut(&mut self, n: usize) {
        let mut back_at = self.plan_restart(n, self.now);
        if self.random().is_multiple_of(4) {
            let again_at = back_at + self.random_ms(AGAIN_MS);
            back_at = self.plan_restart(n, again_at);
        }
        let cut_at = back_at + self.random_ms(CUT_DELAY_MS);
        let cut = MIN_CUT + self.random_ms(CUT_RANGE_MS);
        self.planned.push((cut_at, n, Planned::Cut(cut)));
    }

    /// Plans a restart at `at`. Returns when the worker is back.
    fn plan_restart(&mut self, n: usize, at: Duration) -> Duration {
        let down = self.random_ms(DOWN_MS);
        let listed = down + self.random_ms(LISTED_MS);
        self.planned.push((at, n, Planned::Restart(down, listed)));
        at + down
    }

    /// Carries out what is due.
    pub(super) fn carry_out_planned(&mut self) {
        let now = self.now;
        let (due, later) = self.planned.iter().partition(|(at, ..)| *at <= now);
        self.planned = later;
        let due: Vec<(Duration, usize, Planned)> = due;
        for (_, n, planned) in due {
            match planned {
                Planned::Restart(down, listed) => {
                    self.count_crash(n);
                    self.restart_under_entry(n, down, listed);
                }
                Planned::Exit(down, listed) => self.restart_under_entry(n, down, listed),
                Planned::Cut(time) => self.trouble[n].partitioned_until = now + time,
            }
        }
    }

    /// Restarts a worker, which is unreachable for `down`. The entry of its former life is listed for `listed`.
    fn restart_under_entry(&mut self, n: usize, down: Duration, listed: Duration) {
        let now = self.now;
        let former = self.workers[n].info.clone();
        // The entry of the life before may still be listed.
        let entry = self.former_entries.get(&n).filter(|(until, _)| *until > now);
        let entry = entry.map_or(former, |(_, info)| info.clone());
        self.former_entries.insert(n, (now + listed, entry));
        self.begin_next_life(n);
        self.trouble[n].partitioned_until = now + down;
    }
}
