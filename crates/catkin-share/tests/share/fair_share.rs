//! Weighted max-min shares.

use catkin_share::fair_share::{RowDemand, shares};
use catkin_types::Resources;

fn r(cpu: u64, memory: u64) -> Resources {
    Resources::new(cpu, memory, 0)
}

fn claim(weight: u32, demand: Resources) -> RowDemand {
    RowDemand { weight, demand, ..RowDemand::default() }
}

#[test]
fn dominant_resources_are_shared_evenly() {
    // The example of the literature: 9 processors, 18 GB; tasks of <1, 4> and <3, 1>.
    let s = shares(&r(9_000, 18_000), &[claim(1, r(10_000, 40_000)), claim(1, r(30_000, 10_000))]);
    assert_eq!(s, [r(3_000, 12_000), r(6_000, 2_000)]);
}

#[test]
fn weights_count_and_what_one_does_not_need_goes_to_others() {
    let s = shares(&r(100, 100), &[claim(1, r(100, 1)), claim(3, r(100, 1))]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (25, 75));
    let s = shares(&r(100, 100), &[claim(1, r(100, 1)), claim(3, r(10, 1))]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (90, 10));
}

#[test]
fn the_lenders_guarantee_comes_first_and_a_limit_last() {
    let lender = RowDemand { guaranteed: r(60, 60), ..claim(1, r(60, 60)) };
    let s = shares(&r(100, 100), &[lender, claim(100, r(100, 100))]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (60, 40));
    let capped = RowDemand { limit: r(20, 0), ..claim(100, r(100, 100)) };
    let s = shares(&r(100, 100), &[claim(1, r(100, 100)), capped]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (80, 20));
}

#[test]
fn guarantees_beyond_what_is_left_shrink_alike() {
    let g = RowDemand { guaranteed: r(100, 1), ..claim(1, r(100, 1)) };
    let s = shares(&r(100, 100), &[g, g]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (50, 50));
}

/// 220 rows with any demand: nobody gets more than wanted, and the sum is within the total.
#[test]
fn sums_stay_within_the_total() {
    bolero::check!().with_type::<Vec<(u8, u8, u8, u8, u8)>>().for_each(|rows| {
        let total = Resources::new(1_000, 2_000, 10);
        let claims: Vec<RowDemand> = rows
            .iter()
            .take(220)
            .map(|(w, a, b, c, g)| RowDemand {
                weight: u32::from(*w) + 1,
                demand: Resources::new(u64::from(*a) * 8, u64::from(*b) * 8, u64::from(c % 4)),
                guaranteed: Resources::new(u64::from(*g), u64::from(*g), u64::from(g % 2)),
                limit: if w % 3 == 0 {
                    Resources::new(u64::from(*c) + 300, 0, 0)
                } else {
                    Resources::default()
                },
            })
            .collect();
        let s = shares(&total, &claims);
        let sum = s.iter().fold(Resources::default(), |a, b| a + *b);
        assert!(sum.fits(&total), "{sum}");
        for (s, c) in s.iter().zip(&claims) {
            assert!(s.fits(&c.demand), "{s} of {}", c.demand);
        }
    });
}
