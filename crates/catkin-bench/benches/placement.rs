//! The time of one placement decision on a shard at 95% of its capacity.

use catkin_bench::demand;
use catkin_place::PlacementRequest;
use catkin_place::score::balanced_fit;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;

fn bench_placement(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose at 95%");
    for n in [64, 256, 1_024, 9_300] {
        let mut rng = demand::rng(1);
        let mut pool = demand::mixed_hosts(n, balanced_fit);
        let total = pool.capacity();
        while pool.free().cpu_milli * 20 > total.cpu_milli {
            let size = demand::accelerated_task(&mut rng);
            if !matches!(
                pool.place(&PlacementRequest::from_size(size)),
                catkin_place::Placement::On(_)
            ) {
                break;
            }
        }
        group.bench_with_input(BenchmarkId::from_parameter(n), &n, |b, _| {
            b.iter(|| {
                black_box(
                    pool.choose(&PlacementRequest::from_size(demand::accelerated_task(&mut rng))),
                )
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_placement);
criterion_main!(benches);
