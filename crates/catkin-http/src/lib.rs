//! HTTP on both sides: a client that tells what was certainly not sent, and a server that drains before it stops.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod body;
pub mod client;
pub mod error;
pub mod query;
pub mod server;

pub use body::Body;
pub use client::Client;
pub use error::Error;
