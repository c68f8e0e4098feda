//! After any sequence of faults and then quiet, every step that fits is started within a bound.

use crate::owner::step;
use crate::world::{Faults, World};
use catkin_cell::job::Step;
use std::time::Duration;

/// The number of scenarios of each kind. Each seed is one.
const SEEDS: u64 = 40;
/// The variable that sets the number of scenarios for a longer run.
const SEEDS_VARIABLE: &str = "CATKIN_QUIET_SEEDS";
/// How long jobs are accepted while there are faults.
const TRAFFIC: Duration = Duration::from_secs(20);

/// All faults of a scenario; each seed has about half of them.
const FAULTS: Faults = Faults {
    answer_lost: 60,
    order_late: 60,
    poll_late: 0,
    poll_answer_lost: 0,
    answer_late: 60,
    owner_crash: 100,
    owner_continues: 500,
    owner_isolated: 0,
    crash_unnoticed: 0,
    worker_cut_off: 0,
    worker_crash: 40,
    restart_then_cut: 0,
    planned_exit: 0,
    clock_back: 300,
    worker_leaves: 20,
    worker_joins: 250,
    entry_missing: 40,
    worker_declines: 30,
    partition: 40,
    table_outage: 60,
    advice_late: 100,
    task_failure: 50,
    worker_lag_per_mille: 20,
    duration_factor: 1,
};

/// Returns the seeds of this run.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let count = std::env::var(SEEDS_VARIABLE).ok().and_then(|n| n.parse().ok());
    1..=count.unwrap_or(SEEDS)
}

/// Returns a step of random size, which is a gang at times.
fn random_step(w: &mut World, max_count: u64) -> Step {
    let count = 1 + u32::try_from(w.random() % max_count).expect("a small number");
    let cpu = 500 + 500 * (w.random() % 7);
    let ms = 200 + w.random() % 4_000;
    Step { gang: w.random().is_multiple_of(2), ..step(count, cpu, ms) }
}

/// Returns about half of the faults.
fn random_faults(w: &mut World) -> Faults {
    let mut pick = |rate: u32| if w.random().is_multiple_of(2) { rate } else { 0 };
    Faults {
        answer_lost: pick(FAULTS.answer_lost),
        order_late: pick(FAULTS.order_late),
        answer_late: pick(FAULTS.answer_late),
        owner_crash: pick(FAULTS.owner_crash),
        worker_crash: pick(FAULTS.worker_crash),
        worker_leaves: pick(FAULTS.worker_leaves),
        entry_missing: pick(FAULTS.entry_missing),
        worker_declines: pick(FAULTS.worker_declines),
        partition: pick(FAULTS.partition),
        table_outage: pick(FAULTS.table_outage),
        advice_late: pick(FAULTS.advice_late),
        task_failure: pick(FAULTS.task_failure),
        worker_lag_per_mille: pick(FAULTS.worker_lag_per_mille),
        ..FAULTS
    }
}

/// Runs jobs of all kinds among faults, which go on until the last job was accepted, and then without any.
fn run_scenario(seed: u64, advised: bool) -> World {
    let mut w = World::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15), 10, advised);
    w.long_polls = w.random().is_multiple_of(2);
    if advised {
        w.allow_one_in = 1 + w.random() % 3;
        w.advice_callers = vec![Duration::ZERO; 4];
    }
    w.take_over(None);
    w.faults = random_faults(&mut w);
    let mut id = 0;
    while w.now < TRAFFIC && w.violations.is_empty() {
        if w.random().is_multiple_of(60) {
            id += 1;
            let first = random_step(&mut w, 6);
            let second = Step { after: vec![0], ..random_step(&mut w, 3) };
            let steps = if id % 3 == 0 { vec![first, second] } else { vec![first] };
            w.accept_to(if id % 2 == 0 { "q" } else { "batch" }, id, steps);
            if id % 11 == 0 {
                w.cancel(id - 2);
            }
        }
        w.run_tick();
    }
    w.faults = Faults::default();
    w.end_outages();
    w.run_quietly(Duration::from_secs(100));
    w
}

fn assert_live(seeds: std::ops::RangeInclusive<u64>, advised: bool) {
    let failure = |seed: u64| {
        let mut w = run_scenario(seed, advised);
        let violations = w.all_violations();
        // A gang that is too large for the workers that stay can't run.
        let unfinished = w.unfinished();
        let failed = !violations.is_empty() || !unfinished.is_empty();
        failed.then(|| format!("seed {seed}: {violations:?}, unfinished {unfinished:?}"))
    };
    let failures: Vec<String> = seeds.filter_map(failure).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn steps_that_fit_start_within_the_bound() {
    assert_live(seeds(), false);
}

#[test]
fn steps_that_need_advice_start_within_the_bound() {
    assert_live(seeds(), true);
}

// A poll to a worker that has restarted acknowledges ends by the numbers of its earlier life.
#[test]
fn ends_dropped_by_an_acknowledgement_for_an_earlier_life() {
    assert_live(1888..=1888, true);
    assert_live(1545..=1545, false);
    assert_live(2461..=2461, false);
}
