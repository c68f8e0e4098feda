//! HTTP client and server. The client distinguishes requests that were certainly not sent from those that may have
//! arrived. The server finishes the requests in progress before it stops.
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
