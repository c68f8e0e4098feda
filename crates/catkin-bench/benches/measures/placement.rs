//! Speed and packing quality of placement.

use crate::SEEDS;
use catkin_bench::baseline::{first_fit, random_fit};
use catkin_bench::demand::{accelerated_task, hosts, mixed_hosts, rng, task, usage_factor};
use catkin_bench::table::MAX_RECORDED_VALUE;
use catkin_bench::table::{goal_cell, median, print_heading, spread};
use catkin_place::score::{Score, balanced_fit};
use catkin_place::size::{Options, SizeEstimator};
use catkin_place::{HostPool, Placement, PlacementRequest};
use catkin_types::Resources;
use catkin_types::resources::ratio;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Instant;

const POLICIES: [(&str, Score); 3] =
    [("balanced fit", balanced_fit), ("first fit", first_fit), ("random", random_fit)];
const SHOP_HOST: Resources = Resources::new(32_000, 131_072, 0);
const COOP_HOST: Resources = Resources::new(16_000, 32_768, 0);
/// The goal for the placements per second of one owner with 256 workers.
const MIN_PLACEMENTS_PER_S: f64 = 5_000.0;
/// The goal for the 99th percentile of a decision, in microseconds.
const MAX_P99_US: f64 = 1_000.0;
/// The number of timed decisions. Fewer on large pools, where each takes longer.
const DECISIONS: usize = 20_000;
const DECISIONS_LARGE_POOL: usize = 2_000;
const LARGE_POOL_HOSTS: usize = 2_000;

/// Fills the pool to `percent` of its CPU, then replaces tasks and times each decision. Returns the placements per second
/// and the 99th percentile of a decision in microseconds.
fn measure_churn(pool: &mut HostPool, percent: u64, rng: &mut StdRng) -> (f64, f64) {
    let total = pool.capacity();
    let mut placed = Vec::new();
    let mut misses = 0;
    while pool.free().cpu_milli * 100 > total.cpu_milli * (100 - percent) && misses < 500 {
        let size = accelerated_task(rng);
        match pool.place(&PlacementRequest::from_size(size)) {
            Placement::On(i) => placed.push((i, size)),
            _ => misses += 1,
        }
    }
    let mut times =
        Histogram::<u64>::new_with_max(MAX_RECORDED_VALUE, 3).expect("invalid histogram bounds");
    let (mut n, mut busy_s) = (0_u32, 0.0);
    let decisions =
        if pool.hosts().len() > LARGE_POOL_HOSTS { DECISIONS_LARGE_POOL } else { DECISIONS };
    for _ in 0..decisions {
        let size = accelerated_task(rng);
        let started = Instant::now();
        let outcome = pool.place(&PlacementRequest::from_size(size));
        let decision_time = started.elapsed();
        times.saturating_record(u64::try_from(decision_time.as_nanos()).unwrap_or(u64::MAX));
        busy_s += decision_time.as_secs_f64();
        if let Placement::On(i) = outcome {
            n += 1;
            placed.push((i, size));
        }
        // Releases as much as was placed, so that the pool stays at the same fill level.
        while pool.free().cpu_milli * 100 < total.cpu_milli * (100 - percent) {
            let (i, size) = placed.swap_remove(rng.random_range(0..placed.len()));
            pool.release(i, &size);
        }
    }
    let p99 = f64::from(u32::try_from(times.value_at_quantile(0.99)).unwrap_or(u32::MAX)) / 1_000.0;
    (f64::from(n) / busy_s, p99)
}

pub fn speed() {
    print_heading(
        "Placement: speed",
        "| workers | filled | placements/s | p99 of a decision, µs | goal |",
    );
    for n in [64, 256, 1_024, 9_300] {
        for percent in [50, 95] {
            let runs: Vec<_> = SEEDS
                .iter()
                .map(|s| measure_churn(&mut mixed_hosts(n, balanced_fit), percent, &mut rng(*s)))
                .collect();
            let rates: Vec<f64> = runs.iter().map(|r| r.0).collect();
            let p99: Vec<f64> = runs.iter().map(|r| r.1).collect();
            let goal = if n == 256 {
                goal_cell(median(&rates) >= MIN_PLACEMENTS_PER_S && median(&p99) < MAX_P99_US)
            } else {
                "-"
            };
            println!("| {n} | {percent}% | {} | {} | {goal} |", spread(&rates, 0), spread(&p99, 1));
        }
    }
}

/// Places tasks until many in a row do not fit. Returns the fraction of the scarcest resource that is still free.
fn stranded_fraction(
    pool: &mut HostPool,
    rng: &mut StdRng,
    mut next: impl FnMut(&mut StdRng) -> Resources,
) -> f64 {
    const MAX_MISSES: usize = 300;
    let total = pool.capacity();
    let mut misses = 0;
    while misses < MAX_MISSES {
        match pool.place(&PlacementRequest::from_size(next(rng))) {
            Placement::On(_) => misses = 0,
            _ => misses += 1,
        }
    }
    let free = pool.free();
    let part = |f: u64, t: u64| if t == 0 { 1.0 } else { ratio(f, t) };
    part(free.cpu_milli, total.cpu_milli).min(part(free.memory_mib, total.memory_mib))
}

/// Returns a generator of large tasks that need different proportions of CPU and memory of a host.
fn large_tasks(capacity: Resources) -> impl FnMut(&mut StdRng) -> Resources {
    move |rng| {
        let part = |rng: &mut StdRng, whole: u64| whole * rng.random_range(10..45) / 100;
        let shape = rng.random_range(0..3);
        let (cpu, memory) = (part(rng, capacity.cpu_milli), part(rng, capacity.memory_mib));
        match shape {
            0 => Resources::new(cpu, memory / 4, 0),
            1 => Resources::new(cpu / 4, memory, 0),
            _ => Resources::new(cpu, memory, 0),
        }
    }
}

pub fn packing() {
    let columns = "| deployment | tasks | balanced fit | first fit | random | goal: half of the best baseline |";
    print_heading("Placement: part of the scarcest resource left stranded, in percent", columns);
    for (name, capacity) in
        [("shop, 50 x 32 cores", SHOP_HOST), ("co-operative, 50 x 16 cores", COOP_HOST)]
    {
        for kind in ["mixed", "coarse"] {
            let run = |score: Score| -> Vec<f64> {
                let one = |seed: &u64| {
                    let mut pool = hosts(50, capacity, score);
                    let mut rng = rng(*seed);
                    let left = if kind == "mixed" {
                        stranded_fraction(&mut pool, &mut rng, task)
                    } else {
                        stranded_fraction(&mut pool, &mut rng, large_tasks(capacity))
                    };
                    left * 100.0
                };
                SEEDS.iter().map(one).collect()
            };
            let all: Vec<Vec<f64>> = POLICIES.iter().map(|(_, score)| run(*score)).collect();
            let best = median(&all[1]).min(median(&all[2]));
            let cells: Vec<String> = all.iter().map(|v| spread(v, 2)).collect();
            println!(
                "| {name} | {kind} | {} | {} |",
                cells.join(" | "),
                goal_cell(median(&all[0]) <= best / 2.0)
            );
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "small"
)]
fn scaled(size: &Resources, multiplier: f64) -> Resources {
    Resources::from_array(size.as_array().map(|x| (x as f64 * multiplier) as u64))
}

/// Places tasks of 20 kinds. The actual usage of each is from a quarter to four times the declared size.
pub fn misdeclared_sizes() {
    const KINDS: usize = 20;
    const OBSERVATIONS_PER_KIND: usize = 60;
    let columns =
        "| set aside | hosts over their capacity, % | true use of what was set aside, % |";
    print_heading("Placement with sizes up to 4x wrong (50 hosts of 32 cores)", columns);
    for (name, learn) in [("as declared", false), ("learned quantile", true)] {
        let (mut over, mut used) = (Vec::new(), Vec::new());
        for seed in SEEDS {
            let mut rng = rng(seed);
            let kinds: Vec<(Resources, f64)> =
                (0..KINDS).map(|_| (task(&mut rng), usage_factor(&mut rng))).collect();
            let mut estimators: Vec<SizeEstimator> =
                kinds.iter().map(|_| SizeEstimator::new(Options::default())).collect();
            let mut pool = hosts(50, SHOP_HOST, balanced_fit);
            let mut actual = vec![Resources::default(); 50];
            // The estimators start with the usage of tasks that ended earlier.
            for ((declared, factor), estimator) in kinds.iter().zip(&mut estimators) {
                for _ in 0..OBSERVATIONS_PER_KIND {
                    estimator
                        .observe(declared, &scaled(declared, factor * rng.random_range(0.9..1.0)));
                }
            }
            let mut misses = 0;
            while misses < 300 {
                let k = rng.random_range(0..KINDS);
                let (declared, factor) = kinds[k];
                let size = if learn { estimators[k].estimate(&declared) } else { declared };
                match pool.place(&PlacementRequest::from_size(size)) {
                    Placement::On(i) => {
                        actual[i] += scaled(&declared, factor * rng.random_range(0.9..1.0));
                        misses = 0;
                    }
                    _ => misses += 1,
                }
            }
            let hosts_over =
                actual.iter().zip(pool.hosts()).filter(|(t, h)| !t.fits(&h.capacity)).count();
            over.push(f64::from(u32::try_from(hosts_over).unwrap_or(0)) * 2.0);
            let sum = actual.iter().fold(Resources::default(), |a, b| a + *b);
            let reserved = pool.hosts().iter().fold(Resources::default(), |a, h| a + h.declared);
            used.push(100.0 * sum.dominant_fraction(&reserved));
        }
        println!("| {name} | {} | {} |", spread(&over, 0), spread(&used, 0));
    }
}

/// Places small tasks first, then tasks that need all 8 accelerators of a host.
pub fn accelerators() {
    let columns = "| policy | hosts of 20 that still take an 8-accelerator task |";
    print_heading("Accelerator hosts after small work filled half of the processors", columns);
    for (name, score) in POLICIES {
        let left = |seed: &u64| {
            let mut rng = rng(*seed);
            let mut pool = mixed_hosts(60, score);
            let total = pool.capacity();
            while pool.free().cpu_milli * 2 > total.cpu_milli {
                pool.place(&PlacementRequest::from_size(task(&mut rng)));
            }
            let big = Resources::new(32_000, 65_536, 8);
            let n = std::iter::repeat_with(|| pool.place(&PlacementRequest::from_size(big)))
                .take_while(|o| matches!(o, Placement::On(_)))
                .count();
            f64::from(u32::try_from(n).unwrap_or(0))
        };
        let values: Vec<f64> = SEEDS.iter().map(left).collect();
        println!("| {name} | {} |", spread(&values, 0));
    }
}
