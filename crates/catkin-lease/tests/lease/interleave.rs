//! Random interleavings of messages, losses, duplicates, pauses, restarts, takeovers, releases and clock drift.

use crate::world::{Flaw, OWNERS, WORKERS, World};
use catkin_lease::Options;
use catkin_lease::message::Ending;
use std::time::Duration;

const TASKS: u32 = 3;
const MAX_PACKETS: usize = 12;
/// The rate errors of the clocks, in parts per million of true time, and a bound that holds for every pair of clocks.
const DRIFT_PPM: [i64; OWNERS + WORKERS] = [100_000, -100_000, -100_000, 100_000];
const DRIFT_BOUND_PPM: u32 = 230_000;

fn options() -> Options {
    let s = Duration::from_secs;
    Options {
        length: s(4),
        autonomy: s(3),
        drift_ppm: DRIFT_BOUND_PPM,
        renew_interval: s(1),
        busy_interval: s(1),
        reply_timeout: s(1),
    }
}

fn apply_op(w: &mut World, op: u8, arg: u8) {
    let i = usize::from(arg) % OWNERS;
    let pick = |n: usize| usize::from(arg) % n.max(1);
    match op % 32 {
        0 | 1 => w.advance(u64::from(arg) * 4),
        2..=4 | 16..=23 => w.poll(i),
        5 | 6 if !w.requests.is_empty() => w.deliver_request(pick(w.requests.len()), false),
        7 | 8 if !w.replies.is_empty() => w.deliver_reply(pick(w.replies.len())),
        9 if !w.requests.is_empty() => w.deliver_request(pick(w.requests.len()), true),
        10 if !w.requests.is_empty() => drop(w.requests.remove(pick(w.requests.len()))),
        10 if !w.replies.is_empty() => drop(w.replies.remove(pick(w.replies.len()))),
        11 => w.take_over(i),
        12 if arg.is_multiple_of(4) => w.release(i),
        12 => w.partitioned[i] = !w.partitioned[i],
        13 => w.restart(pick(WORKERS)),
        14 if arg > 128 => w.finish(pick(WORKERS), Ending::Failed),
        14 if arg < 20 => w.finish(pick(WORKERS), Ending::Ok),
        15 if arg > 128 => w.stop_all(i),
        15 => w.preferred[i] = usize::from(arg / 2) % WORKERS,
        _ => {
            // All messages in flight arrive, so that longer histories are reached.
            for _ in 0..MAX_PACKETS {
                if !w.requests.is_empty() {
                    w.deliver_request(0, false);
                }
                if !w.replies.is_empty() {
                    w.deliver_reply(0);
                }
            }
        }
    }
    while w.requests.len() > MAX_PACKETS {
        w.requests.remove(0);
    }
    while w.replies.len() > MAX_PACKETS {
        w.replies.remove(0);
    }
}

fn run(flaw: Flaw, ops: &[(u8, u8)]) -> Option<String> {
    let mut w = World::new(options(), flaw, TASKS);
    w.clock_drift_ppm = DRIFT_PPM;
    w.take_over(0);
    ops.iter().find_map(|(op, arg)| {
        apply_op(&mut w, *op, *arg);
        w.violation()
    })
}

#[test]
fn no_interleaving_runs_a_task_twice_or_overfills_a_worker() {
    bolero::check!()
        .with_generator(bolero::generator::produce::<Vec<(u8, u8)>>().with().len(0_usize..400))
        .for_each(|ops: &Vec<(u8, u8)>| assert_eq!(run(Flaw::None, ops), None));
}

/// Returns a pseudo-random walk that depends on the seed only, so that each run gives the same result.
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
fn walks_find_violations_without_epoch_checks_and_without_settling() {
    for flaw in [Flaw::NoEpochCheck, Flaw::NoSettling] {
        let violating = (1..=WALKS).find(|s| run(flaw, &walk(*s, STEPS)).is_some());
        println!("{flaw:?}: violated by walk {violating:?}");
        assert!(violating.is_some(), "{flaw:?}");
    }
}

#[test]
fn no_walk_runs_a_task_twice() {
    for seed in 1..=WALKS {
        assert_eq!(run(Flaw::None, &walk(seed, STEPS)), None, "seed {seed}");
    }
}
