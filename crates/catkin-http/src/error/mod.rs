//! Why an exchange gave no usable answer.

/// The reason, and with it whether the request may have had an effect.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// No byte of the request was handed to a connection.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The request may have arrived.
    #[display("answer lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The other side answered with a status that is no success.
    #[display("status {status}: {body}")]
    Status {
        /// The status.
        status: u16,
        /// The body of the answer.
        body: String,
    },
    /// The body came whole and can't be read.
    #[display("malformed: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The body is larger than its bound.
    #[display("the body is larger than {_0} bytes")]
    TooLarge(#[error(not(source))] u64),
}

impl Error {
    /// Whether the request certainly had no effect.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}
