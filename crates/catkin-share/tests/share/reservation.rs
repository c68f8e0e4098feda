//! Tests that reservations are limited in time.

use catkin_share::reservation::{Options, Reservation};
use std::time::Duration;

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn reservation() -> Reservation {
    Reservation::new(Options { min_wait: s(2), max_duration: s(10), cooldown: s(20) })
}

#[test]
fn a_reservation_begins_after_a_wait_and_ends_with_the_placement() {
    let mut h = reservation();
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

/// Reservations for work that never starts leave the workers idle for at most `max_duration / (max_duration +
/// cooldown)` of the time.
#[test]
fn unused_reservations_take_a_third_of_the_time() {
    let mut h = reservation();
    let mut reserved = 0;
    for now in 0..3_000 {
        h.try_begin(&"gang".to_owned(), s(1_000), s(now));
        reserved += u64::from(h.row(s(now)).is_some());
    }
    assert!((900..=1_100).contains(&reserved), "{reserved}");
}
