//! Tests of the placement of single tasks.

use crate::pool;
use catkin_place::{HostPool, Placement, PlacementRequest};
use catkin_types::Resources;

#[test]
fn a_task_without_accelerators_leaves_them_to_others() {
    let mut s = pool(&[(8, 8, 4), (8, 8, 0)]);
    assert_eq!(s.place(&PlacementRequest::from_size(Resources::new(1, 1, 0))), Placement::On(1));
    assert_eq!(s.place(&PlacementRequest::from_size(Resources::new(1, 1, 1))), Placement::On(0));
}

#[test]
fn a_full_pool_and_a_too_large_task_are_distinguished() {
    let mut s = pool(&[(4, 4, 0)]);
    assert_eq!(s.place(&PlacementRequest::from_size(Resources::new(3, 3, 0))), Placement::On(0));
    assert_eq!(
        s.choose(&PlacementRequest::from_size(Resources::new(3, 3, 0))),
        Placement::NoCapacityNow
    );
    assert_eq!(
        s.choose(&PlacementRequest::from_size(Resources::new(5, 1, 0))),
        Placement::Unplaceable
    );
    assert_eq!(
        s.choose(&PlacementRequest::from_size(Resources::new(1, 1, 1))),
        Placement::Unplaceable
    );
}

#[test]
fn observed_usage_counts_when_it_is_above_the_declared_size() {
    let mut s = pool(&[(4, 4, 0)]);
    s.find_mut("w0").expect("the host exists").observed = Resources::new(1, 4, 0);
    assert_eq!(
        s.choose(&PlacementRequest::from_size(Resources::new(1, 1, 0))),
        Placement::NoCapacityNow
    );
}

#[test]
fn a_penalty_spreads_tasks_over_racks() {
    let mut s = pool(&[(8, 8, 0), (8, 8, 0)]);
    for (host, rack) in [("w0", "r0"), ("w1", "r1")] {
        s.find_mut(host).expect("the host exists").rack = rack.into();
    }
    let avoid = |h: &catkin_place::Host| if h.rack == "r0" { 1.0 } else { 0.0 };
    let request = PlacementRequest { size: Resources::new(1, 1, 0), penalty: Some(&avoid) };
    assert_eq!(s.choose(&request), Placement::On(1));
}

fn overfilled(s: &HostPool) -> bool {
    s.hosts().iter().any(|h| !h.declared.fits(&h.capacity))
}

/// After any sequence of placements, releases, usage reports and closed hosts, no task is placed where it does not fit.
#[test]
fn no_host_is_given_more_than_it_can_hold() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|ops| {
        let mut s = pool(&[(16, 32, 0), (8, 8, 2), (32, 16, 0)]);
        let mut placed: Vec<(usize, Resources)> = Vec::new();
        for (op, a, b) in ops {
            let size =
                Resources::new(u64::from(a % 12) + 1, u64::from(b % 12) + 1, u64::from(a % 7 == 0));
            match op % 8 {
                0..=4 => {
                    let free: Vec<_> = s.hosts().iter().map(catkin_place::Host::free).collect();
                    if let Placement::On(i) = s.place(&PlacementRequest::from_size(size)) {
                        assert!(size.fits(&free[i]));
                        placed.push((i, size));
                    }
                }
                5 if !placed.is_empty() => {
                    let (i, size) = placed.swap_remove(usize::from(*a) % placed.len());
                    s.release(i, &size);
                }
                6 => s.find_mut("w1").expect("the host exists").observed = size,
                _ => s.find_mut("w2").expect("the host exists").open = a % 2 == 0,
            }
            assert!(!overfilled(&s));
        }
    });
}
