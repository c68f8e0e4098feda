//! Speed and tightness of placement.

use crate::SEEDS;
use catkin_bench::baseline::{first_fit, random_fit};
use catkin_bench::demand::{accelerated_task, hosts, mixed_hosts, rng, task, wrongness};
use catkin_bench::table::MAX_VALUE;
use catkin_bench::table::{heading, median, met, spread};
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
const SHOP: Resources = Resources::new(32_000, 131_072, 0);
const COOP: Resources = Resources::new(16_000, 32_768, 0);
/// Placements a second that one owner has to reach on 256 workers, and the bound on the slowest hundredth.
const GOAL_RATE: f64 = 5_000.0;
const GOAL_P99_US: f64 = 1_000.0;
/// Decisions that are timed: fewer on the largest shelf, where each takes longer.
const TURNOVER: usize = 20_000;
const TURNOVER_LARGE: usize = 2_000;
const LARGE: usize = 2_000;

/// Replaces running tasks by new ones at a filling, and times each decision.
fn churn(shelf: &mut HostPool, percent: u64, rng: &mut StdRng) -> (f64, f64) {
    let total = shelf.capacity();
    let mut placed = Vec::new();
    let mut misses = 0;
    while shelf.free().cpu_milli * 100 > total.cpu_milli * (100 - percent) && misses < 500 {
        let size = accelerated_task(rng);
        match shelf.place(&PlacementRequest::from_size(size)) {
            Placement::On(i) => placed.push((i, size)),
            _ => misses += 1,
        }
    }
    let mut times = Histogram::<u64>::new_with_max(MAX_VALUE, 3).expect("in range");
    let (mut n, mut busy) = (0_u32, 0.0);
    let turnover = if shelf.hosts().len() > LARGE { TURNOVER_LARGE } else { TURNOVER };
    for _ in 0..turnover {
        let size = accelerated_task(rng);
        let since = Instant::now();
        let outcome = shelf.place(&PlacementRequest::from_size(size));
        let took = since.elapsed();
        times.saturating_record(u64::try_from(took.as_nanos()).unwrap_or(u64::MAX));
        busy += took.as_secs_f64();
        if let Placement::On(i) = outcome {
            n += 1;
            placed.push((i, size));
        }
        // As much is given back as came, so that the filling stays.
        while shelf.free().cpu_milli * 100 < total.cpu_milli * (100 - percent) {
            let (i, size) = placed.swap_remove(rng.random_range(0..placed.len()));
            shelf.release(i, &size);
        }
    }
    let p99 = f64::from(u32::try_from(times.value_at_quantile(0.99)).unwrap_or(u32::MAX)) / 1_000.0;
    (f64::from(n) / busy, p99)
}

pub fn speed() {
    heading(
        "Placement: speed",
        "| workers | filled | placements/s | p99 of a decision, µs | goal |",
    );
    for n in [64, 256, 1_024, 9_300] {
        for percent in [50, 95] {
            let runs: Vec<_> = SEEDS
                .iter()
                .map(|s| churn(&mut mixed_hosts(n, balanced_fit), percent, &mut rng(*s)))
                .collect();
            let rates: Vec<f64> = runs.iter().map(|r| r.0).collect();
            let p99: Vec<f64> = runs.iter().map(|r| r.1).collect();
            let goal = if n == 256 {
                met(median(&rates) >= GOAL_RATE && median(&p99) < GOAL_P99_US)
            } else {
                "-"
            };
            println!("| {n} | {percent}% | {} | {} | {goal} |", spread(&rates, 0), spread(&p99, 1));
        }
    }
}

/// Places tasks until many in a row do not fit. Returns the part of the scarcest resource that is left.
fn stranded(
    shelf: &mut HostPool,
    rng: &mut StdRng,
    mut next: impl FnMut(&mut StdRng) -> Resources,
) -> f64 {
    const MISSES: usize = 300;
    let total = shelf.capacity();
    let mut misses = 0;
    while misses < MISSES {
        match shelf.place(&PlacementRequest::from_size(next(rng))) {
            Placement::On(_) => misses = 0,
            _ => misses += 1,
        }
    }
    let free = shelf.free();
    let part = |f: u64, t: u64| if t == 0 { 1.0 } else { ratio(f, t) };
    part(free.cpu_milli, total.cpu_milli).min(part(free.memory_mib, total.memory_mib))
}

/// Larger tasks that ask for a part of a host in different proportions.
fn coarse(capacity: Resources) -> impl FnMut(&mut StdRng) -> Resources {
    move |rng| {
        let part = |rng: &mut StdRng, whole: u64| whole * rng.random_range(10..45) / 100;
        let skew = rng.random_range(0..3);
        let (cpu, memory) = (part(rng, capacity.cpu_milli), part(rng, capacity.memory_mib));
        match skew {
            0 => Resources::new(cpu, memory / 4, 0),
            1 => Resources::new(cpu / 4, memory, 0),
            _ => Resources::new(cpu, memory, 0),
        }
    }
}

pub fn tightness() {
    let columns = "| deployment | tasks | balanced fit | first fit | random | goal: half of the best baseline |";
    heading("Placement: part of the scarcest resource left stranded, in percent", columns);
    for (name, capacity) in [("shop, 50 x 32 cores", SHOP), ("co-operative, 50 x 16 cores", COOP)] {
        for kind in ["mixed", "coarse"] {
            let run = |score: Score| -> Vec<f64> {
                let one = |seed: &u64| {
                    let mut shelf = hosts(50, capacity, score);
                    let mut rng = rng(*seed);
                    let left = if kind == "mixed" {
                        stranded(&mut shelf, &mut rng, task)
                    } else {
                        stranded(&mut shelf, &mut rng, coarse(capacity))
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
                met(median(&all[0]) <= best / 2.0)
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
fn scaled(size: &Resources, by: f64) -> Resources {
    Resources::from_array(size.as_array().map(|x| (x as f64 * by) as u64))
}

/// Tasks of 20 kinds, each with a true size from a quarter to four times the declared one.
pub fn wrong_sizes() {
    const KINDS: usize = 20;
    const EACH: usize = 60;
    let columns =
        "| set aside | hosts over their capacity, % | true use of what was set aside, % |";
    heading("Placement with sizes up to 4x wrong (50 hosts of 32 cores)", columns);
    for (name, learn) in [("as declared", false), ("learned quantile", true)] {
        let (mut over, mut used) = (Vec::new(), Vec::new());
        for seed in SEEDS {
            let mut rng = rng(seed);
            let kinds: Vec<(Resources, f64)> =
                (0..KINDS).map(|_| (task(&mut rng), wrongness(&mut rng))).collect();
            let mut learned: Vec<SizeEstimator> =
                kinds.iter().map(|_| SizeEstimator::new(Options::default())).collect();
            let mut shelf = hosts(50, SHOP, balanced_fit);
            let mut truth = vec![Resources::default(); 50];
            // What ended before has been seen.
            for ((declared, factor), l) in kinds.iter().zip(&mut learned) {
                for _ in 0..EACH {
                    l.observe(declared, &scaled(declared, factor * rng.random_range(0.9..1.0)));
                }
            }
            let mut misses = 0;
            while misses < 300 {
                let k = rng.random_range(0..KINDS);
                let (declared, factor) = kinds[k];
                let size = if learn { learned[k].estimate(&declared) } else { declared };
                match shelf.place(&PlacementRequest::from_size(size)) {
                    Placement::On(i) => {
                        truth[i] += scaled(&declared, factor * rng.random_range(0.9..1.0));
                        misses = 0;
                    }
                    _ => misses += 1,
                }
            }
            let hosts_over =
                truth.iter().zip(shelf.hosts()).filter(|(t, h)| !t.fits(&h.capacity)).count();
            over.push(f64::from(u32::try_from(hosts_over).unwrap_or(0)) * 2.0);
            let sum = truth.iter().fold(Resources::default(), |a, b| a + *b);
            let aside = shelf.hosts().iter().fold(Resources::default(), |a, h| a + h.declared);
            used.push(100.0 * sum.dominant_fraction(&aside));
        }
        println!("| {name} | {} | {} |", spread(&over, 0), spread(&used, 0));
    }
}

/// Small work first, then tasks that need all 8 accelerators of a host.
pub fn accelerators() {
    let columns = "| policy | hosts of 20 that still take an 8-accelerator task |";
    heading("Accelerator hosts after small work filled half of the processors", columns);
    for (name, score) in POLICIES {
        let left = |seed: &u64| {
            let mut rng = rng(*seed);
            let mut shelf = mixed_hosts(60, score);
            let total = shelf.capacity();
            while shelf.free().cpu_milli * 2 > total.cpu_milli {
                shelf.place(&PlacementRequest::from_size(task(&mut rng)));
            }
            let big = Resources::new(32_000, 65_536, 8);
            let n = std::iter::repeat_with(|| shelf.place(&PlacementRequest::from_size(big)))
                .take_while(|o| matches!(o, Placement::On(_)))
                .count();
            f64::from(u32::try_from(n).unwrap_or(0))
        };
        let values: Vec<f64> = SEEDS.iter().map(left).collect();
        println!("| {name} | {} |", spread(&values, 0));
    }
}
