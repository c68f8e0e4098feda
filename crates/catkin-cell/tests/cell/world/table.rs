//! The table: rows of jobs and their progress.

use super::World;
use super::events::Event;
use catkin_cell::cell::SilentWorkers;
use catkin_cell::{Action, Write};
use catkin_types::Epoch;
use std::time::Duration;

/// The interval at which an owner renews its row.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// How long a renewal takes.
const RENEW_TIME: Duration = Duration::from_millis(30);

impl World {
    /// Sends the renewals of owner rows that are due.
    pub(super) fn renew_owner_rows(&mut self) {
        let now = self.now;
        let when = now.max(self.table_back_at) + RENEW_TIME;
        let mut sent = Vec::new();
        for owner in self.owners.iter_mut().filter(|o| !o.isolated && now >= o.renew_at) {
            owner.renew_at = when + RENEW_INTERVAL;
            sent.push((owner.epoch, owner.cell.silent_workers().clone()));
        }
        for (epoch, silent) in sent {
            self.schedule_event(when, Event::OwnerRowWritten(epoch, silent));
        }
    }

    /// Applies a renewal of the owner row, which only the newest owner can write.
    pub(super) fn write_owner_row(&mut self, epoch: Epoch, silent: SilentWorkers) {
        if epoch != self.epoch {
            return;
        }
        let version = silent.version;
        self.silent_workers = silent.idle_from;
        self.with_owner(epoch, |owner, _| owner.cell.handle_silent_workers_written(version));
    }

    /// Applies a batch to the table, which accepts writes of the newest owner only.
    pub(super) fn write(&mut self, epoch: Epoch, batch: Vec<Write>) {
        let now = self.now;
        if self.owners.iter().any(|owner| owner.epoch == epoch && owner.isolated) {
            return;
        }
        let is_refused =
            |w: &Write| matches!(w, Write::Progress(id, _) if self.refused.contains(id));
        let (refused, batch): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_refused);
        self.refusals += refused.len();
        if epoch == self.epoch {
            for w in &batch {
                match w {
                    Write::Progress(id, p) => {
                        self.progress.insert(*id, p.clone());
                    }
                    Write::Ended(id, state) => self.end_job(*id, *state),
                }
            }
        }
        let newest = self.epoch;
        self.with_owner(epoch, |owner, out| {
            owner.writing = false;
            if epoch == newest {
                owner.cell.handle_written(&batch, now);
                owner.cell.handle_refused(&refused);
            } else {
                out.push(Action::StepDown);
            }
        });
    }
}
