//! Placement: which worker holds a task, whether a gang fits, how large tasks really are, and which workers are bad.
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
