//! Tests of weighted max-min fair shares.

use catkin_share::fair_share::{RowDemand, shares};
use catkin_types::Resources;

fn r(cpu: u64, memory: u64) -> Resources {
    Resources::new(cpu, memory, 0)
}

fn demand_of(weight: u32, demand: Resources) -> RowDemand {
    RowDemand { weight, demand, ..RowDemand::default() }
}

#[test]
fn dominant_resources_are_shared_evenly() {
    // The example of the paper on dominant resource fairness: 9 CPUs and 18 GB; tasks of <1 CPU, 4 GB> and <3 CPUs, 1
    // GB>.
    let s = shares(
        &r(9_000, 18_000),
        &[demand_of(1, r(10_000, 40_000)), demand_of(1, r(30_000, 10_000))],
    );
    assert_eq!(s, [r(3_000, 12_000), r(6_000, 2_000)]);
}

#[test]
fn shares_follow_weights_and_unused_shares_go_to_others() {
    let s = shares(&r(100, 100), &[demand_of(1, r(100, 1)), demand_of(3, r(100, 1))]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (25, 75));
    let s = shares(&r(100, 100), &[demand_of(1, r(100, 1)), demand_of(3, r(10, 1))]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (90, 10));
}

#[test]
fn guarantees_are_met_before_sharing_and_limits_cap_shares() {
    let lender = RowDemand { guaranteed: r(60, 60), ..demand_of(1, r(60, 60)) };
    let s = shares(&r(100, 100), &[lender, demand_of(100, r(100, 100))]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (60, 40));
    let capped = RowDemand { limit: r(20, 0), ..demand_of(100, r(100, 100)) };
    let s = shares(&r(100, 100), &[demand_of(1, r(100, 100)), capped]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (80, 20));
}

#[test]
fn guarantees_above_the_total_are_scaled_down_equally() {
    let g = RowDemand { guaranteed: r(100, 1), ..demand_of(1, r(100, 1)) };
    let s = shares(&r(100, 100), &[g, g]);
    assert_eq!((s[0].cpu_milli, s[1].cpu_milli), (50, 50));
}

/// With up to 220 rows of any demand, no row gets more than its demand, and the sum is within the total.
#[test]
fn sums_stay_within_the_total() {
    bolero::check!().with_type::<Vec<(u8, u8, u8, u8, u8)>>().for_each(|rows| {
        let total = Resources::new(1_000, 2_000, 10);
        let demands: Vec<RowDemand> = rows
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
        let s = shares(&total, &demands);
        let sum = s.iter().fold(Resources::default(), |a, b| a + *b);
        assert!(sum.fits(&total), "{sum}");
        for (s, c) in s.iter().zip(&demands) {
            assert!(s.fits(&c.demand), "{s} of {}", c.demand);
        }
    });
}
