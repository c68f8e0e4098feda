//! Holds are bounded.

use catkin_share::reservation::{Options, Reservation};
use std::time::Duration;

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn hold() -> Reservation {
    Reservation::new(Options { min_wait: s(2), max_duration: s(10), cooldown: s(20) })
}

#[test]
fn a_hold_begins_after_a_wait_and_ends_with_the_placement() {
    let mut h = hold();
    let row = "gang".to_owned();
    h.try_begin(&row, s(1), s(1));
    assert_eq!(h.row(s(1)), None);
    h.try_begin(&row, s(2), s(2));
    assert_eq!(h.row(s(2)), Some(&row));
    h.try_begin(&"other".to_owned(), s(9), s(3));
    assert_eq!(h.row(s(3)), Some(&row));
    h.end_for(&row);
    assert_eq!(h.row(s(3)), None);
    h.try_begin(&"other".to_owned(), s(9), s(3));
    assert!(h.row(s(3)).is_some());
}

/// Work that never starts idles the others for no more than its part of the time.
#[test]
fn holds_that_come_to_nothing_take_a_third_of_the_time() {
    let mut h = hold();
    let mut held = 0;
    for now in 0..3_000 {
        h.try_begin(&"gang".to_owned(), s(1_000), s(now));
        held += u64::from(h.row(s(now)).is_some());
    }
    assert!((900..=1_100).contains(&held), "{held}");
}
