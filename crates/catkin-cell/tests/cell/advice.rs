//! Requests to the adviser: how many are sent, and how many workers they name.

use crate::owner::step;
use crate::world::World;
use catkin_cell::job::Step;
use catkin_cell::{Options, State};
use std::time::Duration;

const WORKERS: usize = 300;
const ELIGIBLE_ONE_IN: u64 = 4;

fn world(seed: u64) -> World {
    let mut w = World::new(seed, WORKERS, true);
    w.allow_one_in = ELIGIBLE_ONE_IN;
    w.take_over(None);
    w.run(Duration::from_secs(2));
    w
}

fn assert_all_complete(w: &mut World) {
    w.run(Duration::from_secs(40));
    assert_eq!(w.violations, Vec::<String>::new());
    assert!(w.all_ended(), "{}", w.explain());
    assert!(w.ended.values().all(|s| *s == State::Completed));
}

#[test]
fn small_step_sends_one_advice_request_with_few_workers() {
    let mut w = world(3);
    w.accept(1, vec![step(3, 1_000, 300)]);
    assert_all_complete(&mut w);
    assert_eq!(w.advice_request_sizes.len(), 1, "{:?}", w.advice_request_sizes);
    assert!(w.advice_request_sizes[0] <= 60, "{:?}", w.advice_request_sizes);
}

#[test]
fn wide_gang_gets_enough_eligible_workers() {
    let mut w = world(5);
    // The gang takes 60 of the about 75 workers that may run it.
    w.accept(1, vec![Step { gang: true, ..step(60, 3_500, 500) }]);
    let since = w.now;
    assert_all_complete(&mut w);
    // Several daemons ask in parallel: all requests together take no longer than one.
    assert!(w.now < since + Duration::from_millis(1_700), "{:?}", w.now.checked_sub(since));
    assert!(w.advice_request_sizes.len() > 1);
}

#[test]
fn steps_with_pending_advice_are_bounded() {
    let mut w = world(9);
    for id in 1..1_000 {
        w.accept(id, vec![step(1, 100, 300)]);
    }
    w.run_tick();
    w.run_tick();
    assert!(
        w.advice_request_sizes.len() <= Options::default().max_pending_advice,
        "{}",
        w.advice_request_sizes.len()
    );
    assert_all_complete(&mut w);
}

#[test]
fn tasks_start_on_workers_beyond_the_first_advice_request() {
    let mut w = world(7);
    // Each of the 40 tasks needs a worker of its own. Fewer than one in four of the 48 workers of the first request may
    // run them.
    w.accept(1, vec![Step { max_per_worker: 1, ..step(40, 3_500, 2_000) }]);
    assert_all_complete(&mut w);
    assert!(w.now < Duration::from_secs(9), "{:?}", w.now);
}
