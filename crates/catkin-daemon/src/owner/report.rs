//! Answers to queries about the shard: aggregate, job status, reasons for waiting, workers.

use super::state::State;
use catkin_lease::owner::TaskState;
use catkin_schema::peer::{Aggregate, Response};
use catkin_types::{JobId, Resources};
use serde::Serialize;

/// Number of tasks of a job in one shard, by state.
#[derive(Debug, Default, Serialize)]
struct TaskCounts {
    shard: String,
    waiting: usize,
    held: usize,
    running: usize,
    ended: usize,
}

/// Why a chunk of a job waits.
#[derive(Debug, Serialize)]
struct WaitReport {
    shard: String,
    row: String,
    waiting: usize,
    reason: String,
    would_help: String,
}

/// A worker in the list for operators.
#[derive(Debug, Serialize)]
struct WorkerLine {
    shard: String,
    worker: String,
    rack: String,
    state: &'static str,
    capacity: Resources,
    free: Resources,
    tasks: usize,
}

fn text<T: Serialize>(value: &T) -> Response {
    Response::Json(serde_json::to_vec(value).unwrap_or_default())
}

impl State {
    pub(super) fn describe(&self) -> Aggregate {
        let capacities = self.lease.workers().filter_map(|w| self.lease.capacity(w));
        Aggregate {
            shard: self.shard.clone(),
            epoch: self.lease.epoch(),
            free: self.pool.free(),
            waiting: self.queues.values().map(|l| l.len() as u64).sum(),
            largest: capacities.fold(Resources::default(), |a, b| a.max(&b)),
        }
    }

    pub(super) fn status(&self, job: JobId) -> Response {
        let mut counts = TaskCounts { shard: self.shard.clone(), ..TaskCounts::default() };
        let mut any = false;
        let range = catkin_types::TaskId::new(job, 0)..=catkin_types::TaskId::new(job, u32::MAX);
        for t in self.lease.tasks().range(range).map(|(_, t)| t) {
            any = true;
            match t.state {
                TaskState::Waiting => counts.waiting += 1,
                TaskState::MaybeRunning => counts.held += 1,
                TaskState::Assigned(_) => counts.running += 1,
                TaskState::Ended(_) => counts.ended += 1,
            }
        }
        let list: Vec<TaskCounts> = if any { vec![counts] } else { Vec::new() };
        text(&list)
    }

    pub(super) fn explain(&self, job: JobId) -> Response {
        let chunks = self.open.range((job, 0)..=(job, u32::MAX));
        let reasons: Vec<WaitReport> = chunks.filter_map(|(_, open)| self.reason(open)).collect();
        text(&reasons)
    }

    fn reason(&self, open: &super::state::OpenChunk) -> Option<WaitReport> {
        let chunk = &open.chunk;
        let state = |t| self.lease.tasks().get(&t).map(|x| &x.state);
        let count =
            |wanted: &TaskState| chunk.open_tasks().filter(|t| state(*t) == Some(wanted)).count();
        let (waiting, held) = (count(&TaskState::Waiting), count(&TaskState::MaybeRunning));
        if waiting + held == 0 {
            return None;
        }
        let (reason, would_help) = if held > 0 {
            (
                format!("{held} tasks may still run on workers that the new owner has not heard"),
                "the workers' answers, or the end of their leases".to_owned(),
            )
        } else {
            self.why_waiting(chunk)
        };
        let (shard, row) = (self.shard.clone(), chunk.row.clone());
        Some(WaitReport { shard, row, waiting: waiting + held, reason, would_help })
    }

    fn why_waiting(&self, chunk: &crate::rows::Chunk) -> (String, String) {
        let claimed = self.pool.hosts().iter().filter(|h| h.open).count();
        if claimed == 0 {
            return ("no worker of the shard takes work now".into(), "a live worker".into());
        }
        let Some(row) = self.cx.row(&chunk.row) else {
            return (
                format!("row {} is gone", chunk.row),
                "the row in the table of weights and limits".into(),
            );
        };
        if !self.within_limit(&row, chunk.size, 1) {
            let reason = format!("row {} is at this shard's part of its limit", row.name);
            return (reason, "a higher limit, or less work of the row elsewhere".into());
        }
        let largest = self.pool.hosts().iter().filter(|h| h.open).map(catkin_place::Host::free);
        let largest = largest.fold(Resources::default(), |a, b| a.max(&b));
        let reason =
            format!("no worker has {} free; the most free on any is {largest}", chunk.size);
        (reason, "running tasks to end, or smaller tasks".into())
    }

    pub(super) fn workers(&self) -> Response {
        let line = |h: &catkin_place::Host| WorkerLine {
            shard: self.shard.clone(),
            worker: h.id.clone(),
            rack: h.rack.clone(),
            state: self.worker_state(h),
            capacity: h.capacity,
            free: h.free(),
            tasks: self.lease.tasks_on(&h.id).len(),
        };
        let lines: Vec<WorkerLine> = self.pool.hosts().iter().map(line).collect();
        text(&lines)
    }

    fn worker_state(&self, h: &catkin_place::Host) -> &'static str {
        if self.lease.capacity(&h.id).is_none() {
            return "unheard";
        }
        if self.leaving.contains(&h.id) || self.lease.free_capacity(&h.id).is_none() {
            return "leaving";
        }
        if h.open { "open" } else { "quarantined" }
    }
}
