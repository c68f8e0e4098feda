//! The command-line client for callers and operators, as a library. It parses a command line, runs the command and
//! prints the result.
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

/// Runs a command and writes its output to `out`.
///
/// # Errors
/// Fails if the arguments or files are invalid, if no daemon answers, if the daemon refuses the request, or if the
/// output can't be written. [`Error::exit_code`] returns the matching exit code.
pub async fn run(args: Args, out: &mut (dyn Write + Send)) -> Result<Exit, Error> {
    commands::run(args, out).await
}
