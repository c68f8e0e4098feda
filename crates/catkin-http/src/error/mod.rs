//! Errors of HTTP exchanges.

/// Why a request gave no usable answer, and whether the request may have had an effect.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// No byte of the request was written to a connection.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// No complete answer was received, but the request may have arrived.
    #[display("answer lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The answer has a status other than 2xx.
    #[display("status {status}: {body}")]
    Status {
        /// The HTTP status code.
        status: u16,
        /// Bytes that are not UTF-8 are replaced.
        body: String,
    },
    /// The complete body was received, but can't be decoded.
    #[display("malformed: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The body is larger than this limit, in bytes.
    #[display("the body is larger than {_0} bytes")]
    TooLarge(#[error(not(source))] u64),
}

impl Error {
    /// Returns whether the request certainly had no effect.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}
