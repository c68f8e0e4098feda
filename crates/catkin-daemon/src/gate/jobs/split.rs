//! Splits a job into parts and selects a shard for each.

use super::{CALL_TIMEOUT, Submit};
use crate::cx::{Cx, Directory};
use crate::gate::{Failure, Gate};
use crate::rows::Part;
use catkin_store::hosts::Kind;
use catkin_types::{Code, Resources, ShardId};

/// The maximum number of tasks in a chunk.
const MAX_CHUNK_TASKS: u32 = 512;
/// The maximum number of waiting tasks at a shard; a shard that would exceed it gets no part of a new job.
const MAX_WAITING_TASKS: u64 = 100_000;

/// A shard to which a part of a job can be assigned.
#[derive(Clone, Debug)]
struct Candidate {
    shard: ShardId,
    free: Resources,
    near: bool,
}

impl Gate {
    /// Splits a job into parts, each assigned to the freer of two random shards (power of two choices). Shards of this
    /// region are preferred. A gang is a single part.
    pub(super) fn split(
        &self,
        submit: &Submit,
        directory: &Directory,
    ) -> Result<Vec<Part>, Failure> {
        let mut candidates = self.candidates(submit, directory)?;
        let step = if submit.gang { submit.tasks } else { MAX_CHUNK_TASKS };
        let mut parts = Vec::new();
        for from in (0..submit.tasks).step_by(step as usize) {
            let to = (from + step).min(submit.tasks);
            let candidate = freer_of_two(&mut candidates);
            candidate.free =
                candidate.free.saturating_sub(&submit.size.times(u64::from(to - from)));
            parts.push(Part { shard: candidate.shard.clone(), from, to });
        }
        Ok(parts)
    }

    fn candidates(
        &self,
        submit: &Submit,
        directory: &Directory,
    ) -> Result<Vec<Candidate>, Failure> {
        let workers: Vec<_> =
            directory.iter().filter(|(_, e)| e.shard.kind == Kind::Worker).collect();
        if workers.is_empty() {
            return Err(Failure::new(Code::NO_OWNER, "there is no shard of workers yet"));
        }
        let (mut candidates, mut unreported) = (Vec::new(), Vec::new());
        let (mut too_small, mut full) = (0, 0);
        let mut largest = Resources::default();
        for (id, entry) in &workers {
            let near = entry.shard.region == self.cx.settings.daemon.region;
            let candidate = |free| Candidate { shard: (*id).clone(), free, near };
            let Some(a) = self.cx.liveness.aggregate(id).filter(|a| !a.largest.is_zero()) else {
                unreported.push(candidate(Resources::default()));
                continue;
            };
            largest = largest.max(&a.largest);
            if !submit.size.fits(&a.largest) {
                too_small += 1;
            } else if a.waiting + u64::from(submit.tasks) > MAX_WAITING_TASKS {
                full += 1;
            } else {
                candidates.push(candidate(a.free));
            }
        }
        if too_small == workers.len() {
            let message = format!("a task takes {}; the largest worker has {largest}", submit.size);
            return Err(Failure::new(Code::NEVER_FITS, message));
        }
        if candidates.is_empty() && full > 0 {
            return Err(Failure::new(Code::QUEUE_FULL, "too many tasks wait already")
                .retry_after(CALL_TIMEOUT));
        }
        if candidates.is_empty() {
            // The owners of these shards have just started and have not reported capacity yet. The job waits at one of
            // them.
            candidates = unreported;
        }
        // Other regions are used only if no shard of this region has room for a single task.
        let fits_near = candidates.iter().any(|t| t.near && submit.size.fits(&t.free));
        candidates.retain(|t| t.near || !fits_near);
        Ok(candidates)
    }
}

/// Returns the freer of two randomly drawn candidates.
fn freer_of_two(candidates: &mut [Candidate]) -> &mut Candidate {
    let n = candidates.len();
    let (a, b) = (rand::random_range(0..n), rand::random_range(0..n));
    let total = candidates[a].free.max(&candidates[b].free);
    let free = |i: usize| candidates[i].free.dominant_fraction(&total);
    let best = if free(a) >= free(b) { a } else { b };
    &mut candidates[best]
}

/// Returns whether any worker shard in the directory has reported a worker's capacity.
pub(in crate::gate) fn any_workers_reported(cx: &Cx) -> bool {
    let directory = cx.directory.borrow().clone();
    directory.iter().any(|(id, e)| {
        e.shard.kind == Kind::Worker
            && cx.liveness.aggregate(id).is_some_and(|a| !a.largest.is_zero())
    })
}
