//! Event-driven simulation of executor slots under a flood of requests, for the fair queue and a baseline.

use crate::SEEDS;
use catkin_bench::baseline::Fifo;
use catkin_bench::demand::rng;
use catkin_bench::table::MAX_RECORDED_VALUE;
use catkin_bench::table::{goal_cell, median, print_heading, spread};
use catkin_queue::{Options, Queue};
use catkin_types::Row;
use catkin_types::row::Urgency;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// 50 executors with 8 slots.
const SLOTS: usize = 400;
const SERVICE_MS: f64 = 20.0;
/// The number of requests that all slots complete per second.
const CAPACITY_PER_S: f64 = 400.0 * 1_000.0 / SERVICE_MS;
const DURATION_S: f64 = 10.0;
/// The goal under a flood for the fraction of min(demand, share) that every other row keeps.
const MIN_KEPT_FRACTION: f64 = 0.95;
/// The goal under a flood for the factor by which the wait of a quote may grow.
const MAX_WAIT_FACTOR: f64 = 1.5;

/// Returns the rows: quotes, orders, slips, and the one that floods.
fn rows() -> [Row; 4] {
    let row = |name: &str, weight, urgency| Row {
        name: name.into(),
        borrower: "b".into(),
        weight,
        urgency,
        queue_bound: 2_000,
        max_wait_ms: 2_000,
        ..Row::default()
    };
    [
        row("quotes", 100, Urgency::Urgent),
        row("orders", 50, Urgency::Normal),
        row("slips", 50, Urgency::Normal),
        row("flood", 50, Urgency::Low),
    ]
}

enum TestedQueue {
    /// The queue, and the number of slots that are reserved for urgent rows below their share.
    Fair(Queue<(usize, f64)>, usize),
    Fifo(Fifo<(usize, f64)>),
}

#[derive(Default)]
struct Outcome {
    offered: [u64; 4],
    served: [u64; 4],
    refused: [u64; 4],
    max_waiting: usize,
    quote_p99_ms: f64,
    quote_p50_ms: f64,
    quote_p999_ms: f64,
}

fn interarrival_ms(rng: &mut StdRng, rate_per_s: f64) -> f64 {
    let u: f64 = rng.random_range(1e-9..1.0);
    -u.ln() / rate_per_s * 1_000.0
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

/// Simulates ten seconds. Times are in milliseconds, `rates` in requests per second.
fn simulate(mut queue: TestedQueue, rates: [f64; 4], urgent_flood: bool, seed: u64) -> Outcome {
    let mut rng = rng(seed);
    let mut rows = rows();
    if urgent_flood {
        rows[3].urgency = Urgency::Urgent;
    }
    let mut next_arrivals: Vec<f64> = rates
        .iter()
        .map(|r| if *r > 0.0 { interarrival_ms(&mut rng, *r) } else { f64::INFINITY })
        .collect();
    // End times of running requests, as integers in nanoseconds because floats have no total order.
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut running = [0_usize; 4];
    let mut out = Outcome::default();
    let mut waits =
        Histogram::<u64>::new_with_max(MAX_RECORDED_VALUE, 3).expect("invalid histogram bounds");
    loop {
        let (i, arrival) = next_arrivals
            .iter()
            .copied()
            .enumerate()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .expect("there are no rows");
        let end = ends.peek().map_or(f64::INFINITY, |Reverse((ns, _))| *ns as f64 / 1e6);
        let now = arrival.min(end);
        if now > DURATION_S * 1_000.0 {
            break;
        }
        if end <= arrival {
            if let Some(Reverse((_, row))) = ends.pop() {
                running[row] -= 1;
            }
        } else {
            next_arrivals[i] = arrival + interarrival_ms(&mut rng, rates[i]);
            out.offered[i] += 1;
            match &mut queue {
                TestedQueue::Fair(q, _) => {
                    if q.offer(&rows[i], (i, now), duration_from_ms(now)).is_err() {
                        out.refused[i] += 1;
                    }
                    for (_, (row, _)) in q.expire(duration_from_ms(now)) {
                        out.refused[row] += 1;
                    }
                }
                TestedQueue::Fifo(q) => q.offer((i, now)),
            }
        }
        while ends.len() < SLOTS {
            let dequeued = match &mut queue {
                TestedQueue::Fair(q, reserve) => {
                    let free = SLOTS - ends.len();
                    let entitled = |name: &String| {
                        let i = rows.iter().position(|r| r.name == *name).unwrap_or(3);
                        free > *reserve
                            || (rows[i].urgency == Urgency::Urgent && running[i] < share_of(i))
                    };
                    q.take(duration_from_ms(now), entitled).map(|(_, x)| x)
                }
                TestedQueue::Fifo(q) => q.take(),
            };
            let Some((row, queued_ms)) = dequeued else { break };
            out.served[row] += 1;
            if row == 0 {
                waits.saturating_record(((now - queued_ms) * 1_000.0) as u64);
            }
            let service = SERVICE_MS * rng.random_range(0.5..1.5);
            running[row] += 1;
            ends.push(Reverse((((now + service) * 1e6) as u64, row)));
        }
        out.max_waiting = out.max_waiting.max(match &queue {
            TestedQueue::Fair(q, _) => q.len(),
            TestedQueue::Fifo(q) => q.len(),
        });
    }
    out.quote_p50_ms = waits.value_at_quantile(0.5) as f64 / 1_000.0;
    out.quote_p99_ms = waits.value_at_quantile(0.99) as f64 / 1_000.0;
    out.quote_p999_ms = waits.value_at_quantile(0.999) as f64 / 1_000.0;
    out
}

/// Returns the number of slots that a row is entitled to by its weight.
fn share_of(row: usize) -> usize {
    SLOTS * [100, 50, 50, 50][row] / 250
}

fn fair_queue(reserve: usize) -> TestedQueue {
    TestedQueue::Fair(Queue::new(Options::default()), reserve)
}

/// Half of the square root of the number of slots.
const RESERVED_SLOTS: usize = (SLOTS / 4).isqrt();

/// Returns the lowest fraction of min(demand, share) that was served, over all rows but the flood.
fn worst_kept_fraction(out: &Outcome, seconds: f64) -> f64 {
    let weights = [100.0, 50.0, 50.0];
    let kept_fraction = |i: usize| {
        let share = CAPACITY_PER_S * seconds * weights[i] / 250.0;
        out.served[i] as f64 / (out.offered[i] as f64).min(share)
    };
    (0..3).map(kept_fraction).fold(f64::INFINITY, f64::min)
}

pub fn floods() {
    let columns = "| flood | kind | queue | worst kept of min(demand, share) | p99 wait of a quote, ms | most waiting | goal |";
    print_heading("Floods over 400 slots; other rows ask for 60% of what the fleet takes", columns);
    let base_rates = [CAPACITY_PER_S * 0.3, CAPACITY_PER_S * 0.15, CAPACITY_PER_S * 0.15, 0.0];
    let base_waits: Vec<f64> = SEEDS
        .iter()
        .map(|s| simulate(fair_queue(RESERVED_SLOTS), base_rates, false, *s).quote_p99_ms)
        .collect();
    println!("| none | - | fair | - | {} | - | - |", spread(&base_waits, 2));
    // A wait of less than a hundredth of the service time counts as no wait.
    let allowed_wait_ms = (median(&base_waits) * MAX_WAIT_FACTOR).max(SERVICE_MS * 0.01);
    for load_factor in [10.0, 100.0] {
        for urgent in [false, true] {
            for name in ["fair", "fair, no reserve", "first in, first out"] {
                let rates =
                    [base_rates[0], base_rates[1], base_rates[2], CAPACITY_PER_S * load_factor];
                if name.starts_with("first") && load_factor > 10.0 {
                    // The unbounded queue would take gigabytes of memory.
                    continue;
                }
                let queue = || match name {
                    "fair" => fair_queue(RESERVED_SLOTS),
                    "fair, no reserve" => fair_queue(0),
                    _ => TestedQueue::Fifo(Fifo::default()),
                };
                let runs: Vec<Outcome> =
                    SEEDS.iter().map(|s| simulate(queue(), rates, urgent, *s)).collect();
                let kept: Vec<f64> =
                    runs.iter().map(|o| worst_kept_fraction(o, DURATION_S)).collect();
                let wait: Vec<f64> = runs.iter().map(|o| o.quote_p99_ms).collect();
                let most = runs.iter().map(|o| o.max_waiting).max().unwrap_or(0);
                let goal = median(&kept) >= MIN_KEPT_FRACTION && median(&wait) <= allowed_wait_ms;
                let kind = if urgent { "urgent" } else { "low" };
                println!(
                    "| {load_factor:.0}x | {kind} | {name} | {} | {} | {most} | {} |",
                    spread(&kept, 3),
                    spread(&wait, 2),
                    if name == "fair" { goal_cell(goal) } else { "-" }
                );
            }
        }
    }
}

pub fn waits() {
    print_heading("Wait of a quote at a load, all rows alike, ms", "| load | p50 | p99 | p99.9 |");
    for load in [0.5, 0.8, 0.95] {
        let rate_per_row = CAPACITY_PER_S * load / 4.0;
        let runs: Vec<Outcome> = SEEDS
            .iter()
            .map(|s| simulate(fair_queue(RESERVED_SLOTS), [rate_per_row; 4], false, *s))
            .collect();
        let cell = |f: fn(&Outcome) -> f64| spread(&runs.iter().map(f).collect::<Vec<_>>(), 2);
        println!(
            "| {:.0}% | {} | {} | {} |",
            load * 100.0,
            cell(|o| o.quote_p50_ms),
            cell(|o| o.quote_p99_ms),
            cell(|o| o.quote_p999_ms)
        );
    }
}
