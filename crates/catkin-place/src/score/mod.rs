//! Scores of hosts for a task. The host with the lowest score is chosen.

use crate::Host;
use catkin_types::Resources;
use catkin_types::resources::ratio;

/// Returns the score of a host for a size that fits into `free`. Lower is better.
pub type Score = fn(host: &Host, free: &Resources, size: &Resources) -> f64;

/// The penalty of a host with accelerators for a task without. Larger than any other part of a score.
const IDLE_ACCELERATORS_PENALTY: f64 = 10.0;

/// The fraction of a host's capacity below which the remaining free resources hardly affect the score.
const NEARLY_FULL_FRACTION: f64 = 0.02;
/// The weight of the free fractions in a score, relative to the imbalance between them.
const FREE_FRACTION_WEIGHT: f64 = 0.3;

/// Prefers hosts that keep the least free resources after the placement, with CPU and memory in balance so that neither
/// is stranded. Hosts with accelerators come last for tasks without.
#[must_use]
pub fn balanced_fit(host: &Host, free: &Resources, size: &Resources) -> f64 {
    let left = free.saturating_sub(size);
    let cpu = fraction(left.cpu_milli, host.capacity.cpu_milli);
    let memory = fraction(left.memory_mib, host.capacity.memory_mib);
    // The fewer resources stay free, the larger the share of them that an imbalance strands.
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
