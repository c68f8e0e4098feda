//! The daemon of the cluster scheduler.
#![forbid(unsafe_code)]

mod check;
mod cli;
mod dev;
mod error;
mod log;
mod node;
mod run;

use clap::Parser;
use cli::{Args, Command};
use error::Error;
use error_stack::{Report, ResultExt};
use std::process::ExitCode;

fn main() -> ExitCode {
    match start(Args::parse()) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("catkincartd: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: Args) -> Result<ExitCode, Report<Error>> {
    match args.command {
        Command::Check { settings, print } => Ok(check::check(&settings, print)),
        Command::Run { settings } => {
            let Some(settings) = check::load(&settings) else { return Ok(ExitCode::FAILURE) };
            log::start(&settings.log);
            runtime(args.threads)?.block_on(run::run(settings))
        }
        Command::Node { settings } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.change_context(Error::Runtime)?.block_on(node::run(&settings))
        }
        Command::Dev { listen, once } => runtime(args.threads)?.block_on(dev::dev(&listen, once)),
    }
}

fn runtime(threads: Option<usize>) -> Result<tokio::runtime::Runtime, Report<Error>> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if let Some(n) = threads {
        builder.worker_threads(n);
    }
    builder.enable_all().build().change_context(Error::Runtime)
}
