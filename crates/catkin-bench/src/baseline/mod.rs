//! Baseline policies for comparison.

use catkin_place::Host;
use catkin_types::Resources;
use std::collections::VecDeque;

/// Scores all hosts alike, so that the first one with room is chosen.
#[must_use]
pub fn first_fit(_: &Host, _: &Resources, _: &Resources) -> f64 {
    0.0
}

/// Scores a host by a hash of its id, its free resources and the size, so that any one with room may be chosen.
#[must_use]
pub fn random_fit(host: &Host, free: &Resources, size: &Resources) -> f64 {
    let bytes = host.id.bytes().map(u64::from);
    let seed = free.cpu_milli ^ free.memory_mib.rotate_left(17) ^ size.cpu_milli.rotate_left(31);
    let hash = bytes.fold(seed, |h, b| (h ^ b).wrapping_mul(0x0100_0000_01b3));
    f64::from(u32::try_from(hash >> 40).unwrap_or(0))
}

/// An unbounded first-in, first-out queue for all rows.
#[derive(Debug)]
pub struct Fifo<T> {
    items: VecDeque<T>,
}

impl<T> Default for Fifo<T> {
    fn default() -> Self {
        Self { items: VecDeque::new() }
    }
}

impl<T> Fifo<T> {
    /// Appends an entry.
    pub fn offer(&mut self, item: T) {
        self.items.push_back(item);
    }

    /// Removes and returns the oldest entry.
    pub fn take(&mut self) -> Option<T> {
        self.items.pop_front()
    }

    /// The number of waiting entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no entry waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
