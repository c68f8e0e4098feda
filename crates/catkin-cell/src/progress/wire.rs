//! The stored forms of progress.
//!
//! The plain form lists tasks and workers in each step. Earlier versions can read it, so it is written while it fits a
//! row: a daemon of such a version may take over during a rolling update. The compact form stays small for jobs with many
//! tasks, steps and occurrences: a number in `steps` stands for so many steps that have ended, sets of tasks are ranges of
//! indices, and workers are named once for the whole job. A field that is not known here may change the meaning of the
//! others, so a row that has one can't be read.

use super::ranges::{self, Invalid};
use super::{
    CrashCount, Crashes, Failures, MAX_PROGRESS_BYTES, MAX_WORKER_RANGES, Progress, StepProgress,
    TASK_BYTES,
};
use catkin_types::WorkerId;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The bytes of a step in the plain form, beside its tasks and workers.
const PLAIN_STEP_BYTES: usize = 52;
/// The bytes of the failures of a task in the plain form.
const PLAIN_FAILURES_BYTES: usize = 60;
/// The bytes of a worker in the plain form, beside its name.
const PLAIN_WORKER_BYTES: usize = 3;
/// The largest number of steps that have ended, one after the other.
const MAX_COMPLETE: u32 = 1_000_000;

#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct ProgressWire {
    steps: Vec<StepWire>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    workers: Vec<WorkerId>,
}

#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum StepWire {
    /// This many steps have ended.
    Complete(u32),
    Open(OpenStepWire),
}

#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct OpenStepWire {
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<TasksWire>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    failed: Vec<FailuresWire>,
    #[serde(skip_serializing_if = "is_zero")]
    run: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    on: Option<WorkersWire>,
}

#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum TasksWire {
    Ranges(String),
    /// In the plain form.
    List(Vec<u32>),
}

#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum FailuresWire {
    /// Tasks that failed so many times, last in this run.
    Group(u32, u32, String),
    Crashed(CrashedWire),
    /// In the plain form.
    Task(Failures),
}

/// Tasks under which equally many workers crashed. Earlier versions take it for the failures of a task that no step has.
#[derive(Clone, Serialize, Deserialize)]
struct CrashedWire {
    #[serde(flatten)]
    none: Failures,
    blamed: u32,
    beside: u32,
    tasks: String,
}

/// The index of a task that no step has.
const NO_TASK: u32 = u32::MAX;
/// Upper bound on the groups of tasks under which workers crashed that a row holds.
const MAX_CRASHED_GROUPS: usize = 12;
/// Upper bound on the tasks of such a group.
const MAX_CRASHED_TASKS: usize = 60;

#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum WorkersWire {
    /// Indices in [`ProgressWire::workers`].
    Ranges(String),
    /// In the plain form.
    Names(Vec<WorkerId>),
}

impl From<Progress> for ProgressWire {
    fn from(mut progress: Progress) -> Self {
        limit_crashed(&mut progress.steps);
        let bytes: Option<usize> = progress.steps.iter().map(max_plain_bytes).sum();
        if bytes.is_some_and(|bytes| bytes <= MAX_PROGRESS_BYTES) {
            let steps = progress.steps.into_iter().map(OpenStepWire::plain);
            return Self { steps: steps.map(StepWire::Open).collect(), workers: Vec::new() };
        }
        Self::compact(progress)
    }
}

/// Returns the largest size of a step in the plain form. Returns `None` if it has ended with tasks that are not known.
fn max_plain_bytes(step: &StepProgress) -> Option<usize> {
    if step.complete && step.done.is_empty() {
        return None;
    }
    let workers: usize = step.on.iter().map(|name| name.len() + PLAIN_WORKER_BYTES).sum();
    let tasks = step.done.len() * TASK_BYTES + step.failed.len() * PLAIN_FAILURES_BYTES;
    Some(PLAIN_STEP_BYTES + tasks + workers)
}

impl ProgressWire {
    fn compact(progress: Progress) -> Self {
        let mut wire = Self::default();
        let mut indices = BTreeMap::new();
        for step in progress.steps {
            if step.complete {
                wire.push_complete();
                continue;
            }
            let mut on: Vec<u32> = Vec::new();
            for worker in step.on {
                on.push(*indices.entry(worker).or_insert_with_key(|worker| {
                    wire.workers.push(worker.clone());
                    u32::try_from(wire.workers.len() - 1).unwrap_or(u32::MAX)
                }));
            }
            let done = (!step.done.is_empty())
                .then(|| TasksWire::Ranges(ranges::format(&ranges::ranges(step.done))));
            let (failed, on) = (group_failures(&step.failed), format_workers(on));
            let failed = failed.into_iter().chain(group_crashed(&step.crashed)).collect();
            wire.steps.push(StepWire::Open(OpenStepWire { done, failed, run: step.run, on }));
        }
        wire
    }

    fn push_complete(&mut self) {
        match self.steps.last_mut() {
            Some(StepWire::Complete(n)) if *n < MAX_COMPLETE => *n += 1,
            _ => self.steps.push(StepWire::Complete(1)),
        }
    }
}

fn group_failures(failed: &[Failures]) -> Vec<FailuresWire> {
    let mut groups: BTreeMap<(u32, u32), Vec<u32>> = BTreeMap::new();
    for f in failed {
        groups.entry((f.times, f.run)).or_default().push(f.index);
    }
    let group = |((times, run), tasks)| {
        FailuresWire::Group(times, run, ranges::format(&ranges::ranges(tasks)))
    };
    groups.into_iter().map(group).collect()
}

/// Leaves out crashes that a row may have no space for, those of tasks with the fewest crashes first.
fn limit_crashed(steps: &mut [StepProgress]) {
    let keys = |(n, step): (usize, &StepProgress)| {
        step.crashed.iter().map(|c| (Reverse(c.count), n)).collect::<Vec<_>>()
    };
    let groups: BTreeSet<_> = steps.iter().enumerate().flat_map(keys).collect();
    let kept = groups.into_iter().take(MAX_CRASHED_GROUPS);
    let mut room: BTreeMap<_, usize> = kept.map(|key| (key, MAX_CRASHED_TASKS)).collect();
    for (n, step) in steps.iter_mut().enumerate() {
        step.crashed.retain(|c| {
            let room = room.get_mut(&(Reverse(c.count), n)).filter(|room| **room > 0);
            room.map(|room| *room -= 1).is_some()
        });
    }
}

fn group_crashed(crashed: &[Crashes]) -> Vec<FailuresWire> {
    let mut groups: BTreeMap<CrashCount, Vec<u32>> = BTreeMap::new();
    for c in crashed {
        groups.entry(c.count).or_default().push(c.index);
    }
    let group = |(count, tasks): (CrashCount, Vec<u32>)| {
        let tasks = ranges::format(&ranges::ranges(tasks));
        let CrashCount { blamed, beside } = count;
        let none = Failures { index: NO_TASK, ..Failures::default() };
        FailuresWire::Crashed(CrashedWire { none, blamed, beside, tasks })
    };
    groups.into_iter().map(group).collect()
}

/// Returns the ranges of a step's workers. Many short ranges become one that may name further workers: that delays a new
/// owner, and does no other harm.
fn format_workers(mut on: Vec<u32>) -> Option<WorkersWire> {
    on.sort_unstable();
    let mut ranges = ranges::ranges(on);
    if ranges.len() > MAX_WORKER_RANGES
        && let (Some((first, _)), Some((_, last))) = (ranges.first(), ranges.last())
    {
        ranges = vec![(*first, *last)];
    }
    (!ranges.is_empty()).then(|| WorkersWire::Ranges(ranges::format(&ranges)))
}

impl TryFrom<ProgressWire> for Progress {
    type Error = Invalid;

    fn try_from(wire: ProgressWire) -> Result<Self, Invalid> {
        let mut steps = Vec::new();
        for step in wire.steps {
            match step {
                StepWire::Complete(n) if n > MAX_COMPLETE => return Err(Invalid),
                StepWire::Complete(n) => {
                    let complete = StepProgress { complete: true, ..StepProgress::default() };
                    steps.extend(std::iter::repeat_n(complete, n as usize));
                }
                StepWire::Open(step) => steps.push(step.into_progress(&wire.workers)?),
            }
        }
        Ok(Self { steps })
    }
}

impl OpenStepWire {
    fn plain(step: StepProgress) -> Self {
        Self {
            done: (!step.done.is_empty()).then_some(TasksWire::List(step.done)),
            failed: step
                .failed
                .into_iter()
                .map(FailuresWire::Task)
                .chain(group_crashed(&step.crashed))
                .collect(),
            run: step.run,
            on: (!step.on.is_empty()).then_some(WorkersWire::Names(step.on)),
        }
    }

    fn into_progress(self, workers: &[WorkerId]) -> Result<StepProgress, Invalid> {
        let done = match self.done {
            Some(TasksWire::Ranges(text)) => ranges::parse(&text)?,
            Some(TasksWire::List(tasks)) => tasks,
            None => Vec::new(),
        };
        let (mut failed, mut crashes) = (Vec::new(), Vec::new());
        for f in self.failed {
            match f {
                FailuresWire::Group(times, run, tasks) => {
                    let failures = |index| Failures { index, times, run };
                    failed.extend(ranges::parse(&tasks)?.into_iter().map(failures));
                }
                FailuresWire::Crashed(c) => {
                    let count = CrashCount { blamed: c.blamed, beside: c.beside };
                    let of_task = |index| Crashes { index, count };
                    crashes.extend(ranges::parse(&c.tasks)?.into_iter().map(of_task));
                }
                FailuresWire::Task(f) => failed.push(f),
            }
        }
        failed.sort_unstable_by_key(|f| f.index);
        crashes.sort_unstable_by_key(|c| c.index);
        let name = |n: u32| workers.get(n as usize).cloned().ok_or(Invalid);
        let on = match self.on {
            Some(WorkersWire::Ranges(text)) => {
                ranges::parse(&text)?.into_iter().map(name).collect::<Result<_, _>>()?
            }
            Some(WorkersWire::Names(names)) => names,
            None => Vec::new(),
        };
        Ok(StepProgress { complete: false, done, failed, crashed: crashes, run: self.run, on })
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde requires this signature")]
fn is_zero(x: &u32) -> bool {
    *x == 0
}
