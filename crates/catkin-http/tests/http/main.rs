//! Tests of the HTTP client and server.

mod client;
mod paced;
mod server;
