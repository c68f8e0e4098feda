//! Generated hosts and tasks. The same seed gives the same ones.

use catkin_place::score::Score;
use catkin_place::{Host, HostPool};
use catkin_types::Resources;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Returns a random number generator with this seed.
#[must_use]
pub fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Returns a pool of `n` hosts of the same capacity, 8 per rack.
#[must_use]
pub fn hosts(n: usize, capacity: Resources, score: Score) -> HostPool {
    let mut pool = HostPool::new(score);
    for i in 0..n {
        let (id, rack) = (format!("w{i}"), format!("rack-{}", i / 8));
        pool.put(Host { id, rack, capacity, open: true, ..Host::default() });
    }
    pool
}

/// Returns a pool of `n` hosts with three different capacities, a third of them with 8 accelerators.
#[must_use]
pub fn mixed_hosts(n: usize, score: Score) -> HostPool {
    let shapes = [
        Resources::new(32_000, 131_072, 0),
        Resources::new(16_000, 32_768, 0),
        Resources::new(64_000, 262_144, 8),
    ];
    let mut pool = HostPool::new(score);
    for i in 0..n {
        let (id, capacity) = (format!("w{i}"), shapes[i % shapes.len()]);
        pool.put(Host { id, capacity, open: true, ..Host::default() });
    }
    pool
}

/// Returns the size of a random task: small, CPU-intensive, memory-intensive or large.
pub fn task(rng: &mut StdRng) -> Resources {
    let (cpu, memory) = match rng.random_range(0..10) {
        0..=4 => (rng.random_range(100..2_000), rng.random_range(128..4_096)),
        5..=6 => (rng.random_range(2_000..8_000), rng.random_range(512..4_096)),
        7..=8 => (rng.random_range(500..2_000), rng.random_range(4_096..16_384)),
        _ => (rng.random_range(4_000..12_000), rng.random_range(8_192..24_576)),
    };
    Resources::new(cpu, memory, 0)
}

/// Like [`task`], but one in five needs accelerators.
pub fn accelerated_task(rng: &mut StdRng) -> Resources {
    let accelerators =
        if rng.random_range(0..5) == 0 { [1, 1, 2, 4, 8][rng.random_range(0..5)] } else { 0 };
    Resources { accelerators, ..task(rng) }
}

/// Returns a random ratio of actual usage to declared size, from a quarter to four times.
pub fn usage_factor(rng: &mut StdRng) -> f64 {
    2_f64.powf(rng.random_range(-2.0..2.0))
}
