//! Placement of gangs: either all tasks of a gang are placed, or none.

use crate::pool::{HostPool, Placement, PlacementRequest};
use catkin_types::Resources;

/// The result of placing a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangPlacement {
    /// The index of the host for each task, in the order of the sizes passed in.
    All(Vec<usize>),
    /// The tasks do not all fit now. Nothing is reserved.
    NoCapacityNow,
    /// The tasks would not all fit even on empty hosts. Nothing is reserved.
    Unplaceable,
}

/// Reserves all sizes, the largest first, or none of them.
pub fn place(pool: &mut HostPool, sizes: &[Resources]) -> GangPlacement {
    let total = pool.capacity();
    let mut order: Vec<usize> = (0..sizes.len()).collect();
    let weight = |i: &usize| sizes[*i].dominant_fraction(&total);
    order.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
    let mut hosts = vec![0; sizes.len()];
    for (n, i) in order.iter().enumerate() {
        match pool.place(&PlacementRequest::from_size(sizes[*i])) {
            Placement::On(host) => hosts[*i] = host,
            Placement::NoCapacityNow | Placement::Unplaceable => {
                for placed in &order[..n] {
                    pool.release(hosts[*placed], &sizes[*placed]);
                }
                return if fits_empty(pool, sizes) {
                    GangPlacement::NoCapacityNow
                } else {
                    GangPlacement::Unplaceable
                };
            }
        }
    }
    GangPlacement::All(hosts)
}

/// Whether the gang would fit if all hosts of the pool were empty and open.
#[must_use]
pub fn fits_empty(pool: &HostPool, sizes: &[Resources]) -> bool {
    let mut empty = pool.clone();
    for host in pool.hosts() {
        if let Some(h) = empty.find_mut(&host.id) {
            h.declared = Resources::default();
            h.observed = Resources::default();
            h.open = true;
        }
    }
    let mut sorted = sizes.to_vec();
    let total = empty.capacity();
    sorted.sort_by(|a, b| b.dominant_fraction(&total).total_cmp(&a.dominant_fraction(&total)));
    sorted
        .iter()
        .all(|size| matches!(empty.place(&PlacementRequest::from_size(*size)), Placement::On(_)))
}
