//! Owners and workers under faults, alone and together.

use crate::owner::step;
use crate::world::{Trouble, World};
use catkin_cell::job::Step;
use std::time::Duration;

/// Jobs of all kinds, accepted over four seconds.
fn play(seed: u64, trouble: Trouble) -> World {
    let mut w = World::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15), 8, seed.is_multiple_of(2));
    w.take_over(None);
    let mut id = 0;
    for second in 1..5 {
        for _ in 0..6 {
            id += 1;
            let ms = 200 + w.random() % 2_000;
            let count = 1 + u32::try_from(w.random() % 6).expect("small");
            let first = Step { gang: w.random().is_multiple_of(3), ..step(count, 1_000, ms) };
            let second = Step { after: vec![0], ..step(2, 1_500, ms) };
            let steps = if id % 3 == 0 { vec![first, second] } else { vec![first] };
            w.accept(id, steps);
            if id % 11 == 0 {
                w.cancel(id - 2);
            }
        }
        w.trouble = trouble;
        w.run(Duration::from_secs(1 + second));
    }
    w.run(Duration::from_secs(25));
    w.trouble = Trouble { fails: trouble.fails, ..Trouble::default() };
    w.run(Duration::from_secs(90));
    w
}

fn sound(trouble: Trouble) {
    for seed in 1..=130 {
        let mut w = play(seed, trouble);
        assert_eq!(w.judge(), Vec::<String>::new(), "seed {seed}");
        assert!(w.all_ended(), "seed {seed}: {}", w.explain());
    }
}

#[test]
fn lost_and_late_answers() {
    sound(Trouble { answer_lost: 60, late: 60, ..Trouble::default() });
}

#[test]
fn owners_that_die() {
    sound(Trouble { owner_dies: 300, fails: 100, ..Trouble::default() });
}

#[test]
fn owners_that_live_on() {
    sound(Trouble { owner_dies: 300, owner_lives_on: 1_000, fails: 100, ..Trouble::default() });
}

#[test]
fn workers_that_crash_and_are_cut_off() {
    sound(Trouble { crash: 30, cut: 40, fails: 100, ..Trouble::default() });
}

#[test]
fn a_failure_is_counted_once_whoever_owns_the_cell() {
    sound(Trouble { owner_dies: 1_000, fails: 400, ..Trouble::default() });
}

#[test]
fn long_work_of_workers_that_are_cut_off_is_over_before_it_starts_elsewhere() {
    sound(Trouble { cut: 100, slow_clocks: 20, longer: 6, ..Trouble::default() });
}

#[test]
fn work_of_a_worker_that_stays_silent_goes_on_elsewhere() {
    let mut w = World::new(11, 3, false);
    w.take_over(None);
    w.accept(1, vec![step(12, 1_000, 4_000)]);
    (0..100).for_each(|_| w.turn());
    w.silence(0);
    w.run(Duration::from_secs(40));
    assert_eq!(w.broken, Vec::<String>::new());
    assert!(w.all_ended(), "{}", w.explain());
}

#[test]
fn all_at_once() {
    sound(Trouble {
        answer_lost: 40,
        late: 40,
        owner_dies: 200,
        owner_lives_on: 500,
        crash: 20,
        cut: 30,
        fails: 100,
        slow_clocks: 20,
        ..Trouble::default()
    });
}
