//! Workers whose capacity shrinks and grows while they run.

use crate::fixture::{FIRST_INCARNATION, Fixture, entry};
use crate::owner::step;
use catkin_cell::job::Step;
use catkin_cell::worker::{Reply, WorkerInfo};
use catkin_types::{JobId, Resources};
use std::time::Duration;

const FULL: u64 = 4_000;
const NONE: &[JobId] = &[];

/// Lists worker `n` with this many processors, in thousandths.
fn resize(f: &mut Fixture, n: usize, cpu: u64) {
    let info =
        WorkerInfo { capacity: Resources::new(cpu, 4_000, 0), ..entry(n, FIRST_INCARNATION) };
    f.cell.update_workers(vec![info], true, f.now);
}

/// Returns the jobs whose tasks are ordered to start from now on, for `duration`.
fn started(f: &mut Fixture, duration: Duration) -> Vec<JobId> {
    f.run(duration);
    f.take_starts().iter().map(|s| s.task.step.job).collect()
}

// Room that was reserved before the capacity shrank was used after it.
#[test]
fn reserved_task_started_after_the_capacity_shrank() {
    for gang in [false, true] {
        let mut f = Fixture::new(1);
        f.accept(1, "batch", vec![Step { gang, ..step(2, 1_500, 60_000) }]);
        // The room is reserved, and the start waits until it is durable.
        f.cell.tick(f.now, &mut f.out);
        assert_eq!(f.cell.summary(f.now).tasks_held, 2);
        resize(&mut f, 0, 2_000);
        let expected: &[JobId] = if gang { NONE } else { &[1] };
        assert_eq!(started(&mut f, Duration::from_secs(5)), expected, "gang: {gang}");
        resize(&mut f, 0, FULL);
        let rest: &[JobId] = if gang { &[1, 1] } else { &[1] };
        assert_eq!(started(&mut f, Duration::from_secs(1)), rest, "gang: {gang}");
    }
}

#[test]
fn task_that_is_being_stopped_counts_after_the_capacity_shrank() {
    let mut f = Fixture::new(1);
    f.accept(1, "batch", vec![step(1, 2_000, 60_000)]);
    f.tick();
    let first = f.take_starts();
    f.reply(&first, Reply::Done);
    f.report(0, FIRST_INCARNATION, &[(first[0].task, 1)]);
    resize(&mut f, 0, 2_000);
    f.cell.cancel(1, &mut f.out);
    f.accept(2, "batch", vec![step(1, 1_000, 1_000)]);
    for _ in 0..10 {
        f.report(0, FIRST_INCARNATION, &[(first[0].task, 1)]);
        assert_eq!(started(&mut f, Duration::from_millis(100)), NONE);
    }
    f.report(0, FIRST_INCARNATION, &[]);
    f.run(Duration::from_secs(1));
    f.report(0, FIRST_INCARNATION, &[]);
    assert_eq!(started(&mut f, Duration::from_secs(1)), [2]);
}

#[test]
fn growth_wakes_a_step_that_fitted_nowhere() {
    let mut f = Fixture::new(2);
    resize(&mut f, 0, 1_000);
    resize(&mut f, 1, 0);
    f.accept(1, "batch", vec![step(1, 3_000, 1_000)]);
    assert_eq!(started(&mut f, Duration::from_secs(5)), NONE);
    resize(&mut f, 1, FULL);
    assert_eq!(started(&mut f, Duration::from_secs(1)), [1]);
}
