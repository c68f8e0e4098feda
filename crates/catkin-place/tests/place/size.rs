//! Tests of size estimates.

use catkin_place::size::{Options, SizeEstimator};
use catkin_types::Resources;

#[test]
fn a_declared_size_that_is_four_times_too_small_is_corrected() {
    let declared = Resources::new(1_000, 1_000, 1);
    let mut l = SizeEstimator::new(Options::default());
    assert_eq!(l.estimate(&declared), declared);
    for _ in 0..100 {
        l.observe(&declared, &Resources::new(4_000, 2_000, 1));
    }
    let e = l.estimate(&declared);
    assert!((4_000..4_200).contains(&e.cpu_milli), "{e}");
    assert!((2_000..2_100).contains(&e.memory_mib), "{e}");
    assert_eq!(e.accelerators, 1);
}

#[test]
fn a_declared_size_that_is_four_times_too_large_is_corrected() {
    let declared = Resources::new(4_000, 4_000, 0);
    let mut l = SizeEstimator::new(Options::default());
    for _ in 0..100 {
        l.observe(&declared, &Resources::new(1_000, 1_000, 0));
    }
    let e = l.estimate(&declared);
    assert!((1_000..1_100).contains(&e.cpu_milli), "{e}");
}
