//! The workers of a shard and the choice among them.

use crate::host::Host;
use crate::score::{Score, balanced_fit};
use catkin_types::{Resources, WorkerId};
use std::collections::HashMap;

/// What a task needs of a place.
#[derive(Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// What it takes.
    pub size: Resources,
    /// Added to the score of a host. A service spreads its tasks over racks with it.
    pub penalty: Option<&'a dyn Fn(&Host) -> f64>,
}

impl PlacementRequest<'_> {
    /// A task of that size with no other wish.
    #[must_use]
    pub fn from_size(size: Resources) -> Self {
        Self { size, penalty: None }
    }
}

/// What came of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It goes to the host with this index.
    On(usize),
    /// No host has room now, but one could hold it when empty.
    NoCapacityNow,
    /// No host of the shelf could hold it, even empty.
    Unplaceable,
}

/// The hosts of a shard.
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
    /// An empty shelf that ranks hosts by `score`.
    #[must_use]
    pub fn new(score: Score) -> Self {
        Self { hosts: Vec::new(), index: HashMap::new(), score }
    }

    /// The hosts.
    #[must_use]
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// The host at that index.
    #[must_use]
    pub fn host(&self, i: usize) -> &Host {
        &self.hosts[i]
    }

    /// The host of that name.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<&Host> {
        self.index.get(id).map(|i| &self.hosts[*i])
    }

    /// The host of that name, to be changed.
    pub fn find_mut(&mut self, id: &str) -> Option<&mut Host> {
        self.index.get(id).map(|i| &mut self.hosts[*i])
    }

    /// Adds a host, or replaces the one of the same name.
    pub fn put(&mut self, host: Host) {
        if let Some(i) = self.index.get(&host.id) {
            self.hosts[*i] = host;
        } else {
            self.index.insert(host.id.clone(), self.hosts.len());
            self.hosts.push(host);
        }
    }

    /// Chooses a host and changes nothing.
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

    /// Chooses a host and sets the size aside on it.
    pub fn place(&mut self, request: &PlacementRequest<'_>) -> Placement {
        let placement = self.choose(request);
        if let Placement::On(i) = placement {
            self.hosts[i].declared += request.size;
        }
        placement
    }

    /// Gives back what was set aside on the host at that index.
    pub fn release(&mut self, i: usize, size: &Resources) {
        self.hosts[i].declared = self.hosts[i].declared.saturating_sub(size);
    }

    /// Whether any host could hold the size when empty.
    #[must_use]
    pub fn could_hold(&self, size: &Resources) -> bool {
        self.hosts.iter().any(|h| size.fits(&h.capacity))
    }

    /// What all open hosts can hold together.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        self.sum(|h| h.capacity)
    }

    /// What is free on all open hosts together.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.sum(Host::free)
    }

    fn sum(&self, f: impl Fn(&Host) -> Resources) -> Resources {
        let open = self.hosts.iter().filter(|h| h.open);
        open.map(f).fold(Resources::default(), |a, b| a.saturating_add(&b))
    }
}
