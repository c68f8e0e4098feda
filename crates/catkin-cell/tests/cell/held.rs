//! Jobs whose stored state a new owner can't read.

use crate::owner::step;
use crate::world::World;
use catkin_cell::State;
use catkin_cell::job::Step;
use std::time::Duration;

const JOB: u64 = 1;

/// The first step has ended and the second one runs.
fn second_step_runs(seed: u64) -> World {
    let mut w = World::new(seed, 3, false);
    w.take_over(None);
    w.accept(JOB, vec![step(2, 1_000, 200), Step { after: vec![0], ..step(2, 1_000, 3_000) }]);
    w.run(Duration::from_secs(2));
    assert_eq!(w.starts, 4, "{}", w.explain());
    w
}

#[test]
fn an_owner_that_can_read_a_held_job_again_starts_none_of_its_tasks_twice() {
    let mut w = second_step_runs(17);
    w.unreadable.insert(JOB);
    w.take_over(Some(w.now));
    (0..1_000).for_each(|_| w.run_tick());
    assert!(w.workers.iter().all(|w| w.running.is_empty()), "the second step has ended");
    assert_eq!((w.ended.get(&JOB), w.starts), (None, 4));
    w.unreadable.clear();
    w.take_over(Some(w.now));
    w.run(Duration::from_secs(30));
    assert_eq!(w.all_violations(), Vec::<String>::new());
    assert_eq!((w.ended.get(&JOB), w.starts), (Some(&State::Completed), 4));
}

#[test]
fn the_tasks_of_a_held_job_run_until_it_is_cancelled() {
    let mut w = second_step_runs(19);
    w.unreadable.insert(JOB);
    w.take_over(Some(w.now));
    (0..20).for_each(|_| w.run_tick());
    assert_eq!(w.workers.iter().map(|w| w.running.len()).sum::<usize>(), 2);
    w.cancel(JOB);
    (0..100).for_each(|_| w.run_tick());
    assert!(w.workers.iter().all(|w| w.running.is_empty()));
    assert_eq!(w.ended.get(&JOB), Some(&State::Cancelled));
    assert_eq!(w.all_violations(), Vec::<String>::new());
}
