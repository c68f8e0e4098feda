//! The time of dividing a shard among all rows.

use crate::SEEDS;
use catkin_bench::demand::rng;
use catkin_bench::table::{heading, spread};
use catkin_share::fair_share::{RowDemand, shares as fill};
use catkin_types::Resources;
use rand::RngExt;
use std::time::Instant;

pub fn shares() {
    heading("Shares: time of one division, ms", "| rows | ms |");
    for n in [22, 220, 880] {
        let time = |seed: &u64| {
            let mut rng = rng(*seed);
            let claims: Vec<RowDemand> = (0..n)
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
            let since = Instant::now();
            let out = fill(&Resources::new(8_000_000, 32_000_000, 0), &claims);
            std::hint::black_box(out);
            since.elapsed().as_secs_f64() * 1_000.0
        };
        println!("| {n} | {} |", spread(&SEEDS.iter().map(time).collect::<Vec<_>>(), 3));
    }
}
