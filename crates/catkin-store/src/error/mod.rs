//! Why a write or a read did not succeed.

use catkin_http::Error as HttpError;

/// The reason, and with it what is known of a write.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The write had no effect: these rows were not as it expected.
    #[display("{} rows were not as expected", _0.len())]
    Conflict(#[error(not(source))] Vec<String>),
    /// The write had no effect, and never will: the service did not take it.
    #[display("the platform does not answer: {_0}")]
    Down(#[error(not(source))] String),
    /// The write may have had its effect.
    #[display("the outcome of the write is unknown")]
    Unknown,
    /// The answer to a read can't be understood.
    #[display("the platform's answer is malformed: {_0}")]
    Malformed(#[error(not(source))] String),
}

impl From<HttpError> for Error {
    fn from(e: HttpError) -> Self {
        match e {
            HttpError::Malformed(what) => Self::Malformed(what),
            other => Self::Down(other.to_string()),
        }
    }
}
