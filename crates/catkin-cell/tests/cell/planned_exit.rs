//! Workers that report that they drain, exit as planned, and come back as another incarnation. The reports of it, in the
//! list of workers and in answers to polls, arrive in any order.

use crate::fixture::{FIRST_INCARNATION, Fixture, entry, first_task};
use crate::owner::step;
use crate::world::{Faults, World};
use catkin_cell::worker::{Reply, WorkerInfo};
use catkin_cell::{Event, Start, State};
use catkin_types::{Incarnation, JobId};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Longer than a lease of a worker that does not answer, and any wait that follows from it.
const LEASE_OVER: Duration = Duration::from_secs(15);
/// More exits than the crashes under a task for which its job is given up.
const EXITS: u64 = 6;

/// The number of scenarios of the model. Each seed is one.
const SEEDS: u64 = 40;
/// How long workers drain and restart in the model.
const RELEASE: Duration = Duration::from_secs(100);

/// How the owner learns that a worker that drained has exited and that its next incarnation is there.
#[derive(Clone, Copy, Debug)]
enum Order {
    EntryAfterRemoval,
    EntryWithoutRemoval,
    EntryBeforeRemoval,
    AnswerBeforeEntry,
    AnswerAfterRemoval,
    EntryAfterLeaseExpired,
    EntryAfterOtherWorkerAtAddress,
    /// The list is not read while the worker drains.
    AnswerBeforeDrainReport,
}

const ORDERS: [Order; 8] = [
    Order::EntryAfterRemoval,
    Order::EntryWithoutRemoval,
    Order::EntryBeforeRemoval,
    Order::AnswerBeforeEntry,
    Order::AnswerAfterRemoval,
    Order::EntryAfterLeaseExpired,
    Order::EntryAfterOtherWorkerAtAddress,
    Order::AnswerBeforeDrainReport,
];

/// A cell with one worker and a job of one task, which has just started there.
struct Scene {
    f: Fixture,
    incarnation: Incarnation,
    start: Start,
}

impl Scene {
    fn new() -> Self {
        let mut f = Fixture::new(1);
        f.accept(1, "batch", vec![step(1, 1_000, 60_000)]);
        f.tick();
        let start = f.take_starts().pop().expect("the task starts");
        f.reply(std::slice::from_ref(&start), Reply::Done);
        Self { f, incarnation: FIRST_INCARNATION, start }
    }

    fn report_running(&mut self) {
        let run = self.start.run;
        self.f.report(0, self.incarnation, &[(first_task(1), run)]);
    }

    /// The worker reports in the list that it drains, which is read at once in most orders.
    fn drain(&mut self, order: Order) {
        if !matches!(order, Order::AnswerBeforeDrainReport) {
            self.read_drain_report();
        }
    }

    fn read_drain_report(&mut self) {
        let entry = WorkerInfo { draining: true, ..entry(0, self.incarnation) };
        self.f.cell.update_workers(vec![entry], true, self.f.now);
        self.f.tick();
    }

    fn remove(&mut self) {
        self.f.cell.mark_missing("w0", self.f.now);
        self.f.tick();
    }

    fn miss_poll(&mut self) {
        let idx = self.f.worker(0);
        self.f.miss_poll(idx);
        self.f.tick();
    }

    /// The next incarnation of the worker is there. Returns the orders to start until it has answered.
    fn come_back(&mut self, order: Order) -> Vec<Start> {
        let next = self.incarnation + 1;
        match order {
            Order::EntryAfterRemoval => {
                self.miss_poll();
                self.remove();
                self.f.list_again(0, next);
            }
            Order::EntryWithoutRemoval => self.f.list_again(0, next),
            Order::EntryBeforeRemoval => {
                self.f.list_again(0, next);
                self.remove();
                self.f.list_again(0, next);
            }
            Order::AnswerBeforeEntry => {
                self.f.report(0, next, &[]);
                self.f.list_again(0, next);
            }
            Order::AnswerAfterRemoval => {
                self.remove();
                self.f.report(0, next, &[]);
                self.f.list_again(0, next);
            }
            Order::EntryAfterLeaseExpired => {
                self.miss_poll();
                self.remove();
                self.f.run(LEASE_OVER);
                self.f.list_again(0, next);
            }
            Order::AnswerBeforeDrainReport => {
                self.f.report(0, next, &[]);
                self.f.tick();
                self.read_drain_report();
                self.remove();
                self.f.list_again(0, next);
            }
            Order::EntryAfterOtherWorkerAtAddress => {
                let idx = self.f.worker(0);
                self.f.be_refused(idx);
                self.remove();
                self.f.list_again(0, next);
            }
        }
        self.incarnation = next;
        self.f.tick();
        self.f.report(0, next, &[]);
        // A worker on the record of silent ones can be used once a row without it is written.
        let written = self.f.cell.silent_workers().version;
        self.f.cell.handle_silent_workers_written(written);
        self.f.tick();
        self.f.take_starts()
    }

    /// The worker drains and exits, and the task starts again on its next incarnation.
    fn exit(&mut self, order: Order) {
        self.report_running();
        self.drain(order);
        let starts = self.come_back(order);
        let why = self.f.cell.explain(1);
        let start = starts.into_iter().next_back();
        self.start = start.unwrap_or_else(|| panic!("{order:?}: {why:?}"));
        self.f.reply(std::slice::from_ref(&self.start), Reply::Done);
    }

    /// Returns the jobs of which tasks are counted as on a worker that crashed, since the last call.
    fn jobs_with_crashes(&mut self) -> Vec<JobId> {
        let mut jobs = Vec::new();
        for event in self.f.cell.take_events() {
            match event {
                Event::CrashedUnderTask { task, .. } => jobs.push(task.step.job),
                Event::CrashRetracted { task, .. } => jobs.retain(|job| *job != task.step.job),
                _ => {}
            }
        }
        jobs
    }
}

// A job was shown as failed although none of its runs had failed: each planned exit was counted as a crash under its task
// if the entry of the worker's next incarnation was the first sign of it.
#[test]
fn job_given_up_after_planned_exits_of_its_workers() {
    for order in ORDERS {
        let mut s = Scene::new();
        for exit in 1..=EXITS {
            s.report_running();
            s.f.run(SECOND);
            s.exit(order);
            assert_eq!(s.jobs_with_crashes(), Vec::<JobId>::new(), "{order:?}, exit {exit}");
            assert_ne!(s.f.cell.state(1), Some(State::Failed), "{order:?}, exit {exit}");
        }
    }
}

// A task that had just started when its worker exited as planned was taken for one that may crash workers: it was tried
// alone, and others waited for it.
#[test]
fn task_suspected_after_a_planned_exit_of_its_worker() {
    for order in ORDERS {
        let mut s = Scene::new();
        s.exit(order);
        s.f.accept(2, "batch", vec![step(1, 1_000, 1_000)]);
        s.f.tick();
        let started: Vec<JobId> = s.f.take_starts().iter().map(|s| s.task.step.job).collect();
        assert_eq!(started, [2], "{order:?}: another task starts beside it");
    }
}

/// A planned exit excuses only the incarnation that reported it.
#[test]
fn crash_not_counted_after_a_planned_exit_of_the_incarnation_before() {
    for order in ORDERS {
        let mut s = Scene::new();
        s.exit(order);
        s.report_running();
        s.jobs_with_crashes();
        s.come_back(Order::AnswerBeforeEntry);
        assert_eq!(s.jobs_with_crashes(), [1], "{order:?}");
    }
}

/// A worker that reports that it drains, and later that it is ready again, has no planned exit ahead.
#[test]
fn crash_not_counted_of_a_worker_that_is_ready_again() {
    for order in [Order::EntryAfterRemoval, Order::EntryWithoutRemoval, Order::AnswerBeforeEntry] {
        let mut s = Scene::new();
        s.report_running();
        s.drain(order);
        s.f.list_again(0, FIRST_INCARNATION);
        s.come_back(order);
        assert_eq!(s.jobs_with_crashes(), [1], "{order:?}");
    }
}

// The same in the model, where several workers exit at a time and owners are lost between the report and the exit.
#[test]
fn jobs_given_up_while_workers_exit_as_planned() {
    for seed in 1..=SEEDS {
        let mut w = World::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15), 6, seed.is_multiple_of(2));
        w.take_over(None);
        w.long_polls = true;
        let owner_crash = if seed.is_multiple_of(3) { 60 } else { 0 };
        w.faults = Faults { planned_exit: 300, owner_crash, ..Faults::default() };
        for id in 1..=6 {
            w.accept(id, vec![step(2, 1_000, 40_000)]);
        }
        w.run(RELEASE);
        w.faults = Faults::default();
        w.run_quietly(RELEASE * 2);
        assert_eq!(w.all_violations(), Vec::<String>::new(), "seed {seed}");
        assert!(w.all_ended(), "seed {seed}: {}", w.explain());
        let failed: Vec<_> = w.ended.iter().filter(|(_, s)| **s != State::Completed).collect();
        assert_eq!(failed, Vec::new(), "seed {seed}");
    }
}

// A job is given up for good when the exit is taken for the last crash that it takes, here one under a task on trial.
#[test]
fn job_given_up_for_an_exit_whose_report_is_read_late() {
    let mut s = Scene::new();
    s.report_running();
    let starts = s.come_back(Order::AnswerBeforeEntry);
    assert_eq!(s.jobs_with_crashes(), [1], "the first worker has crashed");
    s.start = starts.into_iter().next_back().expect("the task is tried");
    s.f.reply(std::slice::from_ref(&s.start), Reply::Done);
    s.report_running();
    s.come_back(Order::AnswerBeforeDrainReport);
    assert_ne!(s.f.cell.state(1), Some(State::Failed), "{:?}", s.f.cell.explain(1));
}
