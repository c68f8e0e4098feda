//! The time of one decision on a shard at 95% of its capacity.

use catkin_bench::demand;
use catkin_place::PlacementRequest;
use catkin_place::score::balanced_fit;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose at 95%");
    for n in [64, 256, 1_024, 9_300] {
        let mut rng = demand::rng(1);
        let mut shelf = demand::mixed_hosts(n, balanced_fit);
        let total = shelf.capacity();
        while shelf.free().cpu_milli * 20 > total.cpu_milli {
            let size = demand::accelerated_task(&mut rng);
            if !matches!(
                shelf.place(&PlacementRequest::from_size(size)),
                catkin_place::Placement::On(_)
            ) {
                break;
            }
        }
        group.bench_with_input(BenchmarkId::from_parameter(n), &n, |b, _| {
            b.iter(|| {
                black_box(
                    shelf.choose(&PlacementRequest::from_size(demand::accelerated_task(&mut rng))),
                )
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
