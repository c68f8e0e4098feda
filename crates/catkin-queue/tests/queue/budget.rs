//! Retries in proportion.

use catkin_queue::Budget;

#[test]
fn retries_are_a_part_of_requests() {
    let mut b = Budget::new(0.1, 5.0);
    let saved = (0..10).filter(|_| b.retry()).count();
    assert_eq!(saved, 5);
    (0..100).for_each(|_| b.request());
    let later = (0..100).filter(|_| b.retry()).count();
    assert!(later <= 10, "{later}");
}
