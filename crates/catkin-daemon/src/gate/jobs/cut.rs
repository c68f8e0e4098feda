//! Cutting a job into parts, and the shards that they go to.

use super::{CALL, Submit};
use crate::cx::{Cx, Directory};
use crate::gate::{Failure, Gate};
use crate::rows::Part;
use catkin_store::hosts::Kind;
use catkin_types::{Code, Resources, ShardId};

/// The most tasks of a chunk.
const MAX_CHUNK: u32 = 512;
/// How many tasks wait at a shard before it takes no more.
const MAX_WAITING: u64 = 100_000;

/// A shard that can take a part of a job.
#[derive(Clone, Debug)]
struct Target {
    shard: ShardId,
    free: Resources,
    near: bool,
}

impl Gate {
    /// Cuts a job into parts: each part goes to the freer of two shards drawn at random, near ones first. A gang is one
    /// part.
    pub(super) fn cut(&self, submit: &Submit, directory: &Directory) -> Result<Vec<Part>, Failure> {
        let mut targets = self.targets(submit, directory)?;
        let step = if submit.gang { submit.tasks } else { MAX_CHUNK };
        let mut parts = Vec::new();
        for from in (0..submit.tasks).step_by(step as usize) {
            let to = (from + step).min(submit.tasks);
            let target = draw(&mut targets);
            target.free = target.free.saturating_sub(&submit.size.times(u64::from(to - from)));
            parts.push(Part { shard: target.shard.clone(), from, to });
        }
        Ok(parts)
    }

    fn targets(&self, submit: &Submit, directory: &Directory) -> Result<Vec<Target>, Failure> {
        let workers: Vec<_> =
            directory.iter().filter(|(_, e)| e.shard.kind == Kind::Worker).collect();
        if workers.is_empty() {
            return Err(Failure::new(Code::NO_OWNER, "there is no shard of workers yet"));
        }
        let (mut targets, mut silent) = (Vec::new(), Vec::new());
        let (mut too_small, mut full) = (0, 0);
        let mut largest = Resources::default();
        for (id, entry) in &workers {
            let near = entry.shard.region == self.cx.settings.daemon.region;
            let target = |free| Target { shard: (*id).clone(), free, near };
            let Some(a) = self.cx.live.aggregate(id).filter(|a| !a.largest.is_zero()) else {
                silent.push(target(Resources::default()));
                continue;
            };
            largest = largest.max(&a.largest);
            if !submit.size.fits(&a.largest) {
                too_small += 1;
            } else if a.waiting + u64::from(submit.tasks) > MAX_WAITING {
                full += 1;
            } else {
                targets.push(target(a.free));
            }
        }
        if too_small == workers.len() {
            let what = format!("a task takes {}; the largest worker has {largest}", submit.size);
            return Err(Failure::new(Code::NEVER_FITS, what));
        }
        if targets.is_empty() && full > 0 {
            return Err(
                Failure::new(Code::QUEUE_FULL, "too many tasks wait already").retry_after(CALL)
            );
        }
        if targets.is_empty() {
            // Their owners have just begun. The job waits for the one that it goes to.
            targets = silent;
        }
        // Another region only if this one has no room for a single task.
        let fits_near = targets.iter().any(|t| t.near && submit.size.fits(&t.free));
        targets.retain(|t| t.near || !fits_near);
        Ok(targets)
    }
}

/// The freer of two targets drawn at random.
fn draw(targets: &mut [Target]) -> &mut Target {
    let n = targets.len();
    let (a, b) = (rand::random_range(0..n), rand::random_range(0..n));
    let total = targets[a].free.max(&targets[b].free);
    let free = |i: usize| targets[i].free.dominant_fraction(&total);
    let best = if free(a) >= free(b) { a } else { b };
    &mut targets[best]
}

/// Whether the daemon's directory has any shard of workers that told of itself.
pub(in crate::gate) fn workers_known(cx: &Cx) -> bool {
    let directory = cx.directory.borrow().clone();
    directory.iter().any(|(id, e)| {
        e.shard.kind == Kind::Worker && cx.live.aggregate(id).is_some_and(|a| !a.largest.is_zero())
    })
}
