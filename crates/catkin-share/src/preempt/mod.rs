//! Preemption: selects running tasks of rows above their share to free resources for rows below theirs.

use catkin_types::{Resources, RowName, TaskId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A running task that may be preempted.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Breaks ties: the lower ID is preempted first.
    pub task: TaskId,
    /// The row whose excess the task counts against.
    pub row: RowName,
    /// The resources that are freed when it stops.
    pub size: Resources,
    /// The work that a stop would lose: the time since the start or the last checkpoint.
    pub unsaved: Duration,
    /// Whether the task can save a checkpoint.
    pub can_checkpoint: bool,
}

/// How a task is preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The task saves a checkpoint and is stopped then.
    Checkpoint,
    /// The task is stopped at once. The work since its start or last checkpoint is lost.
    Stop,
}

/// Selects tasks of rows above their share until `need` is free, those first that lose the least work relative to what
/// they free. Returns an empty list if all of them are not enough. No row falls below its share.
///
/// `excess` holds how far each row is above its share. Tasks with at least `min_unsaved_for_checkpoint` of unsaved work
/// save a checkpoint first if they can.
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
