//! The command line.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// The daemon of catkincart, a cluster scheduler for unlike workloads.
#[derive(Debug, Parser)]
#[command(name = "catkincartd", version, about)]
pub struct Args {
    /// How many threads the daemon uses. Without it, one for each core.
    #[arg(long, global = true)]
    pub threads: Option<usize>,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs until a signal to stop.
    Run {
        /// The settings.
        settings: PathBuf,
    },
    /// Runs on the users' platform until a signal to stop.
    Node {
        /// The settings.
        #[arg(env = "CATKINCART_NODE_FILE")]
        settings: PathBuf,
    },
    /// Checks settings.
    Check {
        /// The settings: files, or folders of them.
        #[arg(required = true)]
        settings: Vec<PathBuf>,
        /// Prints the effective values and where each comes from.
        #[arg(long)]
        print: bool,
    },
    /// Runs a whole small deployment in this process, with stand-ins for the platform, and shows an example.
    Dev {
        /// Where the daemon listens for callers.
        #[arg(long, default_value = "127.0.0.1:7300")]
        listen: String,
        /// Stops after the example.
        #[arg(long)]
        once: bool,
    },
}
