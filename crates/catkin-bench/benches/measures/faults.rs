//! What bad workers and waves of cancellations cost.

use crate::SEEDS;
use catkin_bench::demand::rng;
use catkin_bench::table::{heading, spread};
use catkin_place::health::{HealthTracker, Options, WorkerHealth};
use catkin_queue::{Options as QueueOptions, Queue};
use catkin_types::Row;
use rand::RngExt;
use std::time::{Duration, Instant};

const WORKERS: usize = 50;
const STARTS: usize = 5_000;

/// Starts that failed because of a worker, of 5,000 spread over 50 workers of which 2 fail everything. Failed ones are
/// idle at once, so that they attract work: each takes four times its part.
fn losses(guarded: bool, seed: u64) -> f64 {
    let mut rng = rng(seed);
    let mut fleet = HealthTracker::new(Options::default());
    (0..WORKERS).for_each(|i| fleet.add(&format!("w{i}")));
    let mut lost = 0;
    for n in 0..STARTS {
        let i = if rng.random_range(0..6) == 0 {
            rng.random_range(0..2)
        } else {
            rng.random_range(2..WORKERS)
        };
        let worker = format!("w{i}");
        let now = Duration::from_millis(n as u64 * 20);
        if guarded && fleet.worker_health(&worker, now) == WorkerHealth::Quarantined {
            continue;
        }
        // One task in a hundred fails for reasons of its own.
        let ok = i >= 2 && rng.random_range(0..100) > 0;
        lost += usize::from(i < 2);
        fleet.record_end(&worker, n as u64 / 50, ok, now);
    }
    lost as f64
}

pub fn bad_workers() {
    heading("Two of 50 workers fail everything: starts lost of 5,000", "| policy | starts lost |");
    for (name, guarded) in [("quarantine", true), ("nothing", false)] {
        let values: Vec<f64> = SEEDS.iter().map(|s| losses(guarded, *s)).collect();
        println!("| {name} | {} |", spread(&values, 0));
    }
}

pub fn cancellations() {
    heading("A wave of cancellations out of 100,000 waiting entries, ms", "| cancelled | ms |");
    for cancelled in [1_000_u64, 100_000] {
        let time = |_: &u64| {
            let mut q = Queue::new(QueueOptions::default());
            let row = Row {
                name: "a".into(),
                queue_bound: 100_000,
                max_wait_ms: u64::MAX,
                ..Row::default()
            };
            for i in 0..100_000_u64 {
                q.offer(&row, i, Duration::ZERO).expect("room");
            }
            let since = Instant::now();
            let dead = q.remove(|i| *i < cancelled);
            std::hint::black_box(dead);
            since.elapsed().as_secs_f64() * 1_000.0
        };
        println!("| {cancelled} | {} |", spread(&SEEDS.iter().map(time).collect::<Vec<_>>(), 2));
    }
}
