//! The cost of faulty workers and of many simultaneous cancellations.

use crate::SEEDS;
use catkin_bench::demand::rng;
use catkin_bench::table::{print_heading, spread};
use catkin_place::health::{HealthTracker, Options, WorkerHealth};
use catkin_queue::{Options as QueueOptions, Queue};
use catkin_types::Row;
use rand::RngExt;
use std::time::{Duration, Instant};

const WORKERS: usize = 50;
const STARTS: usize = 5_000;

/// Returns the number of starts that failed because of a worker, out of 5,000 on 50 workers of which 2 fail every task.
/// These two are idle again at once and therefore get more tasks: each gets four times its even part.
fn lost_starts(quarantine: bool, seed: u64) -> f64 {
    let mut rng = rng(seed);
    let mut tracker = HealthTracker::new(Options::default());
    (0..WORKERS).for_each(|i| tracker.add(&format!("w{i}")));
    let mut lost = 0;
    for n in 0..STARTS {
        let i = if rng.random_range(0..6) == 0 {
            rng.random_range(0..2)
        } else {
            rng.random_range(2..WORKERS)
        };
        let worker = format!("w{i}");
        let now = Duration::from_millis(n as u64 * 20);
        if quarantine && tracker.worker_health(&worker, now) == WorkerHealth::Quarantined {
            continue;
        }
        // One task in a hundred fails independently of its worker.
        let ok = i >= 2 && rng.random_range(0..100) > 0;
        lost += usize::from(i < 2);
        tracker.record_end(&worker, n as u64 / 50, ok, now);
    }
    lost as f64
}

pub fn bad_workers() {
    print_heading(
        "Two of 50 workers fail everything: starts lost of 5,000",
        "| policy | starts lost |",
    );
    for (name, quarantine) in [("quarantine", true), ("nothing", false)] {
        let values: Vec<f64> = SEEDS.iter().map(|s| lost_starts(quarantine, *s)).collect();
        println!("| {name} | {} |", spread(&values, 0));
    }
}

pub fn cancellations() {
    print_heading(
        "A wave of cancellations out of 100,000 waiting entries, ms",
        "| cancelled | ms |",
    );
    for cancelled in [1_000_u64, 100_000] {
        let elapsed_ms = |_: &u64| {
            let mut q = Queue::new(QueueOptions::default());
            let row = Row {
                name: "a".into(),
                queue_bound: 100_000,
                max_wait_ms: u64::MAX,
                ..Row::default()
            };
            for i in 0..100_000_u64 {
                q.offer(&row, i, Duration::ZERO).expect("the queue is full");
            }
            let started = Instant::now();
            let removed = q.remove(|i| *i < cancelled);
            std::hint::black_box(removed);
            started.elapsed().as_secs_f64() * 1_000.0
        };
        println!(
            "| {cancelled} | {} |",
            spread(&SEEDS.iter().map(elapsed_ms).collect::<Vec<_>>(), 2)
        );
    }
}
