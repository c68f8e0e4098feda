//! Errors and exit codes.

use catkin_types::Answer;
use catkin_types::answer::Outcome;

/// The exit code of the program. `docs/OPERATIONS.md` has the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The request was not run.
    NotRun = 1,
    /// The arguments or files are invalid, or the output could not be written.
    Usage = 2,
    /// It is not known whether the request was run.
    Unknown = 3,
    /// The job failed or was cancelled.
    JobFailed = 4,
}

/// The reason why a command failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A daemon answered with an error: the parsed answer, and its whole body.
    #[display("{} (code {}, {}, request {})", _0.message, _0.code, _0.outcome, _0.request_id)]
    #[error(ignore)]
    Answered(Answer, serde_json::Value),
    /// No connection to any of the daemons could be opened, so the request was not run.
    #[display("no daemon was reached: {_0}")]
    Unreached(#[error(not(source))] String),
    /// The request was sent, but no complete and well-formed answer arrived. It may have been run.
    #[display("the answer was lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The arguments or a file are invalid.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// The output could not be written.
    #[display("the output could not be written: {_0}")]
    Output(std::io::Error),
}

impl Error {
    /// Returns the exit code for this error.
    #[must_use]
    pub fn exit_code(&self) -> Exit {
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
