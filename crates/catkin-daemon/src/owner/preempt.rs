//! Preemption: stops tasks of rows above their share for a blocked row below its share.

use super::state::{OpenChunk, State};
use catkin_lease::owner::TaskState;
use catkin_share::preempt::{Candidate, select_victims};
use catkin_types::{JobId, Resources, Row, RowName, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl State {
    /// Stops tasks of rows above their share to make room for the first blocked row whose next task fits within its own
    /// share.
    pub(super) fn preempt(
        &mut self,
        share: &BTreeMap<RowName, Resources>,
        blocked: &BTreeSet<RowName>,
        row: impl Fn(&str) -> Option<Row>,
    ) {
        let held = |name: &RowName| self.held.get(name).copied().unwrap_or_default();
        let below_share = |name: &&RowName| {
            let share = share.get(*name).copied().unwrap_or_default();
            let next = self.next_task_size(name).map(|size| held(name).saturating_add(&size));
            next.is_some_and(|next| next.fits(&share))
        };
        let Some(name) = blocked.iter().find(below_share).cloned() else { return };
        let Some(need) = self.next_task_size(&name) else { return };
        let excess: BTreeMap<RowName, Resources> = self
            .held
            .keys()
            .filter(|n| **n != name && row(n).is_some_and(|r| r.preemptible))
            .map(|n| {
                (n.clone(), held(n).saturating_sub(&share.get(n).copied().unwrap_or_default()))
            })
            .collect();
        let starting = self.starting_gangs();
        for worker in self.hosts.keys().cloned().collect::<Vec<_>>() {
            let Some(room) = self.lease.free_capacity(&worker) else { continue };
            let victims = select_victims(
                &need.saturating_sub(&room),
                &self.candidates(&worker, &starting),
                &excess,
                Duration::MAX,
            );
            if victims.is_empty() {
                continue;
            }
            for (task, _) in victims {
                tracing::info!("owner: preempting task {task} in favour of row {name}");
                self.lease.stop(task);
            }
            return;
        }
    }

    /// Returns the size of the row's first waiting task.
    fn next_task_size(&self, name: &str) -> Option<Resources> {
        let first = self.queues.get(name)?.front()?;
        self.chunk_of(first.task).map(|(_, o)| o.chunk.size)
    }

    /// Returns the gangs of which a task is assigned to a worker that has not confirmed its start.
    fn starting_gangs(&self) -> BTreeSet<(JobId, u32)> {
        let assigned = |t: &TaskId| {
            let task = self.lease.tasks().get(t);
            task.is_some_and(|t| matches!(t.state, TaskState::Assigned(_)))
        };
        let is_starting = |o: &OpenChunk| {
            let mut tasks = o.chunk.open_tasks().filter(assigned);
            o.chunk.gang && tasks.any(|t| !self.lease.has_started(t))
        };
        self.open.iter().filter(|(_, o)| is_starting(o)).map(|(key, _)| *key).collect()
    }

    /// Returns the tasks of a worker that may be preempted: those that have started, and of a gang none before all have.
    fn candidates(&self, worker: &str, starting: &BTreeSet<(JobId, u32)>) -> Vec<Candidate> {
        let tasks = self.lease.tasks_on(&worker.to_owned()).into_iter();
        let candidate = |task: TaskId| {
            let (key, open) = self.chunk_of(task)?;
            if !self.lease.has_started(task) || starting.contains(key) {
                return None;
            }
            Some(Candidate {
                task,
                row: open.chunk.row.clone(),
                size: open.chunk.size,
                unsaved: Duration::from_secs(1),
                can_checkpoint: false,
            })
        };
        tasks.filter_map(candidate).collect()
    }
}
