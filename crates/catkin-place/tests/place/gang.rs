//! Tests of the placement of gangs.

use crate::pool;
use catkin_place::gang::{GangPlacement, place};
use catkin_types::Resources;

#[test]
fn a_gang_that_does_not_fit_reserves_nothing() {
    let mut s = pool(&[(4, 4, 0), (4, 4, 0)]);
    let size = Resources::new(3, 1, 0);
    assert_eq!(place(&mut s, &[size; 3]), GangPlacement::Unplaceable);
    assert!(s.hosts().iter().all(|h| h.declared.is_zero()));
    assert!(matches!(place(&mut s, &[size; 2]), GangPlacement::All(_)));
    assert_eq!(place(&mut s, &[size; 2]), GangPlacement::NoCapacityNow);
}

#[test]
fn a_gang_is_placed_wholly_or_not_at_all() {
    bolero::check!().with_type::<Vec<Vec<(u8, u8)>>>().for_each(|gangs| {
        let mut s = pool(&[(16, 16, 0), (8, 32, 0), (32, 8, 0)]);
        for gang in gangs.iter().filter(|g| g.len() < 20) {
            let sizes: Vec<_> = gang
                .iter()
                .map(|(a, b)| Resources::new(u64::from(a % 10) + 1, u64::from(b % 10) + 1, 0))
                .collect();
            let before: Vec<_> = s.hosts().iter().map(|h| h.declared).collect();
            let fit = place(&mut s, &sizes);
            let after: Vec<_> = s.hosts().iter().map(|h| h.declared).collect();
            if let GangPlacement::All(hosts) = fit {
                assert_eq!(hosts.len(), sizes.len());
                let mut expected = before;
                for (host, size) in hosts.iter().zip(&sizes) {
                    expected[*host] += *size;
                }
                assert_eq!(after, expected);
                assert!(s.hosts().iter().all(|h| h.declared.fits(&h.capacity)));
            } else {
                assert_eq!(after, before);
            }
        }
    });
}
