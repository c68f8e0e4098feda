//! Gangs: all tasks are placed, or none.

use crate::shelf::{Ask, Outcome, Shelf};
use catkin_types::Resources;

/// What came of a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The index of the host for each task, in the order asked.
    All(Vec<usize>),
    /// Not all fit now. Nothing is set aside.
    Later,
    /// Not all could fit on empty hosts.
    Never,
}

/// Sets aside every size, the largest first, or none.
pub fn place(shelf: &mut Shelf, sizes: &[Resources]) -> Fit {
    let total = shelf.capacity();
    let mut order: Vec<usize> = (0..sizes.len()).collect();
    let weight = |i: &usize| sizes[*i].dominant_fraction(&total);
    order.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
    let mut hosts = vec![0; sizes.len()];
    for (n, i) in order.iter().enumerate() {
        match shelf.place(&Ask::of(sizes[*i])) {
            Outcome::On(host) => hosts[*i] = host,
            Outcome::Later | Outcome::Never => {
                for placed in &order[..n] {
                    shelf.release(hosts[*placed], &sizes[*placed]);
                }
                return if fits_empty(shelf, sizes) { Fit::Later } else { Fit::Never };
            }
        }
    }
    Fit::All(hosts)
}

/// Whether the gang would fit if the shelf's hosts were empty and open.
#[must_use]
pub fn fits_empty(shelf: &Shelf, sizes: &[Resources]) -> bool {
    let mut empty = shelf.clone();
    for host in shelf.hosts() {
        if let Some(h) = empty.find_mut(&host.id) {
            h.declared = Resources::default();
            h.observed = Resources::default();
            h.open = true;
        }
    }
    let mut sorted = sizes.to_vec();
    let total = empty.capacity();
    sorted.sort_by(|a, b| b.dominant_fraction(&total).total_cmp(&a.dominant_fraction(&total)));
    sorted.iter().all(|size| matches!(empty.place(&Ask::of(*size)), Outcome::On(_)))
}
