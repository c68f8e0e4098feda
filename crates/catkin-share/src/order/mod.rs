//! Whose waiting work is placed next.

use catkin_types::row::Urgency;
use catkin_types::{Resources, Row};
use std::cmp::Ordering;

/// A row with waiting work.
#[derive(Clone, Copy, Debug)]
pub struct RowUsage<'a> {
    /// The row.
    pub row: &'a Row,
    /// What its running work takes.
    pub held: Resources,
    /// Its fair share at present.
    pub share: Resources,
}

/// The class of a row: the first class that has waiting work goes first.
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

/// Orders rows: below the guarantee, urgent below the share, below the share, the rest. Within a class the row with
/// the least weighted dominant share goes first. Urgency counts for nothing above a row's share.
#[must_use]
pub fn compare(total: &Resources, a: &RowUsage<'_>, b: &RowUsage<'_>) -> Ordering {
    let level = |s: &RowUsage<'_>| s.held.dominant_fraction(total) / f64::from(s.row.weight.max(1));
    priority_class(a).cmp(&priority_class(b)).then_with(|| level(a).total_cmp(&level(b)))
}
