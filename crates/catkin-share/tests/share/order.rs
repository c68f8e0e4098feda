//! Whose work is next.

use catkin_share::order::{RowUsage, compare};
use catkin_types::row::Urgency;
use catkin_types::{Resources, Row};
use std::cmp::Ordering;

const TOTAL: Resources = Resources::new(100, 100, 0);

fn standing(row: &Row, held: u64, share: u64) -> RowUsage<'_> {
    RowUsage { row, held: Resources::new(held, 0, 0), share: Resources::new(share, 100, 0) }
}

#[test]
fn guarantee_first_then_urgent_below_its_share_then_the_rest_by_weighted_share() {
    let plain = Row::default();
    let lender = Row { guaranteed: Resources::new(50, 50, 0), ..Row::default() };
    let urgent = Row { urgency: Urgency::Urgent, ..Row::default() };
    let before = |a: &RowUsage<'_>, b: &RowUsage<'_>| compare(&TOTAL, a, b) == Ordering::Less;
    assert!(before(&standing(&lender, 40, 50), &standing(&urgent, 0, 50)));
    assert!(before(&standing(&urgent, 40, 50), &standing(&plain, 0, 50)));
    // An urgent flood above its share counts like any other row.
    assert!(before(&standing(&plain, 10, 50), &standing(&urgent, 60, 50)));
    assert!(before(&standing(&plain, 10, 50), &standing(&plain, 20, 50)));
}
