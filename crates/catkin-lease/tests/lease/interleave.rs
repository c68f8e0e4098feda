//! Arbitrary interleavings of messages, losses, duplicates, pauses, restarts, take-overs, releases and clock drift.

use crate::world::{Flaw, OWNERS, WORKERS, World};
use catkin_lease::Options;
use catkin_lease::message::Ending;
use std::time::Duration;

const TASKS: u32 = 3;
const MAX_PACKETS: usize = 12;
/// Rates of the clocks, in parts per million of true time, and a bound that holds for every pair of them.
const DRIFT: [i64; OWNERS + WORKERS] = [100_000, -100_000, -100_000, 100_000];
const DRIFT_BOUND: u32 = 230_000;

fn options() -> Options {
    let s = Duration::from_secs;
    Options {
        length: s(4),
        autonomy: s(3),
        drift_ppm: DRIFT_BOUND,
        renew_interval: s(1),
        busy_interval: s(1),
        reply_timeout: s(1),
    }
}

fn step(w: &mut World, op: u8, arg: u8) {
    let i = usize::from(arg) % OWNERS;
    let pick = |n: usize| usize::from(arg) % n.max(1);
    match op % 32 {
        0 | 1 => w.advance(u64::from(arg) * 4),
        2..=4 | 16..=23 => w.poll(i),
        5 | 6 if !w.net.is_empty() => w.deliver(pick(w.net.len()), false),
        7 | 8 if !w.returns.is_empty() => w.answer(pick(w.returns.len())),
        9 if !w.net.is_empty() => w.deliver(pick(w.net.len()), true),
        10 if !w.net.is_empty() => drop(w.net.remove(pick(w.net.len()))),
        10 if !w.returns.is_empty() => drop(w.returns.remove(pick(w.returns.len()))),
        11 => w.take_over(i),
        12 if arg.is_multiple_of(4) => w.release(i),
        12 => w.cut[i] = !w.cut[i],
        13 => w.restart(pick(WORKERS)),
        14 if arg > 128 => w.finish(pick(WORKERS), Ending::Failed),
        14 if arg < 20 => w.finish(pick(WORKERS), Ending::Ok),
        15 if arg > 128 => w.stop_all(i),
        15 => w.prefers[i] = usize::from(arg / 2) % WORKERS,
        _ => {
            // Everything that is on its way arrives, so that longer histories come about.
            for _ in 0..MAX_PACKETS {
                if !w.net.is_empty() {
                    w.deliver(0, false);
                }
                if !w.returns.is_empty() {
                    w.answer(0);
                }
            }
        }
    }
    while w.net.len() > MAX_PACKETS {
        w.net.remove(0);
    }
    while w.returns.len() > MAX_PACKETS {
        w.returns.remove(0);
    }
}

fn run(flaw: Flaw, ops: &[(u8, u8)]) -> Option<String> {
    let mut w = World::new(options(), flaw, TASKS);
    w.drift = DRIFT;
    w.take_over(0);
    ops.iter().find_map(|(op, arg)| {
        step(&mut w, *op, *arg);
        w.violation()
    })
}

#[test]
fn no_interleaving_runs_a_task_twice_or_overfills_a_worker() {
    bolero::check!()
        .with_generator(bolero::generator::produce::<Vec<(u8, u8)>>().with().len(0_usize..400))
        .for_each(|ops: &Vec<(u8, u8)>| assert_eq!(run(Flaw::None, ops), None));
}

/// A fixed pseudo-random walk: the same verdict every run.
fn walk(seed: u64, len: usize) -> Vec<(u8, u8)> {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        x.to_le_bytes()
    };
    (0..len)
        .map(|_| {
            let b = next();
            (b[0], b[3])
        })
        .collect()
}

const WALKS: u64 = 3_000;
const STEPS: usize = 300;

#[test]
fn walks_catch_machines_without_epochs_and_without_settling() {
    for flaw in [Flaw::NoEpoch, Flaw::UnrecordedStart] {
        let caught = (1..=WALKS).find(|s| run(flaw, &walk(*s, STEPS)).is_some());
        println!("{flaw:?}: caught by walk {caught:?}");
        assert!(caught.is_some(), "{flaw:?}");
    }
}

#[test]
fn no_walk_runs_a_task_twice() {
    for seed in 1..=WALKS {
        assert_eq!(run(Flaw::None, &walk(seed, STEPS)), None, "seed {seed}");
    }
}
