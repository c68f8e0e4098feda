//! Simulated workers.

use catkin_cell::worker::{EndReason, RunningTask, TaskEnd, WorkerInfo, WorkerReport, millis};
use catkin_cell::{Start, StepRef, Stop, Task};
use catkin_types::Resources;
use std::collections::HashMap;
use std::time::Duration;

/// The capacity of every worker.
const CAPACITY: Resources = Resources::new(32_000, 65_536, 0);
/// How often a worker is polled without an end.
const POLL_INTERVAL: Duration = Duration::from_millis(1_200);
const INCARNATION: u64 = 1;

#[derive(Debug)]
struct Run {
    number: u32,
    cpu_milli: u64,
    /// When it ends, and how; `None` while a gang is not complete.
    end: Option<(Duration, EndReason)>,
}

#[derive(Debug, Default)]
struct Worker {
    running: HashMap<Task, Run>,
    ended: Vec<TaskEnd>,
    ends: u64,
    next_report: Duration,
}

/// A task that a worker is told to start.
pub(super) struct NewRun {
    pub start: Start,
    pub cpu_milli: u64,
    pub work: Duration,
    pub fails: bool,
    /// The number of members, for a gang.
    pub gang: Option<u32>,
}

/// A member of a gang.
#[derive(Clone, Copy, Debug)]
struct Member {
    worker: usize,
    task: Task,
    /// The time from the start of the whole gang to the member's end.
    work: Duration,
    fails: bool,
}

/// All workers.
#[derive(Debug)]
pub(super) struct Fleet {
    workers: Vec<Worker>,
    /// The members that have started, of gangs that are not complete, by step and run.
    assembling: HashMap<(StepRef, u32), Vec<Member>>,
}

impl Fleet {
    pub(super) fn new(count: usize) -> Self {
        let workers = (0..count).map(|_| Worker::default()).collect();
        Self { workers, assembling: HashMap::new() }
    }

    pub(super) fn list(&self) -> Vec<WorkerInfo> {
        let info = |n: usize| WorkerInfo {
            id: id(n),
            addr: id(n),
            incarnation: INCARNATION,
            service: "service".into(),
            rack: format!("rack-{}", n / 8),
            capacity: CAPACITY,
            ..WorkerInfo::default()
        };
        (0..self.workers.len()).map(info).collect()
    }

    /// Returns the share of the processors that run tasks.
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    pub(super) fn utilization(&self) -> f64 {
        let runs = self.workers.iter().flat_map(|w| w.running.values());
        let used: u64 = runs.filter(|r| r.end.is_some()).map(|r| r.cpu_milli).sum();
        used as f64 / (CAPACITY.cpu_milli * self.workers.len() as u64) as f64
    }

    pub(super) fn start(&mut self, worker: usize, new: NewRun, now: Duration) {
        let NewRun { start: s, cpu_milli, work, fails, gang } = new;
        let (work, reason) =
            if fails { (work / 2, EndReason::Failed) } else { (work, EndReason::Done) };
        let end = gang.is_none().then_some((now + work, reason));
        self.workers[worker].running.insert(s.task, Run { number: s.run, cpu_milli, end });
        let Some(count) = gang else { return };
        let members = self.assembling.entry((s.task.step, s.run)).or_default();
        members.push(Member { worker, task: s.task, work, fails });
        if members.len() == count as usize {
            self.run_gang((s.task.step, s.run), now);
        }
    }

    /// Lets a complete gang run: it ends with its slowest member, or with the first one that fails.
    fn run_gang(&mut self, gang: (StepRef, u32), now: Duration) {
        let members = self.assembling.remove(&gang).unwrap_or_default();
        let failed = members.iter().filter(|m| m.fails).min_by_key(|m| m.work).copied();
        let slowest = members.iter().map(|m| m.work).max().unwrap_or_default();
        for m in members {
            let end = match failed {
                Some(first) if first.task == m.task => (now + first.work, EndReason::Failed),
                Some(first) => (now + first.work, EndReason::GangMemberEnded),
                None => (now + slowest, EndReason::Done),
            };
            if let Some(run) = self.workers[m.worker].running.get_mut(&m.task) {
                run.end = Some(end);
            }
        }
    }

    pub(super) fn stop(&mut self, worker: usize, s: &Stop, now: Duration) {
        self.assembling.remove(&(s.task.step, s.run));
        if let Some(run) = self.workers[worker].running.get_mut(&s.task) {
            run.end = Some((now, EndReason::Stopped));
        }
    }

    /// Ends the tasks that are due. Returns the workers that are to be polled now.
    pub(super) fn advance(&mut self, now: Duration) -> Vec<usize> {
        let mut due = Vec::new();
        for (n, w) in self.workers.iter_mut().enumerate() {
            let over = w.running.extract_if(|_, r| r.end.is_some_and(|(at, _)| at <= now));
            let mut over: Vec<(Task, Run)> = over.collect();
            over.sort_unstable_by_key(|(task, _)| *task);
            for (task, run) in over {
                w.ends += 1;
                let reason = run.end.map_or(EndReason::Stopped, |(_, reason)| reason);
                let checkpoint = String::new();
                w.ended.push(TaskEnd { number: w.ends, task, run: run.number, reason, checkpoint });
                w.next_report = now;
            }
            if w.next_report <= now {
                w.next_report = now + POLL_INTERVAL;
                due.push(n);
            }
        }
        due
    }

    pub(super) fn report(
        &mut self,
        worker: usize,
        acknowledged: u64,
        now: Duration,
    ) -> WorkerReport {
        let w = &mut self.workers[worker];
        w.ended.retain(|e| e.number > acknowledged);
        let running = |(task, run): (&Task, &Run)| RunningTask {
            task: *task,
            run: run.number,
            ..RunningTask::default()
        };
        let mut running: Vec<RunningTask> = w.running.iter().map(running).collect();
        running.sort_unstable_by_key(|r| r.task);
        WorkerReport {
            clock_ms: millis(now),
            incarnation: INCARNATION,
            running,
            ended: w.ended.clone(),
        }
    }
}

/// Returns the identifier of the worker with this number.
pub(super) fn id(worker: usize) -> String {
    format!("w{worker:03}")
}
