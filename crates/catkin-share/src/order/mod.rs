//! The order in which rows with waiting tasks are served.

use catkin_types::row::Urgency;
use catkin_types::{Resources, Row};
use std::cmp::Ordering;

/// A row with waiting tasks.
#[derive(Clone, Copy, Debug)]
pub struct RowUsage<'a> {
    /// The row's entry in the limits table.
    pub row: &'a Row,
    /// The total size of its running tasks.
    pub held: Resources,
    /// Its current fair share.
    pub share: Resources,
}

/// Returns the priority class of a row. Lower classes are served first.
fn priority_class(s: &RowUsage<'_>) -> u8 {
    let under = |bound: &Resources| !bound.is_zero() && s.held != *bound && s.held.fits(bound);
    if under(&s.row.guaranteed) {
        return 0;
    }
    if s.row.urgency == Urgency::Urgent && under(&s.share) {
        return 1;
    }
    if under(&s.share) { 2 } else { 3 }
}

/// Orders rows by class: below their guarantee, urgent and below their share, below their share, the rest. Within a
/// class the row with the lowest weighted dominant share comes first. Urgency has no effect above a row's share.
#[must_use]
pub fn compare(total: &Resources, a: &RowUsage<'_>, b: &RowUsage<'_>) -> Ordering {
    let level = |s: &RowUsage<'_>| s.held.dominant_fraction(total) / f64::from(s.row.weight.max(1));
    priority_class(a).cmp(&priority_class(b)).then_with(|| level(a).total_cmp(&level(b)))
}
