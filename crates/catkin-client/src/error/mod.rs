//! Errors and exit codes.

use catkin_types::Answer;
use catkin_types::answer::Outcome;

/// How the program ends. `docs/OPERATIONS.md` has the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// It was not run.
    NotRun = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Whether it was run is not known.
    Unknown = 3,
    /// The job failed or was cancelled.
    JobFailed = 4,
}

/// Why a command did not succeed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A daemon answered with a result code.
    #[display("{} (code {}, {}, request {})", _0.message, _0.code, _0.outcome, _0.request_id)]
    #[error(ignore)]
    Answered(Answer, serde_json::Value),
    /// No daemon was reached.
    #[display("no daemon was reached: {_0}")]
    Unreached(#[error(not(source))] String),
    /// The answer of a daemon was lost.
    #[display("the answer was lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// Something in the arguments or files is wrong.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// The output could not be written.
    #[display("the output could not be written: {_0}")]
    Output(std::io::Error),
}

impl Error {
    /// The exit code.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Answered(a, _) if a.outcome == Outcome::Unknown => Exit::Unknown,
            Self::Answered(..) | Self::Unreached(_) => Exit::NotRun,
            Self::Lost(_) => Exit::Unknown,
            Self::Usage(_) | Self::Output(_) => Exit::Usage,
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Self {
        Self::Output(e)
    }
}
