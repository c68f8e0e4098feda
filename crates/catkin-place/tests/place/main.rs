//! Tests of placement.

mod gang;
mod health;
mod pool;
mod size;

use catkin_place::{Host, HostPool};
use catkin_types::Resources;

fn pool(sizes: &[(u64, u64, u64)]) -> HostPool {
    let mut pool = HostPool::default();
    for (i, (cpu, memory, acc)) in sizes.iter().enumerate() {
        let capacity = Resources::new(*cpu, *memory, *acc);
        pool.put(Host { id: format!("w{i}"), capacity, open: true, ..Host::default() });
    }
    pool
}
