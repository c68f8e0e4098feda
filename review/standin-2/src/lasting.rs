//! Watches tasks that last: when each is at work, and for how long one is not though its turn has come.

use crate::record::Record;
use catkin_cell::Task;
use catkin_platform_standin::Platform;
use catkin_types::{JobId, Resources};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// The rule binds from this long after the last run of the task.
const AFTER_LAST_RUN: Duration = Duration::from_secs(6);
/// For this long the task has no run though it could have one.
const IDLE: Duration = Duration::from_secs(3);
/// The time before those seconds without a disruption.
const CALM: Duration = Duration::from_secs(4);

/// What is known of one task.
#[derive(Clone, Debug, Default)]
struct Seen {
    /// The worker and the run, while it runs.
    at: Option<(String, u32)>,
    /// When its last run ended.
    ended: Option<Duration>,
    /// Since when the rule is being broken, if the conditions hold on.
    idle_since: Option<Duration>,
    longest: Duration,
}

/// Watches the tasks of one job.
pub struct Watch {
    tasks: BTreeMap<Task, (Resources, Seen)>,
    /// The workers that are gone or down.
    pub down: HashSet<usize>,
    /// When the last disruption ended.
    pub disrupted: Duration,
}

impl Watch {
    /// Watches the tasks of `job`, each with the index of its step and its size.
    pub fn new(job: JobId, tasks: &[(u32, u32, Resources)]) -> Self {
        let task = |(step, index, size): &(u32, u32, Resources)| {
            let r = catkin_cell::StepRef { job, occurrence: 0, step: *step };
            (r.task(*index), (*size, Seen::default()))
        };
        Self {
            tasks: tasks.iter().map(task).collect(),
            down: HashSet::new(),
            disrupted: Duration::ZERO,
        }
    }

    /// Looks at the workers once.
    pub fn look(
        &mut self,
        platform: &Platform,
        capacity: Resources,
        used: &dyn Fn(Task) -> Resources,
        record: &Record,
    ) {
        let now = record.now();
        let running = platform.checker.running();
        let mut free: BTreeMap<String, Resources> = BTreeMap::new();
        for (_, w) in platform.workers.iter().enumerate().filter(|(n, _)| !self.down.contains(n)) {
            free.insert(w.id().to_owned(), capacity);
        }
        for (task, (worker, _)) in &running {
            if let Some(f) = free.get_mut(worker) {
                *f = f.saturating_sub(&used(*task));
            }
        }
        for (task, (size, seen)) in &mut self.tasks {
            let at = running.get(task).cloned();
            if at != seen.at {
                match &at {
                    Some((worker, run)) => {
                        record.line(&format!("{} run {run} starts on {worker}", name(task)))
                    }
                    None => record.line(&format!("{} runs no more", name(task))),
                }
                if at.is_none() {
                    seen.ended = Some(now);
                }
                seen.at = at;
            }
            let fits = |f: &Resources| fits(f, size);
            let room: u64 = free.values().map(fits).sum();
            let binds = seen.at.is_none()
                && seen.ended.is_some_and(|e| now >= e + AFTER_LAST_RUN)
                && now >= self.disrupted + CALM
                && room >= 2;
            if !binds {
                seen.idle_since = None;
                continue;
            }
            let since = *seen.idle_since.get_or_insert(now);
            let idle = now.saturating_sub(since);
            if seen.longest < IDLE && idle >= IDLE {
                record.line(&format!(
                    "BROKEN (LOST): {} has not run for {:.1} s since its last run, for the last 3 s there was room for it {room} times",
                    name(task),
                    (now - seen.ended.unwrap_or_default()).as_secs_f64()
                ));
            }
            seen.longest = seen.longest.max(idle);
        }
    }

    /// The worker of each task that runs.
    pub fn workers(&self) -> Vec<Option<String>> {
        self.tasks.values().map(|(_, s)| s.at.as_ref().map(|(w, _)| w.clone())).collect()
    }

    /// Whether every task runs.
    pub fn all_run(&self) -> bool {
        self.tasks.values().all(|(_, s)| s.at.is_some())
    }

    /// Whether the rule was broken; writes for how long each task could have run and did not.
    pub fn is_broken(&self, record: &Record) -> bool {
        for (task, (_, seen)) in &self.tasks {
            record.line(&format!(
                "{}: {}; in excess of the rule's 6 s it could run and did not for {:.1} s",
                name(task),
                if seen.at.is_some() { "runs at the end" } else { "does not run at the end" },
                seen.longest.as_secs_f64()
            ));
        }
        self.tasks.values().any(|(_, s)| s.longest >= IDLE)
    }
}

/// How many times a size fits.
fn fits(free: &Resources, size: &Resources) -> u64 {
    let pairs = free.as_array().into_iter().zip(size.as_array());
    pairs.filter(|(_, s)| *s > 0).map(|(f, s)| f / s).min().unwrap_or(0)
}

fn name(task: &Task) -> String {
    format!("task {}.{}", task.step.step, task.index)
}
