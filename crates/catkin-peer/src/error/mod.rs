//! Errors of calls to other daemons.

/// Why a call gave no answer, and whether the call may have had an effect.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The call was not sent: the other daemon was not reached or did not accept the token, or too many calls wait.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection was refused: no process listens at the address.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// No answer was received, but the call may have arrived.
    #[display("answer lost: {_0}")]
    Lost(#[error(not(source))] String),
}

impl Error {
    /// Returns whether the other host refused the connection, because no process listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}
