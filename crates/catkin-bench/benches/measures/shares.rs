//! The time to compute the shares of all rows of a shard.

use crate::SEEDS;
use catkin_bench::demand::rng;
use catkin_bench::table::{print_heading, spread};
use catkin_share::fair_share::{RowDemand, shares as compute_shares};
use catkin_types::Resources;
use rand::RngExt;
use std::time::Instant;

pub fn shares() {
    print_heading("Shares: time of one division, ms", "| rows | ms |");
    for n in [22, 220, 880] {
        let elapsed_ms = |seed: &u64| {
            let mut rng = rng(*seed);
            let demands: Vec<RowDemand> = (0..n)
                .map(|_| RowDemand {
                    weight: rng.random_range(1..100),
                    demand: Resources::new(
                        rng.random_range(0..200_000),
                        rng.random_range(0..400_000),
                        0,
                    ),
                    guaranteed: Resources::new(
                        rng.random_range(0..2_000),
                        rng.random_range(0..4_000),
                        0,
                    ),
                    limit: Resources::default(),
                })
                .collect();
            let started = Instant::now();
            let out = compute_shares(&Resources::new(8_000_000, 32_000_000, 0), &demands);
            std::hint::black_box(out);
            started.elapsed().as_secs_f64() * 1_000.0
        };
        println!("| {n} | {} |", spread(&SEEDS.iter().map(elapsed_ms).collect::<Vec<_>>(), 3));
    }
}
