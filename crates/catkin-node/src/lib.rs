//! The scheduler daemon for the users' platform.
//!
//! Every daemon serves clients ([`gate`]) and calls the adviser on behalf of the owner ([`advice`]). One daemon is
//! elected the owner of the cell ([`leadership`]) and schedules its jobs ([`owner`]).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod advice;
pub mod config_watch;
pub mod cx;
pub mod error;
pub mod gate;
pub mod leadership;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod peers;
pub mod settings;
pub mod table;
pub mod worker_entries;

pub use cx::Cx;
pub use error::Error;
pub use node::Node;
pub use settings::Settings;
