//! The daemon on the users' platform.
//!
//! Every daemon takes requests of clients ([`gate`]) and asks the adviser for others ([`asks`]). One of them owns the
//! cell ([`lead`]) and decides what starts where ([`owner`]).
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

pub use cx::Cx;
pub use error::Error;
pub use node::Node;
pub use settings::Settings;
