//! Errors of reads and writes.

use catkin_http::Error as HttpError;

/// Why a read or a write failed. For a write, it also says whether the write took effect.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The write had no effect: the versions of the rows with these keys differ from the expected ones.
    #[display("{} rows were not as expected", _0.len())]
    Conflict(#[error(not(source))] Vec<String>),
    /// The service did not answer, or not with success. A transaction had no effect, and never will.
    #[display("the platform does not answer: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The write may have taken effect.
    #[display("the outcome of the write is unknown")]
    Unknown,
    /// The answer to a read can't be decoded.
    #[display("the platform's answer is malformed: {_0}")]
    Malformed(#[error(not(source))] String),
}

impl From<HttpError> for Error {
    fn from(e: HttpError) -> Self {
        match e {
            HttpError::Malformed(text) => Self::Malformed(text),
            other => Self::Unavailable(other.to_string()),
        }
    }
}
