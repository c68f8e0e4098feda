//! The table: rows of jobs and their progress.

use super::World;
use catkin_cell::{Action, Write};
use catkin_types::Epoch;

impl World {
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
