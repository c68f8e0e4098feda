//! The arguments of the command line.

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Client for callers and operators of catkincart.
#[derive(Clone, Debug, Parser)]
#[command(name = "catkincart", version, about)]
pub struct Args {
    /// Address and port of a daemon. Several, separated by commas, are tried in order.
    #[arg(
        long,
        global = true,
        env = "CATKINCART_SERVER",
        value_delimiter = ',',
        default_value = "127.0.0.1:7300"
    )]
    pub server: Vec<String>,
    /// Access token. Empty: the requests carry none.
    #[arg(
        long,
        global = true,
        env = "CATKINCART_TOKEN",
        hide_env_values = true,
        default_value = ""
    )]
    pub token: String,
    /// Format of the output.
    #[arg(long, global = true, value_enum, default_value_t = Output::Table)]
    pub output: Output,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Text: a table with aligned columns, or one field per line.
    Table,
    /// Indented JSON.
    Json,
}

/// The commands of the client.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Sends a request to a service and prints the answer.
    Call {
        /// Row of weights and limits that the request is accounted to.
        row: String,
        /// Path and query of the request at the service.
        #[arg(default_value = "")]
        path: String,
        /// Body of the request, which is then a POST. Without it, the request is a GET.
        #[arg(long)]
        data: Option<String>,
        /// Idempotency key; required for rows whose requests run at most once.
        #[arg(long)]
        key: Option<String>,
    },
    /// Submits a job.
    Submit {
        /// Row of weights and limits that the job is accounted to.
        row: String,
        /// Program that each task runs.
        program: String,
        /// Number of tasks.
        #[arg(long, default_value_t = 1)]
        tasks: u32,
        /// Processors of a task, in thousandths of a core.
        #[arg(long, default_value_t = 1_000)]
        cpu_milli: u64,
        /// Memory of a task, in MiB.
        #[arg(long, default_value_t = 512)]
        memory_mib: u64,
        /// Number of accelerators of a task.
        #[arg(long, default_value_t = 0)]
        accelerators: u64,
        /// Starts all tasks together, or none.
        #[arg(long)]
        gang: bool,
        /// Idempotency key. A repeated submission with the same key returns the same job. Default: a random key.
        #[arg(long)]
        key: Option<String>,
        /// Waits until the job ends and prints its final status.
        #[arg(long)]
        wait: bool,
    },
    /// Shows the status of a job.
    Status {
        /// Id of the job.
        job: String,
    },
    /// Waits until a job ends and shows its final status.
    Result {
        /// Id of the job.
        job: String,
    },
    /// Cancels jobs.
    Cancel {
        /// Ids of the jobs.
        #[arg(required = true)]
        jobs: Vec<String>,
    },
    /// Explains why a job waits or can't run, and what would let it run.
    Explain {
        /// Id of the job.
        job: String,
    },
    /// Shows or changes the table of weights and limits.
    Limits {
        /// The operation on the table.
        #[command(subcommand)]
        command: Limits,
    },
    /// Lists workers.
    Workers,
    /// Lists shards and their owners.
    Shards,
    /// Lists the hosts that the platform reports.
    Hosts,
    /// Marks the first daemon that answers as draining, so that the load balancer and peers stop sending it work.
    Drain,
    /// Shows the audit trail.
    Audit {
        /// Shows only changes of this row.
        #[arg(long)]
        row: Option<String>,
        /// Shows only changes by this operator.
        #[arg(long)]
        by: Option<String>,
        /// Shows only changes of this day, in days since the Unix epoch.
        #[arg(long)]
        day: Option<u64>,
    },
    /// Prints a shell completion script.
    Completions {
        /// Shell that the script is for.
        shell: clap_complete::Shell,
    },
    /// Prints the manual page in roff format.
    Man,
}

/// The operations on the table of weights and limits.
#[derive(Clone, Debug, Subcommand)]
pub enum Limits {
    /// Shows the table, or one row.
    Get {
        /// Name of the row. Without it, the whole table is shown.
        row: Option<String>,
    },
    /// Changes values of one row, such as `weight=5`, or adds a row.
    Edit {
        /// Name of the row. If the table has no such row, it is added.
        row: String,
        /// New values, each as `column=value`, with the columns of an exported sheet.
        #[arg(required = true)]
        values: Vec<String>,
        /// Version of the table that the change is based on. Default: the newest version.
        #[arg(long)]
        expect_version: Option<u64>,
    },
    /// Removes a row.
    Remove {
        /// Name of the row.
        row: String,
        /// Version of the table that the change is based on. Default: the newest version.
        #[arg(long)]
        expect_version: Option<u64>,
    },
    /// Replaces the table by a sheet of comma-separated values. Rows that the sheet lacks are removed.
    Import {
        /// File of comma-separated values.
        file: PathBuf,
        /// Version of the table that the sheet was exported from. Default: the newest version.
        #[arg(long)]
        expect_version: Option<u64>,
    },
    /// Prints the table as comma-separated values.
    Export,
    /// Shows what an import of a sheet would change.
    Diff {
        /// File of comma-separated values.
        file: PathBuf,
    },
    /// Shows the changes of the table, with the operator who made each.
    History {
        /// Name of the row. Without it, the changes of all rows are shown.
        row: Option<String>,
    },
    /// Shows the version of the table that each daemon has.
    Versions,
}
