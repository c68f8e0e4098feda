//! Tests of placement.

mod gang;
mod health;
mod shelf;
mod size;

use catkin_place::{Host, Shelf};
use catkin_types::Resources;

fn shelf(sizes: &[(u64, u64, u64)]) -> Shelf {
    let mut shelf = Shelf::default();
    for (i, (cpu, memory, acc)) in sizes.iter().enumerate() {
        let capacity = Resources::new(*cpu, *memory, *acc);
        shelf.put(Host { id: format!("w{i}"), capacity, open: true, ..Host::default() });
    }
    shelf
}
