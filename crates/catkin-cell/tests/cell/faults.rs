//! Owners and workers under injected faults, one kind at a time and combined.

use crate::owner::step;
use crate::world::{Faults, World};
use catkin_cell::job::Step;
use std::time::Duration;

/// Runs jobs of all kinds, accepted over four seconds.
fn run_scenario(seed: u64, faults: Faults) -> World {
    let mut w = World::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15), 8, seed.is_multiple_of(2));
    w.take_over(None);
    let mut id = 0;
    for second in 1..5 {
        for _ in 0..6 {
            id += 1;
            let ms = 200 + w.random() % 2_000;
            let count = 1 + u32::try_from(w.random() % 6).expect("less than 6");
            let first = Step { gang: w.random().is_multiple_of(3), ..step(count, 1_000, ms) };
            let second = Step { after: vec![0], ..step(2, 1_500, ms) };
            let steps = if id % 3 == 0 { vec![first, second] } else { vec![first] };
            w.accept(id, steps);
            if id % 11 == 0 {
                w.cancel(id - 2);
            }
        }
        w.faults = faults;
        w.run(Duration::from_secs(1 + second));
    }
    w.run(Duration::from_secs(25));
    w.faults = Faults { task_failure: faults.task_failure, ..Faults::default() };
    w.run(Duration::from_secs(90));
    w
}

fn assert_invariants_hold(faults: Faults) {
    for seed in 1..=130 {
        let mut w = run_scenario(seed, faults);
        assert_eq!(w.all_violations(), Vec::<String>::new(), "seed {seed}");
        assert!(w.all_ended(), "seed {seed}: {}", w.explain());
    }
}

#[test]
fn lost_and_late_answers() {
    assert_invariants_hold(Faults { answer_lost: 60, order_late: 60, ..Faults::default() });
}

#[test]
fn owner_crashes() {
    assert_invariants_hold(Faults { owner_crash: 300, task_failure: 100, ..Faults::default() });
}

#[test]
fn old_owners_continue_after_takeover() {
    assert_invariants_hold(Faults {
        owner_crash: 300,
        owner_continues: 1_000,
        task_failure: 100,
        ..Faults::default()
    });
}

#[test]
fn old_owners_reach_workers_that_their_successors_do_not() {
    assert_invariants_hold(Faults {
        owner_crash: 80,
        owner_continues: 700,
        owner_isolated: 800,
        crash_unnoticed: 300,
        worker_cut_off: 500,
        worker_lag_per_mille: 20,
        duration_factor: 12,
        ..Faults::default()
    });
}

#[test]
fn old_owners_see_workers_restart_that_their_successors_use() {
    assert_invariants_hold(Faults {
        owner_crash: 80,
        owner_continues: 1_000,
        owner_isolated: 1_000,
        worker_cut_off: 500,
        worker_crash: 60,
        task_failure: 300,
        duration_factor: 6,
        ..Faults::default()
    });
}

#[test]
fn worker_crashes_and_partitions() {
    assert_invariants_hold(Faults {
        worker_crash: 30,
        partition: 40,
        task_failure: 100,
        ..Faults::default()
    });
}

#[test]
fn failures_are_counted_once_across_takeovers() {
    assert_invariants_hold(Faults { owner_crash: 1_000, task_failure: 400, ..Faults::default() });
}

#[test]
fn tasks_of_partitioned_workers_end_before_they_restart_elsewhere() {
    assert_invariants_hold(Faults {
        partition: 100,
        worker_lag_per_mille: 20,
        duration_factor: 6,
        ..Faults::default()
    });
}

#[test]
fn tasks_of_an_unreachable_worker_restart_elsewhere() {
    let mut w = World::new(11, 3, false);
    w.take_over(None);
    w.accept(1, vec![step(12, 1_000, 4_000)]);
    (0..100).for_each(|_| w.run_tick());
    w.disconnect_worker(0);
    w.run(Duration::from_secs(40));
    assert_eq!(w.violations, Vec::<String>::new());
    assert!(w.all_ended(), "{}", w.explain());
}

#[test]
fn all_faults_combined() {
    assert_invariants_hold(Faults {
        answer_lost: 40,
        order_late: 40,
        owner_crash: 200,
        owner_continues: 500,
        worker_crash: 20,
        partition: 30,
        task_failure: 100,
        worker_lag_per_mille: 20,
        ..Faults::default()
    });
}

#[test]
fn all_faults_combined_with_isolated_owners() {
    assert_invariants_hold(Faults {
        answer_lost: 40,
        order_late: 40,
        owner_crash: 80,
        owner_continues: 700,
        owner_isolated: 800,
        crash_unnoticed: 300,
        worker_cut_off: 500,
        worker_crash: 20,
        partition: 30,
        task_failure: 100,
        worker_lag_per_mille: 20,
        duration_factor: 8,
        ..Faults::default()
    });
}
