//! Simple policies to compare with.

use catkin_place::Host;
use catkin_types::Resources;
use std::collections::VecDeque;

/// The first host in order that has room.
#[must_use]
pub fn first_fit(_: &Host, _: &Resources, _: &Resources) -> f64 {
    0.0
}

/// Any host that has room, by a hash of the host and what it holds.
#[must_use]
pub fn random_fit(host: &Host, free: &Resources, size: &Resources) -> f64 {
    let bytes = host.id.bytes().map(u64::from);
    let seed = free.cpu_milli ^ free.memory_mib.rotate_left(17) ^ size.cpu_milli.rotate_left(31);
    let hash = bytes.fold(seed, |h, b| (h ^ b).wrapping_mul(0x0100_0000_01b3));
    f64::from(u32::try_from(hash >> 40).unwrap_or(0))
}

/// One queue for all rows, in order of arrival, without bounds.
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
    /// Lets an entry wait.
    pub fn offer(&mut self, item: T) {
        self.items.push_back(item);
    }

    /// Takes the oldest entry.
    pub fn take(&mut self) -> Option<T> {
        self.items.pop_front()
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
