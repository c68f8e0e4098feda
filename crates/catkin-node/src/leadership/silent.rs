//! Silent workers in the owner row.
//!
//! Pure. The row tells how much time is left until nothing runs on a worker, and each owner counts it on its own clock, so
//! that no two clocks are compared.

use super::earlier::millis_left;
use catkin_cell::cell::SilentWorkers;
use catkin_types::WorkerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns the silent workers that a row names, for a daemon that sends a claim at `now` on the condition that the row has
/// not changed.
#[must_use]
pub fn inherit(left_ms: &BTreeMap<WorkerId, u64>, now: Duration) -> SilentWorkers {
    let idle_from = |left: &u64| now.saturating_add(Duration::from_millis(*left));
    let idle_from = left_ms.iter().map(|(id, left)| (id.clone(), idle_from(left))).collect();
    SilentWorkers { idle_from, ..SilentWorkers::default() }
}

/// Returns the time that is left at `now` for each worker, for the owner row, in whole milliseconds that are not too few.
#[must_use]
pub fn left_ms(silent: &SilentWorkers, now: Duration) -> BTreeMap<WorkerId, u64> {
    silent.idle_from.iter().map(|(id, from)| (id.clone(), millis_left(*from, now))).collect()
}
