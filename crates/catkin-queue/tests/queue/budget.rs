//! Tests of the retry budget.

use catkin_queue::RetryBudget;

#[test]
fn retries_are_a_fraction_of_requests() {
    let mut budget = RetryBudget::new(0.1, 5.0);
    let initial = (0..10).filter(|_| budget.try_take()).count();
    assert_eq!(initial, 5);
    (0..100).for_each(|_| budget.record_request());
    let later = (0..100).filter(|_| budget.try_take()).count();
    assert!(later <= 10, "{later}");
}
