//! Which running tasks give way to work that is owed more.

use catkin_types::{Resources, RowName, TaskId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A running task that might give way.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The task.
    pub task: TaskId,
    /// Its row.
    pub row: RowName,
    /// What it takes.
    pub size: Resources,
    /// Work that a stop would lose: the time since its start or its last checkpoint.
    pub unsaved: Duration,
    /// Whether it can be checkpointed.
    pub can_checkpoint: bool,
}

/// What is done to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It saves its state and is stopped then.
    Checkpoint,
    /// It is stopped, and what it did since its start or last checkpoint is lost.
    Stop,
}

/// Chooses tasks of rows that hold more than their share until `need` is free, those first that lose least work for
/// what they free. Returns nothing if they are not enough. No row is taken below its share.
#[must_use]
pub fn select_victims(
    need: &Resources,
    candidates: &[Candidate],
    excess: &BTreeMap<RowName, Resources>,
    min_unsaved_for_checkpoint: Duration,
) -> Vec<(TaskId, Action)> {
    let mut remaining_excess = excess.clone();
    let mut freed = Resources::default();
    let mut out = Vec::new();
    let mut order: Vec<&Candidate> = candidates.iter().collect();
    let cost = |c: &Candidate| c.unsaved.as_secs_f64() / c.size.dominant_fraction(need).max(1e-9);
    order.sort_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.task.cmp(&b.task)));
    for c in order {
        if need.fits(&freed) {
            break;
        }
        let useful = !c.size.min(&need.saturating_sub(&freed)).is_zero();
        let Some(row_excess) =
            remaining_excess.get_mut(&c.row).filter(|over| useful && c.size.fits(over))
        else {
            continue;
        };
        *row_excess = row_excess.saturating_sub(&c.size);
        freed = freed.saturating_add(&c.size);
        let checkpoint = c.can_checkpoint && c.unsaved >= min_unsaved_for_checkpoint;
        out.push((c.task, if checkpoint { Action::Checkpoint } else { Action::Stop }));
    }
    if need.fits(&freed) { out } else { Vec::new() }
}
