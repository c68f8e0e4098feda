//! How good a place is. The lowest score wins.

use crate::Host;
use catkin_types::Resources;
use catkin_types::resources::ratio;

/// Ranks a host for a size that fits into `free`.
pub type Score = fn(host: &Host, free: &Resources, size: &Resources) -> f64;

/// The score of a host whose accelerators a task has no use for: more than any other score.
const IDLE_ACCELERATORS_PENALTY: f64 = 10.0;

/// The part of a host below which what is left makes no difference any more.
const NEARLY_FULL_FRACTION: f64 = 0.02;
/// How much a fuller host counts against a balanced one.
const FREE_FRACTION_WEIGHT: f64 = 0.3;

/// Prefers the host that is left with the least, and with its resources in balance, so that none is stranded. Hosts
/// with accelerators come last for tasks without.
#[must_use]
pub fn balanced_fit(host: &Host, free: &Resources, size: &Resources) -> f64 {
    let left = free.saturating_sub(size);
    let cpu = fraction(left.cpu_milli, host.capacity.cpu_milli);
    let memory = fraction(left.memory_mib, host.capacity.memory_mib);
    // The less is left, the more an imbalance of it strands.
    let imbalance = (cpu - memory).abs() / (cpu + memory + NEARLY_FULL_FRACTION).sqrt();
    let accelerators = match (size.accelerators, host.capacity.accelerators) {
        (0, 0) => 0.0,
        (0, _) => IDLE_ACCELERATORS_PENALTY,
        (_, all) => fraction(left.accelerators, all),
    };
    accelerators + imbalance + FREE_FRACTION_WEIGHT * (cpu + memory)
}

fn fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { ratio(part, whole) }
}
