//! The arguments of the command line.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// The daemon of catkincart, a cluster scheduler for heterogeneous workloads.
#[derive(Debug, Parser)]
#[command(name = "catkincartd", version, about)]
pub struct Args {
    /// Number of worker threads of the daemon. Default: one for each core.
    #[arg(long, global = true)]
    pub threads: Option<usize>,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the daemon program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs the daemon until SIGTERM or SIGINT.
    Run {
        /// The settings file.
        settings: PathBuf,
    },
    /// Runs the daemon on the users' platform until SIGTERM or SIGINT.
    Node {
        /// The settings file.
        #[arg(env = "CATKINCART_NODE_FILE")]
        settings: PathBuf,
    },
    /// Checks settings files and prints the problems.
    Check {
        /// Settings files, or folders whose `.toml` files are checked.
        #[arg(required = true)]
        settings: Vec<PathBuf>,
        /// Prints each effective value and its source.
        #[arg(long)]
        print: bool,
    },
    /// Runs a small deployment in this process, with stand-ins for the platform, and shows an example session.
    Dev {
        /// Address and port on which the daemon listens for clients.
        #[arg(long, default_value = "127.0.0.1:7300")]
        listen: String,
        /// Stops after the example session.
        #[arg(long)]
        once: bool,
    },
}
