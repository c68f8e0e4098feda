//! The daemon: a gate for callers and operators, owners of shards, the table of weights and limits, and peers.
//!
//! [`Daemon::start`] starts every component, and [`Daemon::stop`] joins all of them.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cx;
pub mod error;
pub mod gate;
pub mod limits;
pub mod metrics;
pub mod owner;
pub mod peers;
pub mod quota;
pub mod route;
pub mod rows;
pub mod scan;
pub mod slots;

mod daemon;

pub use cx::Cx;
pub use daemon::{Daemon, Listeners};
pub use error::Error;
