//! How long an owner acts without an answer of the table service.

use catkin_node::leadership::earlier::EarlierOwners;
use catkin_node::leadership::term::{AUTONOMY_LIMIT, Term};
use std::time::Duration;

#[test]
fn autonomy_counts_from_the_sending_of_the_last_renewal_and_not_from_its_answer() {
    let (claimed_at, answered_at) = (Duration::from_secs(1), Duration::from_secs(3));
    let mut term = Term::new(4, claimed_at, answered_at, EarlierOwners::default());
    assert!(term.may_act(claimed_at + AUTONOMY_LIMIT));
    assert!(!term.may_act(claimed_at + AUTONOMY_LIMIT + Duration::from_millis(1)));
    // A successor may claim the cell beside a confirmation that does not write the row.
    term.confirm(Duration::from_secs(9));
    assert!(!term.may_act(Duration::from_secs(12)));
    term.renewed_at = Duration::from_secs(9);
    assert!(term.may_act(Duration::from_secs(19)));
}

/// The owner dropped messages while it could not act, went on after a late renewal, and scheduled nothing any more.
#[test]
fn a_renewal_that_comes_too_late_does_not_revive_the_term() {
    let (claimed_at, sent) = (Duration::from_secs(1), Duration::from_secs(10));
    let mut term = Term::new(4, claimed_at, claimed_at, EarlierOwners::default());
    term.record_renewal(sent, claimed_at + AUTONOMY_LIMIT);
    assert!(term.may_act(sent + AUTONOMY_LIMIT), "it came in time");
    let late = sent + AUTONOMY_LIMIT + Duration::from_millis(1);
    term.record_renewal(sent, late);
    assert!(!term.may_act(late));
    term.record_renewal(late, late + Duration::from_millis(1));
    assert!(!term.may_act(late + Duration::from_millis(1)));
}
