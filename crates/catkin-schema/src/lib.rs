//! The messages between daemons, and the settings.
//!
//! The code in `generated` comes from `schema/` by `just generate` and is committed, so that a build needs no
//! generator. The other modules wrap it in plain types.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

#[allow(missing_docs, clippy::all, clippy::pedantic, reason = "generated")]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;

#[allow(missing_docs, clippy::all, clippy::pedantic, reason = "generated")]
#[path = "generated/settings.rs"]
mod generated_settings;

pub mod peer;
pub mod settings;
