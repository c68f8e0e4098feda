//! The client for callers and operators, as a library: parse, run, print.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cli;
mod commands;
pub mod error;
mod output;
pub mod server;

pub use cli::Args;
pub use error::{Error, Exit};

use std::io::Write;

/// Runs a command and writes what it prints to `out`.
///
/// # Errors
/// Says what failed; [`Error::exit`] has the exit code.
pub async fn run(args: Args, out: &mut (dyn Write + Send)) -> Result<Exit, Error> {
    commands::run(args, out).await
}
