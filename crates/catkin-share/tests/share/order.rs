//! Tests of the order in which rows are served.

use catkin_share::order::{RowUsage, compare};
use catkin_types::row::Urgency;
use catkin_types::{Resources, Row};
use std::cmp::Ordering;

const TOTAL: Resources = Resources::new(100, 100, 0);

fn usage(row: &Row, held: u64, share: u64) -> RowUsage<'_> {
    RowUsage { row, held: Resources::new(held, 0, 0), share: Resources::new(share, 100, 0) }
}

#[test]
fn rows_below_their_guarantee_come_first_then_urgent_rows_below_their_share_then_by_weighted_share()
{
    let plain = Row::default();
    let lender = Row { guaranteed: Resources::new(50, 50, 0), ..Row::default() };
    let urgent = Row { urgency: Urgency::Urgent, ..Row::default() };
    let before = |a: &RowUsage<'_>, b: &RowUsage<'_>| compare(&TOTAL, a, b) == Ordering::Less;
    assert!(before(&usage(&lender, 40, 50), &usage(&urgent, 0, 50)));
    assert!(before(&usage(&urgent, 40, 50), &usage(&plain, 0, 50)));
    // An urgent row above its share is treated like any other.
    assert!(before(&usage(&plain, 10, 50), &usage(&urgent, 60, 50)));
    assert!(before(&usage(&plain, 10, 50), &usage(&plain, 20, 50)));
}
