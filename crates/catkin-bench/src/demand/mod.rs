//! Generated hosts and tasks, the same for the same seed.

use catkin_place::score::Score;
use catkin_place::{Host, HostPool};
use catkin_types::Resources;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A generator for a seed.
#[must_use]
pub fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Hosts of one shape.
#[must_use]
pub fn hosts(n: usize, capacity: Resources, score: Score) -> HostPool {
    let mut shelf = HostPool::new(score);
    for i in 0..n {
        let (id, rack) = (format!("w{i}"), format!("rack-{}", i / 8));
        shelf.put(Host { id, rack, capacity, open: true, ..Host::default() });
    }
    shelf
}

/// Hosts of three shapes, a third of them with 8 accelerators.
#[must_use]
pub fn mixed_hosts(n: usize, score: Score) -> HostPool {
    let shapes = [
        Resources::new(32_000, 131_072, 0),
        Resources::new(16_000, 32_768, 0),
        Resources::new(64_000, 262_144, 8),
    ];
    let mut shelf = HostPool::new(score);
    for i in 0..n {
        let (id, capacity) = (format!("w{i}"), shapes[i % shapes.len()]);
        shelf.put(Host { id, capacity, open: true, ..Host::default() });
    }
    shelf
}

/// A task of one of several kinds: small, heavy on processors, heavy on memory, large.
pub fn task(rng: &mut StdRng) -> Resources {
    let (cpu, memory) = match rng.random_range(0..10) {
        0..=4 => (rng.random_range(100..2_000), rng.random_range(128..4_096)),
        5..=6 => (rng.random_range(2_000..8_000), rng.random_range(512..4_096)),
        7..=8 => (rng.random_range(500..2_000), rng.random_range(4_096..16_384)),
        _ => (rng.random_range(4_000..12_000), rng.random_range(8_192..24_576)),
    };
    Resources::new(cpu, memory, 0)
}

/// As [`task`], with accelerators for one in five.
pub fn accelerated_task(rng: &mut StdRng) -> Resources {
    let accelerators =
        if rng.random_range(0..5) == 0 { [1, 1, 2, 4, 8][rng.random_range(0..5)] } else { 0 };
    Resources { accelerators, ..task(rng) }
}

/// How many times its declared size a task of this kind really takes: from a quarter to four times.
pub fn wrongness(rng: &mut StdRng) -> f64 {
    2_f64.powf(rng.random_range(-2.0..2.0))
}
