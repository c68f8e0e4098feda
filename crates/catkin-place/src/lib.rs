//! Placement: chooses workers for tasks and gangs, estimates the real sizes of tasks, and quarantines faulty workers.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod gang;
pub mod health;
pub mod host;
pub mod pool;
pub mod score;
pub mod size;

pub use host::Host;
pub use pool::{HostPool, Placement, PlacementRequest};
