//! The workers of a shard, and the choice of a worker for a task.

use crate::host::Host;
use crate::score::{Score, balanced_fit};
use catkin_types::{Resources, WorkerId};
use std::collections::HashMap;

/// The requirements of a task that is to be placed.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The resources to reserve.
    pub size: Resources,
    /// Added to the score of a host, for instance to spread the tasks of a service over racks. The lowest score wins.
    pub penalty: Option<&'a dyn Fn(&Host) -> f64>,
}

impl PlacementRequest<'_> {
    /// Returns a request without a penalty.
    #[must_use]
    pub fn from_size(size: Resources) -> Self {
        Self { size, penalty: None }
    }
}

/// The result of a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The task goes to the host with this index.
    On(usize),
    /// No open host has enough free resources now, but some host is large enough when empty.
    NoCapacityNow,
    /// No host of the pool is large enough, even when empty.
    Unplaceable,
}

/// The hosts of a shard, with the function that ranks them.
#[derive(Clone, Debug)]
pub struct HostPool {
    hosts: Vec<Host>,
    index: HashMap<WorkerId, usize>,
    score: Score,
}

impl Default for HostPool {
    fn default() -> Self {
        Self::new(balanced_fit)
    }
}

impl HostPool {
    /// Returns an empty pool that ranks hosts by `score`.
    #[must_use]
    pub fn new(score: Score) -> Self {
        Self { hosts: Vec::new(), index: HashMap::new(), score }
    }

    /// All hosts, open or not, in the order in which they were added.
    #[must_use]
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// Returns the host at an index of [`HostPool::hosts`].
    #[must_use]
    pub fn host(&self, i: usize) -> &Host {
        &self.hosts[i]
    }

    /// Returns the host with the worker ID `id`.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<&Host> {
        self.index.get(id).map(|i| &self.hosts[*i])
    }

    /// Returns the host with the worker ID `id` for changes.
    pub fn find_mut(&mut self, id: &str) -> Option<&mut Host> {
        self.index.get(id).map(|i| &mut self.hosts[*i])
    }

    /// Adds a host, or replaces the one with the same ID.
    pub fn put(&mut self, host: Host) {
        if let Some(i) = self.index.get(&host.id) {
            self.hosts[*i] = host;
        } else {
            self.index.insert(host.id.clone(), self.hosts.len());
            self.hosts.push(host);
        }
    }

    /// Chooses a host without reserving anything.
    #[must_use]
    pub fn choose(&self, request: &PlacementRequest<'_>) -> Placement {
        let mut best: Option<(f64, usize)> = None;
        for (i, host) in self.hosts.iter().enumerate().filter(|(_, h)| h.open) {
            let free = host.free();
            if !request.size.fits(&free) {
                continue;
            }
            let score =
                (self.score)(host, &free, &request.size) + request.penalty.map_or(0.0, |p| p(host));
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, i));
            }
        }
        match best {
            Some((_, i)) => Placement::On(i),
            None if self.could_hold(&request.size) => Placement::NoCapacityNow,
            None => Placement::Unplaceable,
        }
    }

    /// Chooses a host and reserves the size on it.
    pub fn place(&mut self, request: &PlacementRequest<'_>) -> Placement {
        let placement = self.choose(request);
        if let Placement::On(i) = placement {
            self.hosts[i].declared += request.size;
        }
        placement
    }

    /// Releases a size that was reserved on the host at index `i`.
    pub fn release(&mut self, i: usize, size: &Resources) {
        self.hosts[i].declared = self.hosts[i].declared.saturating_sub(size);
    }

    /// Whether the size fits on any host, open or not, when it is empty.
    #[must_use]
    pub fn could_hold(&self, size: &Resources) -> bool {
        self.hosts.iter().any(|h| size.fits(&h.capacity))
    }

    /// The sum of the capacities of all open hosts.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        self.sum(|h| h.capacity)
    }

    /// The sum of the free resources of all open hosts.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.sum(Host::free)
    }

    fn sum(&self, f: impl Fn(&Host) -> Resources) -> Resources {
        let open = self.hosts.iter().filter(|h| h.open);
        open.map(f).fold(Resources::default(), |a, b| a.saturating_add(&b))
    }
}
