//! The stored form of progress, which stays small for jobs with many tasks, steps and occurrences.
//!
//! A number in `steps` stands for so many steps that have ended. Sets of tasks are ranges of indices. Workers are named
//! once for the whole job. Rows of earlier versions, with lists in place of ranges, can be read. A field that is not known
//! here may change the meaning of the others, so a row that has one can't be read.

use super::ranges::{self, Invalid};
use super::{Failures, MAX_WORKER_RANGES, Progress, StepProgress};
use catkin_types::WorkerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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
    /// Written by earlier versions.
    List(Vec<u32>),
}

#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum FailuresWire {
    /// Tasks that failed so many times, last in this run.
    Group(u32, u32, String),
    /// Written by earlier versions.
    Task(Failures),
}

#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum WorkersWire {
    /// Indices in [`ProgressWire::workers`].
    Ranges(String),
    /// Written by earlier versions.
    Names(Vec<WorkerId>),
}

impl From<Progress> for ProgressWire {
    fn from(progress: Progress) -> Self {
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
            wire.steps.push(StepWire::Open(OpenStepWire { done, failed, run: step.run, on }));
        }
        wire
    }
}

impl ProgressWire {
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
    fn into_progress(self, workers: &[WorkerId]) -> Result<StepProgress, Invalid> {
        let done = match self.done {
            Some(TasksWire::Ranges(text)) => ranges::parse(&text)?,
            Some(TasksWire::List(tasks)) => tasks,
            None => Vec::new(),
        };
        let mut failed = Vec::new();
        for f in self.failed {
            match f {
                FailuresWire::Group(times, run, tasks) => {
                    let failures = |index| Failures { index, times, run };
                    failed.extend(ranges::parse(&tasks)?.into_iter().map(failures));
                }
                FailuresWire::Task(f) => failed.push(f),
            }
        }
        failed.sort_unstable_by_key(|f| f.index);
        let name = |n: u32| workers.get(n as usize).cloned().ok_or(Invalid);
        let on = match self.on {
            Some(WorkersWire::Ranges(text)) => {
                ranges::parse(&text)?.into_iter().map(name).collect::<Result<_, _>>()?
            }
            Some(WorkersWire::Names(names)) => names,
            None => Vec::new(),
        };
        Ok(StepProgress { complete: false, done, failed, run: self.run, on })
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde requires this signature")]
fn is_zero(x: &u32) -> bool {
    *x == 0
}
