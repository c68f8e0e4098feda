//! The command line.

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Client for callers and operators of catkincart.
#[derive(Clone, Debug, Parser)]
#[command(name = "catkincart", version, about)]
pub struct Args {
    /// Address and port of a daemon. Give several to have them tried in turn.
    #[arg(
        long,
        global = true,
        env = "CATKINCART_SERVER",
        value_delimiter = ',',
        default_value = "127.0.0.1:7300"
    )]
    pub server: Vec<String>,
    /// The token.
    #[arg(
        long,
        global = true,
        env = "CATKINCART_TOKEN",
        hide_env_values = true,
        default_value = ""
    )]
    pub token: String,
    /// The form of the output.
    #[arg(long, global = true, value_enum, default_value_t = Output::Table)]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Columns for people.
    Table,
    /// JSON for programs.
    Json,
}

/// The commands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Sends a request to a service and prints the answer.
    Call {
        /// The row of weights and limits.
        row: String,
        /// The path and query at the service.
        #[arg(default_value = "")]
        path: String,
        /// The body. Without it the request is a GET.
        #[arg(long)]
        data: Option<String>,
        /// The idempotency key, for rows whose requests run at most once.
        #[arg(long)]
        key: Option<String>,
    },
    /// Submits a job.
    Submit {
        /// The row of weights and limits.
        row: String,
        /// What each task runs.
        program: String,
        /// How many tasks.
        #[arg(long, default_value_t = 1)]
        tasks: u32,
        /// Processors of a task, in thousandths of a core.
        #[arg(long, default_value_t = 1_000)]
        cpu_milli: u64,
        /// Memory of a task, in MiB.
        #[arg(long, default_value_t = 512)]
        memory_mib: u64,
        /// Accelerators of a task.
        #[arg(long, default_value_t = 0)]
        accelerators: u64,
        /// All tasks start together, or none.
        #[arg(long)]
        gang: bool,
        /// The idempotency key. A repeated submit under the same key names the same job.
        #[arg(long)]
        key: Option<String>,
        /// Waits for the end of the job.
        #[arg(long)]
        wait: bool,
    },
    /// Shows where a job is.
    Status {
        /// The job.
        job: String,
    },
    /// Waits for the end of a job and shows how it ended.
    Result {
        /// The job.
        job: String,
    },
    /// Cancels jobs.
    Cancel {
        /// The jobs.
        #[arg(required = true)]
        jobs: Vec<String>,
    },
    /// Tells why a job waits or can't run, and what would let it run.
    Explain {
        /// The job.
        job: String,
    },
    /// The table of weights and limits.
    Limits {
        /// What to do with it.
        #[command(subcommand)]
        command: Limits,
    },
    /// Lists workers.
    Workers,
    /// Lists shards and their owners.
    Shards,
    /// Lists the hosts that the platform names.
    Hosts,
    /// Takes the daemon that is asked out of the balancer's sight.
    Drain,
    /// Shows the audit trail.
    Audit {
        /// Only changes of this row.
        #[arg(long)]
        row: Option<String>,
        /// Only changes by this operator.
        #[arg(long)]
        by: Option<String>,
        /// Only changes of this day, in days since the Unix epoch.
        #[arg(long)]
        day: Option<u64>,
    },
    /// Writes a script that completes commands in a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Writes the manual page.
    Man,
}

/// What can be done with the table of weights and limits.
#[derive(Clone, Debug, Subcommand)]
pub enum Limits {
    /// Shows the table, or one row.
    Get {
        /// The row.
        row: Option<String>,
    },
    /// Changes values of one row, such as `weight=5`.
    Edit {
        /// The row. A row that is not there is added.
        row: String,
        /// The values, each as `column=value` with the columns of the sheet.
        #[arg(required = true)]
        values: Vec<String>,
        /// The version that the change is made from. Without it the newest is taken.
        #[arg(long)]
        expect_version: Option<u64>,
    },
    /// Removes a row.
    Remove {
        /// The row.
        row: String,
        /// The version that the change is made from. Without it the newest is taken.
        #[arg(long)]
        expect_version: Option<u64>,
    },
    /// Makes the table what a sheet of comma-separated values says.
    Import {
        /// The sheet.
        file: PathBuf,
        /// The version that the sheet was exported from. Without it the newest is taken.
        #[arg(long)]
        expect_version: Option<u64>,
    },
    /// Writes the table as comma-separated values.
    Export,
    /// Shows what an import of a sheet would change.
    Diff {
        /// The sheet.
        file: PathBuf,
    },
    /// Shows who changed the table.
    History {
        /// Only changes of this row.
        row: Option<String>,
    },
    /// Shows which daemons have which version.
    Versions,
}
