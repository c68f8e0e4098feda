//! Compares slots that the owner grants for each request with slots that are divided among gates and rebalanced
//! periodically.
//!
//! The second scheme counts locally and synchronises at intervals (Meituan talk on HTTP service governance, 2019). It
//! saves two hops of 0.5 ms per request, but leaves slots idle at gates that have no requests for them.

use crate::SEEDS;
use catkin_bench::demand::rng;
use catkin_bench::table::MAX_RECORDED_VALUE;
use catkin_bench::table::{print_heading, spread};
use hdrhistogram::Histogram;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const GATES: usize = 8;
const SLOTS: usize = 400;
const SERVICE_MS: f64 = 20.0;
const OWNER_HOPS_MS: f64 = 1.0;
const SYNC_INTERVAL_MS: f64 = 1_000.0;
const DURATION_S: f64 = 10.0;

/// Returns the 99th percentile of wait and hops, in ms. `local` divides the slots among gates by the requests of each in
/// the last interval. `skewed` sends a quarter of the requests to one gate, which changes every second.
fn simulate_p99_ms(load: f64, local: bool, skewed: bool, seed: u64) -> f64 {
    let mut rng = rng(seed);
    let rate = load * (SLOTS as f64) / SERVICE_MS;
    let mut slots_per_gate = [SLOTS / GATES; GATES];
    let mut running = vec![0_usize; GATES];
    let mut arrived = vec![0_usize; GATES];
    let mut waiting: Vec<VecDeque<f64>> = vec![VecDeque::new(); GATES];
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut waits =
        Histogram::<u64>::new_with_max(MAX_RECORDED_VALUE, 3).expect("invalid histogram bounds");
    let (mut next_arrival, mut next_sync, mut hot_gate) = (0.0_f64, SYNC_INTERVAL_MS, 0);
    loop {
        let end = ends.peek().map_or(f64::INFINITY, |Reverse((ns, _))| *ns as f64 / 1e6);
        let now = next_arrival.min(end).min(next_sync);
        if now > DURATION_S * 1_000.0 {
            return waits.value_at_quantile(0.99) as f64 / 1_000.0
                + if local { 0.0 } else { OWNER_HOPS_MS };
        }
        if next_sync <= now {
            next_sync += SYNC_INTERVAL_MS;
            // The gate that gets more requests until the next interval, if `skewed` is set.
            hot_gate = rng.random_range(0..GATES);
            let total: usize = arrived.iter().sum::<usize>().max(1);
            for (s, a) in slots_per_gate.iter_mut().zip(&arrived) {
                *s = (SLOTS * a / total).max(1);
            }
            arrived.fill(0);
        } else if end <= next_arrival {
            if let Some(Reverse((_, gate))) = ends.pop() {
                running[gate] -= 1;
            }
        } else {
            let u: f64 = rng.random_range(1e-9..1.0);
            next_arrival += -u.ln() / rate;
            let gate = if skewed && rng.random_range(0..4) == 0 {
                hot_gate
            } else {
                rng.random_range(0..GATES)
            };
            arrived[gate] += 1;
            waiting[gate].push_back(now);
        }
        for gate in 0..GATES {
            let has_free_slot = |running: &[usize]| {
                if local {
                    running[gate] < slots_per_gate[gate]
                } else {
                    running.iter().sum::<usize>() < SLOTS
                }
            };
            while has_free_slot(&running) {
                let Some(queued_ms) = waiting[gate].pop_front() else { break };
                waits.saturating_record(((now - queued_ms) * 1_000.0) as u64);
                running[gate] += 1;
                let service = SERVICE_MS * rng.random_range(0.5..1.5);
                ends.push(Reverse((((now + service) * 1e6) as u64, gate)));
            }
        }
    }
}

pub fn permits() {
    let columns = "| load | gates | owner asked for each request | divided among gates, balanced each second |";
    print_heading("p99 of wait and hops for a slot, ms (8 gates, 400 slots)", columns);
    for load in [0.5, 0.8, 0.95] {
        for (name, skewed) in [("even", false), ("a quarter to one gate", true)] {
            let cell = |local| {
                spread(
                    &SEEDS
                        .iter()
                        .map(|s| simulate_p99_ms(load, local, skewed, *s))
                        .collect::<Vec<_>>(),
                    2,
                )
            };
            println!("| {:.0}% | {name} | {} | {} |", load * 100.0, cell(false), cell(true));
        }
    }
}
